package event

// Events 6000 to 6999: a host's replica of the store, the upstreams and the
// weights of engines.
var (
	// StoreUnreachable reports that the platform's store does not answer.
	StoreUnreachable = Event{6001, "store lost", "Reads of a topic of the platform's store fail; the host continues with its replica and queries other hosts."}
	// StoreReachable reports that the platform's store answers again.
	StoreReachable = Event{6002, "store back", "Reads of a topic of the platform's store succeed again."}
	// HistoryTrimmed reports records that the store has trimmed.
	HistoryTrimmed = Event{6003, "history trimmed", "The store has trimmed the records after the position; the newest record of each key is read instead."}
	// CatalogChanged reports a new version of the configuration.
	CatalogChanged = Event{6004, "catalog changed", "A version of the configuration arrived; InForce is the version that is in force now, Isolated the number of isolated accounts in the one that arrived."}
	// TargetWeightsChanged reports new target weights.
	TargetWeightsChanged = Event{6005, "weights named", "Operators set new target weights of a model. AgeMillis is how long ago that may have been; it decides when requests on older weights end."}
	// UpstreamChanged reports a change in the self-reported status of an upstream.
	UpstreamChanged = Event{6006, "upstream changed", "An upstream's entry in the store is new or has changed."}
	// UpstreamRemoved reports an upstream whose entry was removed.
	UpstreamRemoved = Event{6007, "upstream gone", "An upstream's entry was removed. Deferred removals take effect if it does not return within two seconds."}
	// RecordRejected reports a record that can't be used.
	RecordRejected = Event{6008, "record rejected", "A record of the store can't be used; the previous value stays."}
	// LeaseAcquired reports a lease on engines that this host acquired.
	LeaseAcquired = Event{6101, "warrant taken", "This host holds the lease on the given engines and may send them orders; Fence is the fencing number of its orders."}
	// LeaseNotAcquired reports a lease on engines that this host did not acquire.
	LeaseNotAcquired = Event{6102, "warrant missed", "This host did not get a lease on engines: another host took it, or the store did not answer."}
	// LeaseHeldElsewhere reports a lease on engines that another host holds.
	LeaseHeldElsewhere = Event{6103, "warrant heard", "Another host holds the lease on the given engines."}
	// LoadOrdered reports an order to load weights.
	LoadOrdered = Event{6104, "load ordered", "An engine was ordered to load weights."}
	// LoadEnded reports the end of such an order.
	LoadEnded = Event{6105, "load ended", "An engine has loaded the weights, or the order is given up for now. DrainedMillis is how long its requests took to end after the order; LearntMillis and LearntDrainMillis are what hosts expect of the next loads. Outcome is Loaded; Busy (it executed another order), NoReport or Silent (it gives no report), Refused, Lost (its reports don't show the order), WindowOver (too late to order) or Unfinished."}
	// UpstreamReportedUnreachable reports an upstream that another host could not reach.
	UpstreamReportedUnreachable = Event{6106, "upstream rested", "Another host found nothing, or another upstream, at the upstream's address, or was rejected by a brittle one; the upstream is excluded from selection for a second."}
	// FeedDisconnected reports an engine or a part store whose cache events do not arrive.
	FeedDisconnected = Event{6201, "feed lost", "An engine or a part store does not report what it caches; hosts continue with their cache index for a limited time."}
	// FeedReconnected reports that cache events arrive again.
	FeedReconnected = Event{6202, "feed back", "An engine or a part store reports again what it caches. After a gap, hosts may assume that some evicted parts are still cached."}
	// CacheReset reports an engine or a part store that lost its cache.
	CacheReset = Event{6203, "cache lost", "An engine or a part store has restarted with an empty cache."}
	// ControlAnswerDoubted reports an answer that may belong to an earlier call.
	ControlAnswerDoubted = Event{6204, "control answer doubted", "An engine's or a part store's answer on a kept connection doesn't fit what was asked there; it may be an earlier one sent once more. The host asks again on a new connection."}
	// UpstreamLeaving reports an upstream that accepts no more requests.
	UpstreamLeaving = Event{6107, "upstream leaves", "An upstream reported in an answer that it is leaving, or another host forwarded that report; no more requests are sent to it. Another host's report is valid for 15 s."}
	// RequestsWithdrawn reports requests that were taken back from a leaving upstream.
	RequestsWithdrawn = Event{6116, "requests withdrawn", "An upstream leaves, and requests that were sent to it half a second ago or earlier have not arrived there, as while the path is cut. Their connections are reset so that they don't arrive later; they end, or are retried, like others whose connection broke (event 2102 says \"withdrawn before it arrived\")."}
	// RetryAfterReceived reports an upstream that asked for a pause without requests.
	RetryAfterReceived = Event{6108, "upstream rests", "An upstream rejected a request and asked this host for a pause without requests; at most two requests are sent to it until the pause ends."}
	// StoreRestored reports a store that lost records that it had acknowledged.
	StoreRestored = Event{6009, "store restored", "The platform's store came back from an older copy: what was written since is gone, and its offsets are given out again. This host reads all records again, writes again what it keeps there, and sends engines no orders for some seconds unless it holds the lease. Era counts how often that happened."}
	// ReplicaDiffers reports a replica that differs from another host's.
	ReplicaDiffers = Event{6010, "replica differs", "At the same position of a topic, this host and another one have different records of the store: one of them has missed a change. This host lists the topic anew. Sum and OtherSum are the checksums; the gauges replica_position and replica_checksum of all hosts tell which of them differ."}
	// LimitNamed reports an upstream that limits its requests.
	LimitNamed = Event{6110, "upstream limited", "An upstream named in an answer how many requests a second it takes from all hosts together, changed that limit, or another host forwarded it. PerSecond is the limit, Part what this host may send; AnswerStatus is the status of the answer, 0 for another host's report."}
	// LimitEnded reports an upstream that no longer limits its requests.
	LimitEnded = Event{6111, "upstream limit ended", "An upstream answered without a limit, or another host forwarded that; Millis is how long the limit was known."}
	// BrittlenessChanged reports an upstream that became brittle, or no longer is.
	BrittlenessChanged = Event{6115, "brittleness changed", "An upstream says with its answers that it falls over when it has to reject more than a few requests a second, or no longer does. While it does, it gets only requests for which it certainly has a slot, and none from any host for a second after it rejected one."}
	// LimitInvalid reports a limit that can't be used.
	LimitInvalid = Event{6112, "limit unusable", "An upstream named a limit that is not a decimal number of requests a second; it is ignored."}
	// RetryAfterInvalid reports a pause that can't be used.
	RetryAfterInvalid = Event{6109, "rest unusable", "An upstream asked for a pause without requests that is not a number of seconds; it is ignored."}
	// HostIsolated reports that this host is cut off from all upstreams.
	HostIsolated = Event{6113, "host isolated", "This host reaches no upstream of a service: several refused or timed out and none has answered for QuietMillis. It passes requests for the service on to other hosts, and if others have requests there, callers are sent to them, until an upstream accepts a connection."}
	// HostReconnected reports the end of that.
	HostReconnected = Event{6114, "host reconnected", "An upstream of a service accepted a connection of this host again, or answered, after it was cut off from all of them."}
	// CrashRecordsUnreadable reports that the crash records in the store can't be read.
	CrashRecordsUnreadable = Event{6301, "kept records lost", "The store's records of requests that crash engines can't be read; those that other hosts send are still used."}
	// CrashRecordsReadable reports that the crash records can be read again.
	CrashRecordsReadable = Event{6302, "kept records back", "The store's records of requests that crash engines can be read again."}
	// CrashRecordPersisted reports a crash record that was written to the store or removed there.
	CrashRecordPersisted = Event{6303, "record kept", "A record of a request that lost several engines was written to the store, or removed there, so that hosts that start later use it."}
	// CrashRecordNotPersisted reports a failed write of a crash record, which is retried.
	CrashRecordNotPersisted = Event{6304, "record not kept", "The store did not accept a record of a request that lost several engines; the write is retried within seconds."}
	// SoftwareVersionsChanged reports that a software version began or ceased to serve a service.
	SoftwareVersionsChanged = Event{6401, "software versions changed", "A software version began or ceased to serve a service. While streams may have begun at several versions, hosts record in the store which version began which stream."}
	// StreamOriginsUnreadable reports that the records of which version began a stream can't be read.
	StreamOriginsUnreadable = Event{6402, "stream origins unreadable", "The store's records of the software versions that began streams can't be read; a stream that a caller takes up is refused if its version isn't known otherwise."}
	// NamingNotRecorded reports a failed write of when target weights were set.
	NamingNotRecorded = Event{6404, "naming not recorded", "The store did not accept when target weights of a model were set; the write is retried at once. Should all hosts restart meanwhile, they assume that the weights were set long ago."}
	// GroupsRecorded reports which accounts share cached parts, as the store tells.
	GroupsRecorded = Event{6405, "groups recorded", "The store tells which accounts are excluded from sharing the cached parts of a model; Excluded is their number for the newest of its weights, from version From on. They have salts of their own until newer weights are named, also if they are no longer isolated."}
	// GroupsNotRecorded reports a failed write of that.
	GroupsNotRecorded = Event{6406, "groups not recorded", "The store did not accept which accounts are excluded from sharing the cached parts of a model; the write is retried at once. Should all hosts restart meanwhile, parts are read again; no account gets others' parts."}
	// UpdateNotSent reports an update for another host that was given up.
	UpdateNotSent = Event{6502, "update not sent", "Another host did not accept an update on an order to an engine; it learns of the change from the engine's answers."}
	// StreamOriginsNotWritten reports a failed write of such records, which is retried.
	StreamOriginsNotWritten = Event{6403, "stream origins not written", "The store did not accept records of the software versions that serve a service (Service is its name) or that began streams; the write is retried within seconds."}
)

var replicaEvents = []Event{
	StoreUnreachable, StoreReachable, HistoryTrimmed, CatalogChanged, TargetWeightsChanged, UpstreamChanged, UpstreamRemoved, RecordRejected,
	LeaseAcquired, LeaseNotAcquired, LeaseHeldElsewhere, LoadOrdered, LoadEnded, UpstreamReportedUnreachable, FeedDisconnected, FeedReconnected, CacheReset, ControlAnswerDoubted,
	StoreRestored, ReplicaDiffers, UpstreamLeaving, RequestsWithdrawn, RetryAfterReceived, LimitNamed, LimitEnded, LimitInvalid, BrittlenessChanged, RetryAfterInvalid, HostIsolated, HostReconnected, CrashRecordsUnreadable, CrashRecordsReadable, CrashRecordPersisted, CrashRecordNotPersisted,
	SoftwareVersionsChanged, StreamOriginsUnreadable, StreamOriginsNotWritten, NamingNotRecorded, GroupsRecorded, GroupsNotRecorded, UpdateNotSent,
}

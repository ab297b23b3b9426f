package event

// Events 6000 to 6999: what a host believes of the configuration, of the
// upstreams and of the weights of engines.
var (
	// StoreLost reports that the platform's store does not answer.
	StoreLost = Event{6001, "store lost", "Reads of a topic of the platform's store fail; the host goes on with what it knows and asks other hosts."}
	// StoreBack reports that the platform's store answers again.
	StoreBack = Event{6002, "store back", "Reads of a topic of the platform's store succeed again."}
	// HistoryTrimmed reports records that the store no longer keeps.
	HistoryTrimmed = Event{6003, "history trimmed", "The store no longer keeps the records after the position; the newest of each key are read."}
	// CatalogChanged reports a new version of the configuration.
	CatalogChanged = Event{6004, "catalog changed", "A version of the configuration arrived; InForce is the version in force after it."}
	// WeightsNamed reports weights that operators want.
	WeightsNamed = Event{6005, "weights named", "Operators named new weights of a model. AgeMillis is how long ago that may have been; requests on older weights end by it."}
	// UpstreamChanged reports what an upstream says of itself.
	UpstreamChanged = Event{6006, "upstream changed", "An upstream's entry in the store is new or has changed."}
	// UpstreamGone reports an upstream that has no entry any more.
	UpstreamGone = Event{6007, "upstream gone", "An upstream's entry was removed. Deferred removals take effect if it does not return within two seconds."}
	// RecordRejected reports a record that can't be used.
	RecordRejected = Event{6008, "record rejected", "A record of the store can't be used; what was known before stays."}
	// WarrantTaken reports the right to order engines.
	WarrantTaken = Event{6101, "warrant taken", "This host may order the engines given; Fence is the fencing number of its orders."}
	// WarrantMissed reports that the right to order engines was not had.
	WarrantMissed = Event{6102, "warrant missed", "The right to order engines was not had: another host took it, or the store did not answer."}
	// WarrantHeard reports that another host may order engines.
	WarrantHeard = Event{6103, "warrant heard", "Another host has the right to order the engines given."}
	// LoadOrdered reports an order to load weights.
	LoadOrdered = Event{6104, "load ordered", "An engine was ordered to load weights."}
	// LoadEnded reports what became of such an order.
	LoadEnded = Event{6105, "load ended", "An engine has the weights, or the order is given up for now."}
	// UpstreamRested reports an upstream that another host found gone.
	UpstreamRested = Event{6106, "upstream rested", "Another host found nobody, or another upstream, at the upstream's address; it is left alone for a second."}
	// FeedLost reports an engine or store whose news of its cache don't come.
	FeedLost = Event{6201, "feed lost", "An engine or a store of parts does not tell what it caches; hosts go on with what was seen, for a bounded time."}
	// FeedBack reports that such news come again.
	FeedBack = Event{6202, "feed back", "An engine or a store of parts tells again what it caches. With a gap, some parts may be believed that were dropped."}
	// CacheLost reports an engine or store that has lost its cache.
	CacheLost = Event{6203, "cache lost", "An engine or a store of parts has restarted with an empty cache."}
	// UpstreamLeaves reports an upstream that takes no more requests.
	UpstreamLeaves = Event{6107, "upstream leaves", "An upstream said in an answer that it leaves, or another host passed that on; it is sent no more requests. Another host's word holds for 15 s."}
	// UpstreamRests reports an upstream that wants nothing for a time.
	UpstreamRests = Event{6108, "upstream rests", "An upstream turned a request away and asked this host for a time without requests; at most two are sent to it until then."}
	// RestUnusable reports a time that can't be used.
	RestUnusable = Event{6109, "rest unusable", "An upstream asked for a time without requests that is no number of seconds; it is not obeyed."}
	// KeptRecordsLost reports that the store's records can't be read.
	KeptRecordsLost = Event{6301, "kept records lost", "The store's records of requests that crash engines can't be read; those that other hosts tell of are known all the same."}
	// KeptRecordsBack reports that they can be read again.
	KeptRecordsBack = Event{6302, "kept records back", "The store's records of requests that crash engines can be read again."}
	// RecordKept reports a record that was written to the store.
	RecordKept = Event{6303, "record kept", "A record of a request that lost several engines was written to the store, or removed there, so that it holds on hosts that start later."}
	// RecordNotKept reports a record that was not written; it is tried again.
	RecordNotKept = Event{6304, "record not kept", "The store did not take a record of a request that lost several engines; it is written again within seconds."}
)

var knowledgeEvents = []Event{
	StoreLost, StoreBack, HistoryTrimmed, CatalogChanged, WeightsNamed, UpstreamChanged, UpstreamGone, RecordRejected,
	WarrantTaken, WarrantMissed, WarrantHeard, LoadOrdered, LoadEnded, UpstreamRested, FeedLost, FeedBack, CacheLost,
	UpstreamLeaves, UpstreamRests, RestUnusable, KeptRecordsLost, KeptRecordsBack, RecordKept, RecordNotKept,
}

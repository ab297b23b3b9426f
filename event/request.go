package event

// Events 2000 to 2999: callers' requests.
var (
	// RequestEnded reports the outcome of a request.
	RequestEnded = Event{2001, "request ended", "A request ended with the outcome given: done, not run or unknown."}
	// AttemptFailed reports one failed attempt at an upstream.
	AttemptFailed = Event{2002, "attempt failed", "One attempt at an upstream failed; the request may be retried at another."}
	// ClaimFailed reports a claim that the log did not confirm.
	ClaimFailed = Event{2003, "claim failed", "The log did not confirm a claim; the call was not run, and its outcome is answered as unknown since an earlier call with the same key may have run."}
	// ClaimAppendFailed reports a batch of claims that the log did not confirm.
	ClaimAppendFailed = Event{2006, "claim append failed", "The log did not confirm a batch of claims; its claims are refused, and its records of ended attempts are retried."}
	// LossRecorded reports a lost engine that counts against a request.
	LossRecorded = Event{2007, "loss recorded", "An engine was lost while it ran a request. Parts are the fingerprints of the prompt parts that the request shares with others, Events counts the events of its answer that had arrived. Reset is set if its connection was reset; SilentMillis is how long the engine had left a check unanswered, -1 if it had not. Losses counts the lost engines that count against the request, OtherLosses those lost without it shortly before or after; Shared is set if another unanswered request was on all of them."}
	// SuspicionEnded reports a suspect request that was answered.
	SuspicionEnded = Event{2008, "suspicion ended", "A request that was on lost engines was answered, or a request with a prompt part (Fingerprint) that was on lost engines got past its first tokens; earlier losses no longer count against it."}
	// LossUnread reports a request that its engine can't have begun.
	LossUnread = Event{2013, "request unread", "An engine that stood still was lost before it had read the request: it had left a check unanswered for SilentMillis, and its machine reset the request's connection, SentMillis after the request was sent. It does not count against the request."}
	// LossExplained reports a request that was sent to an engine that was lost already.
	LossExplained = Event{2011, "loss explained", "A request was sent to an engine that had been lost within the second before and had not answered since, as through a proxy that still accepts connections; it does not count against the request."}
	// QuarantineEnforced reports a refusal of a quarantined request.
	QuarantineEnforced = Event{2009, "quarantine kept", "A request was refused because it, or the prompt part that Fingerprint names, crashed the engines that ran it. LastLossMillis is how long ago the last of them was lost; TermOver is set if the quarantine has ended and another host, or another request, is trying it."}
	// RequestQuarantined reports a request that is refused from now on.
	RequestQuarantined = Event{2004, "request quarantined", "A request crashed the engines that ran it; every host refuses it for a time after the last crash: one minute after two crashes, doubled with each further one."}
	// PartQuarantined reports a prompt part that is refused from now on.
	PartQuarantined = Event{2010, "prompt part quarantined", "Requests that differ but share a part of their prompt crashed the engines that ran them; every host refuses requests with the part for a time after the last crash, those of Account alone if one is named. Losses counts the engines lost with the part, OtherLosses those lost without it; KnownGood is set if a request with it was answered within ten minutes before. FirstLossMillis, LastLossMillis and LastAnswerMillis are how long ago that was; LastAnswerMillis is -1 without an answer since the first loss that is known here."}
	// CrashShareFailed reports a host that did not accept crash records.
	CrashShareFailed = Event{2005, "share failed", "Another host did not accept records of crashed engines; they are sent again within seconds."}
	// CancelFailed reports an engine that did not confirm a cancellation.
	CancelFailed = Event{2012, "cancel failed", "An engine did not confirm that it cancelled an attempt which this host has given up; unless the engine saw the connection close, it works on until the attempt's deadline."}
	// CallScheduled reports the upstream that was chosen for a call.
	CallScheduled = Event{2101, "call placed", "An upstream was chosen for a request. Cost is the expected cost of the choice; Held and Shared count shared prompt tokens; AgeMillis is the staleness of the host's replica of the store."}
	// SendFailed reports a send without a usable answer.
	SendFailed = Event{2102, "try failed", "A send to an upstream brought no answer that can be forwarded. NotSent and TurnedAway mean that the request did not run. Connection is the number of the connection to the upstream, 0 if no answer began; two lines with TurnedAway and the same Connection for one request would mean that the second answer may be a copy of the first."}
	// CallRefused reports a request that was refused before any send.
	CallRefused = Event{2103, "call refused", "A request was refused before any attempt."}
	// BodyRefused reports clients whose bodies were not taken in.
	BodyRefused = Event{2119, "body refused", "The body of a request was not taken in; the request was not passed on, and its connection is closed. Reason is TooLarge (beyond the operators' limit), NoRoom (bodies that arrive or are in progress hold the room for them, HeldBytes; it may have stood still and made room for another), TooSlow (it did not arrive in time) or Broken (it can't be read, or the client has left). Bytes counts what had arrived of it. At most one such line a second is written; Count is the number of bodies since the last one."}
	// CallEnded reports the outcome of a request.
	CallEnded = Event{2104, "call ended", "A request ended. Ran counts attempts that may have run, TurnedAway those that did not."}
	// StreamResumed reports a stream that continues at another upstream.
	StreamResumed = Event{2105, "stream resumed", "A stream failed and continues at another upstream after the given event."}
	// StreamTakenUp reports a caller that resumes a stream.
	StreamTakenUp = Event{2112, "stream taken up", "A caller resumes a stream after the given event. Stream is the request that brought its first event, Software the version of the upstreams at which it may continue; Source tells how that is known. A stream whose version is not known is refused, unless the service had one version only. Source Uncertain means that this host may not have heard of others: neither the store nor most other hosts answer it."}
	// StreamFailed reports a stream that failed before its end.
	StreamFailed = Event{2106, "stream broken", "A stream failed and could not be resumed; its caller receives a truncated answer. Phase is what it was doing last: AtUpstream (its upstream failed and nothing was tried since), AwaitingMemory (it was stopped to move), Moved (sent to an engine that has its KV cache) or BetweenAttempts. Denied tells why no further attempt was made: CallerLeft, Deadline, Attempts (all that the route allows have run), Rejections (too many upstreams turned it away or weren't reached), Quarantined, Budget (the retry budget), NoUpstream (none may take it any more, or the version that began it has left or isn't known) or Waiting (too many streams wait). Lacked is what kept it waiting last: NoUpstream (none was usable), Rejections or Budget. WaitedMillis is the time since an upstream last served it."}
	// StreamEnded reports the end of a stream.
	StreamEnded = Event{2107, "stream ended", "A stream was closed after the given number of events."}
	// CallRelayed reports a request that was passed on to another host.
	CallRelayed = Event{2113, "call relayed", "This host does not reach the upstreams of the service; it passed the request on to another host, which chooses the upstream. Attempts counts the attempts that may have run before."}
	// RelayFailed reports a request that another host did not serve.
	RelayFailed = Event{2114, "relay failed", "Another host did not serve a request that was passed on to it; if it was not reached or serves none of the service (Outcome NotSent), it gets no more of the service for a second. The request is passed to a second host if it can't have run, or may be repeated."}
	// RequestMigrated reports the migration of a running request to another engine.
	RequestMigrated = Event{2108, "run moved", "A running request was to migrate to another engine, since its own engine is to load weights. Its memory is copied first, while it runs; there is a line for each engine that does not take the copy, and one for the move itself. Stopped is set if it no longer runs there, Arrived if the other engine has all of its KV cache; without that, it has what was copied before."}
	// MemoryFreed reports memory of a migrated request that nobody will use.
	MemoryFreed = Event{2117, "memory freed", "A request went on without the memory that was copied for it, ended before it could move, or its caller left meanwhile; the host told the engine to free the memory, at both engines. Reason is set if that had no answer."}
	// CallOverloaded reports a request that is refused because of the queues at the engines.
	CallOverloaded = Event{2109, "call overloaded", "The queues at the engines are so long that a request can't be answered before its deadline; it is refused with a time to retry after."}
	// StaleRequestCancelled reports a request that was queued too long on replaced weights.
	StaleRequestCancelled = Event{2111, "run withdrawn", "A request had not started at an engine whose weights were replaced too long ago; it was cancelled there and is retried elsewhere if allowed. Named is the newest target weights version, AgeMillis the time since a version newer than its own became the target."}
	// SeparatedRequestCancelled reports a request that was queued at an engine while an
	// account became isolated.
	SeparatedRequestCancelled = Event{2115, "request separated", "A request had not started at an engine when an account became isolated, and might have used cached parts of that account, or its own account was isolated; it was cancelled there and is retried if allowed, with the salt of the new configuration."}
	// AttemptReplaced reports an attempt that ended because another one serves its stream.
	AttemptReplaced = Event{2116, "attempt replaced", "A stream was idle and was sent to a second upstream while the first attempt was still in progress; one of the two serves the stream now (Serves), the run at Upstream was ended. BesideMillis is the time from the second send to that end: for so long both upstreams may have worked on the request, unless the first one answered no check meanwhile (FirstSilent)."}
	// AnswersSkipped reports answers to other requests that came before the right one.
	AnswersSkipped = Event{2118, "answers skipped", "An upstream sent answers to other requests on this connection, such as copies of its refusals, before the answer to the request. Count is their number; they were ignored."}
	// StreamStalled reports an idle stream that no other upstream could take over.
	StreamStalled = Event{2110, "stream awaited", "An upstream is idle in the middle of a stream and no other could take over. While others are only silent, the host looks for one again; otherwise it waits until the deadline."}
)

var requestEvents = []Event{RequestEnded, AttemptFailed, ClaimFailed, RequestQuarantined, PartQuarantined, CrashShareFailed, ClaimAppendFailed, LossRecorded, SuspicionEnded, LossExplained, LossUnread, QuarantineEnforced, CancelFailed, CallScheduled, SendFailed, CallRefused, BodyRefused, CallEnded, StreamResumed, StreamTakenUp, StreamFailed, StreamEnded, CallRelayed, RelayFailed, RequestMigrated, MemoryFreed, CallOverloaded, AttemptReplaced, AnswersSkipped, StreamStalled, StaleRequestCancelled, SeparatedRequestCancelled}

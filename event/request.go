package event

// Events 2000 to 2999: callers' requests.
var (
	// RequestEnded reports the outcome of a request.
	RequestEnded = Event{2001, "request ended", "A request ended with the outcome given: done, not run or unknown."}
	// AttemptFailed reports one failed try at an upstream.
	AttemptFailed = Event{2002, "attempt failed", "One attempt at an upstream failed; the request may go on at another."}
	// ClaimFailed reports that a claim could not be agreed on the log.
	ClaimFailed = Event{2003, "claim failed", "The log did not confirm a claim; the call was not run, and is answered as unknown since an earlier one may have run."}
	// ClaimAppendFailed reports that a batch of claims was not confirmed.
	ClaimAppendFailed = Event{2006, "claim append failed", "The log did not confirm a batch of claims; its claims are refused and its ends are tried again."}
	// LossRecorded reports a lost engine that counts against a request.
	LossRecorded = Event{2007, "loss recorded", "An engine was lost while it ran a request. Losses counts the lost engines that count against it, OtherLosses those lost without it shortly before or after; Shared tells that another unanswered request was on all of them."}
	// SuspicionEnded reports a suspected request that was answered.
	SuspicionEnded = Event{2008, "suspicion ended", "A request that was on lost engines was answered; what came before no longer counts against it."}
	// QuarantineKept reports a refusal of a request that crashed engines.
	QuarantineKept = Event{2009, "quarantine kept", "A request was refused because it crashed the engines that ran it. LastLossMillis is how long ago the last of them was lost."}
	// RequestQuarantined reports a request that is refused from now on.
	RequestQuarantined = Event{2004, "request quarantined", "A request crashed the engines that ran it; it is refused on every host for a time after the last crash: a minute after two, twice that with each further one."}
	// ShareFailed reports a host that did not take crash records.
	ShareFailed = Event{2005, "share failed", "Another host did not take records of crashed engines; they are sent again within seconds."}
	// CallPlaced reports the upstream that was chosen for a call.
	CallPlaced = Event{2101, "call placed", "An upstream was chosen for a request. Cost is the expected cost of the choice; Held and Shared count shared prompt tokens; AgeMillis is the age of what the host knows."}
	// TryFailed reports a send that brought no answer.
	TryFailed = Event{2102, "try failed", "A send to an upstream brought no answer that can be passed on. NotSent and TurnedAway mean that it did not run."}
	// CallRefused reports a request that was refused before any send.
	CallRefused = Event{2103, "call refused", "A request was refused before anything was sent for it."}
	// CallEnded reports the outcome of a request.
	CallEnded = Event{2104, "call ended", "A request ended. Ran counts sends that may have run, TurnedAway those that did not."}
	// StreamResumed reports a stream that goes on at another upstream.
	StreamResumed = Event{2105, "stream resumed", "A stream broke and goes on at another upstream after the event given."}
	// StreamBroken reports a stream that ended before its end.
	StreamBroken = Event{2106, "stream broken", "A stream broke and could not go on; its caller sees a broken answer."}
	// StreamEnded reports the end of a stream.
	StreamEnded = Event{2107, "stream ended", "A stream was closed after the number of events given."}
	// RunMoved reports a running request that was moved to another engine.
	RunMoved = Event{2108, "run moved", "A running request was to move to another engine, since its own is to load weights. Stopped tells that it no longer runs there, Arrived that the other engine has its memory."}
	// CallOverloaded reports a request that is refused for what waits before it.
	CallOverloaded = Event{2109, "call overloaded", "So much waits at the engines that a request can't be answered before its deadline; it is refused with when to come back."}
	// RunWithdrawn reports a request that waited too long at replaced weights.
	RunWithdrawn = Event{2111, "run withdrawn", "A request had not begun at an engine when its weights were replaced too long ago; it was taken back and goes on elsewhere if it may. Named is the newest number, AgeMillis how long ago a newer one than its own was named."}
	// StreamAwaited reports a silent stream that nobody could take over.
	StreamAwaited = Event{2110, "stream awaited", "An upstream is silent in the middle of a stream and no other could go on; it is waited for until the deadline."}
)

var requestEvents = []Event{RequestEnded, AttemptFailed, ClaimFailed, RequestQuarantined, ShareFailed, ClaimAppendFailed, LossRecorded, SuspicionEnded, QuarantineKept, CallPlaced, TryFailed, CallRefused, CallEnded, StreamResumed, StreamBroken, StreamEnded, RunMoved, CallOverloaded, StreamAwaited, RunWithdrawn}

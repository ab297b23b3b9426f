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
	// RequestQuarantined reports a request that is refused from now on.
	RequestQuarantined = Event{2004, "request quarantined", "A request crashed the engines that ran it; it is refused on every host for ten minutes after the last crash."}
	// ShareFailed reports a host that did not take crash records.
	ShareFailed = Event{2005, "share failed", "Another host did not take records of crashed engines; they are sent again within seconds."}
)

var requestEvents = []Event{RequestEnded, AttemptFailed, ClaimFailed, RequestQuarantined, ShareFailed, ClaimAppendFailed}

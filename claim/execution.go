package claim

import (
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// retryAfter is when a caller may come back after a refusal.
const retryAfter = time.Second

// Execution is the life of one attempt at a call that must not be repeated:
// claim, send, record, reply. It is immutable; With methods take what
// happened and return what to do next.
type Execution struct {
	record Record
	// endpoints is how many endpoints the call may be sent to, and tried how
	// many proved that they did not start it.
	endpoints, tried int
}

// Action tells the caller of an Execution what to do, in this order: send,
// record, abandon, reply.
type Action struct {
	// Send tells to send the call to the endpoint with the index.
	Send     bool
	Endpoint int
	// End is a record to append, if any.
	End *Record
	// Abandon tells to release the claim later, whenever the log answers.
	Abandon bool
	// Reply is the final answer, if any.
	Reply *Reply
}

// Reply is the final answer to the caller.
type Reply struct {
	// Answer is the upstream's, when Failure is nil.
	Answer Entry
	// Failure tells why there is no answer.
	Failure *request.Failure
}

// NewExecution returns the execution of an attempt that is about to claim
// its key with the record.
func NewExecution(r Record, endpoints int) Execution {
	return Execution{record: r, endpoints: endpoints}
}

// Record returns the claim.
func (e Execution) Record() Record { return e.record }

// WithStanding takes what the log says after the claim. The flag late tells
// that the caller's deadline has passed.
func (e Execution) WithStanding(s Standing, entry Entry, late bool) (Execution, Action) {
	switch {
	case s != Held:
		return e, Action{Reply: settled(s, entry)}
	case late:
		return e, e.released(request.Refuse(request.DeadlineTooNear, "the claim of the key took until the deadline").WithRetryAfter(retryAfter))
	}
	return e, e.next()
}

// WithUnconfirmed takes that the log did not confirm the claim. The flag
// unsure tells that the claim may be on the log.
func (e Execution) WithUnconfirmed(unsure bool) (Execution, Action) {
	return e, Action{Abandon: unsure, Reply: &Reply{Failure: unconfirmed()}}
}

// WithNotStarted takes that the endpoint proved that it did not start.
func (e Execution) WithNotStarted() (Execution, Action) {
	e.tried++
	return e, e.next()
}

// WithLost takes that the endpoint gave no answer and may have run the call.
// The claim stays, so that no repeat runs.
func (e Execution) WithLost() (Execution, Action) {
	end := e.record.WithLoss()
	return e, Action{End: &end, Reply: &Reply{Failure: lost()}}
}

// WithAnswer takes the endpoint's answer.
func (e Execution) WithAnswer(status int, contentType string, body []byte) (Execution, Action) {
	end := e.record.WithAnswer(status, contentType, body)
	answer := Entry{Finished: true, Status: status, ContentType: contentType, Body: body}
	return e, Action{End: &end, Reply: &Reply{Answer: answer}}
}

// next sends to the next endpoint or gives the key back.
func (e Execution) next() Action {
	if e.tried < e.endpoints {
		return Action{Send: true, Endpoint: e.tried}
	}
	return e.released(request.Refuse(request.NoUpstream, "no endpoint takes the call now").WithRetryAfter(retryAfter))
}

// released gives the key back: nothing was run and nothing will be.
func (e Execution) released(f *request.Failure) Action {
	end := e.record.WithRelease()
	return Action{End: &end, Reply: &Reply{Failure: f}}
}

// lost is the answer when the service may have run the call.
func lost() *request.Failure {
	const message = "the service did not answer: the request may have run, and is not sent again"
	return request.Refuse(request.UpstreamFailed, message).WithOutcome(request.Unknown)
}

// unconfirmed is the answer while the log does not answer.
func unconfirmed() *request.Failure {
	const message = "the log does not answer: this call was not run, but whether an earlier one with the same key was can't be told"
	return request.Refuse(request.LogUnavailable, message).WithOutcome(request.Unknown).WithRetryAfter(retryAfter)
}

// settled answers a call whose key this attempt does not hold.
func settled(s Standing, entry Entry) *Reply {
	switch {
	case s == Finished && entry.Omitted:
		return &Reply{Failure: request.Refuse(request.AnswerNotKept, "the request ran and its answer was too large to keep").WithOutcome(request.Done)}
	case s == Finished:
		return &Reply{Answer: entry}
	case s == Lost:
		return &Reply{Failure: lost()}
	case s == Running:
		return &Reply{Failure: request.Refuse(request.InProgress, "the same request was sent before and its outcome is not known yet").WithOutcome(request.Unknown).WithRetryAfter(retryAfter)}
	case s == Mismatch:
		return &Reply{Failure: request.Refuse(request.KeyReused, "the key was used for another request")}
	case s == Expired:
		return &Reply{Failure: request.Refuse(request.KeyExpired, "the key was issued too long ago, or in the future, to tell whether it ran").WithOutcome(request.Unknown)}
	}
	return &Reply{Failure: unconfirmed()}
}

// Refused returns the answer to a call that was refused before its claim. It
// is only called not run if the log shows no earlier claim of its key; the
// flag confirmed tells that the log answered.
func Refused(refused *request.Failure, confirmed bool, s Standing, entry Entry) *Reply {
	switch {
	case !confirmed:
		return &Reply{Failure: refused.WithOutcome(request.Unknown)}
	case s == Free:
		return &Reply{Failure: refused}
	}
	return settled(s, entry)
}

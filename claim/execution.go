package claim

import (
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// retryAfter is the wait that a refused caller is asked for.
const retryAfter = time.Second

// Execution is the state machine of one attempt at a call that must not run
// twice: claim, send, record, reply. It is immutable; each With method takes an
// event and returns the next state and the action to perform.
type Execution struct {
	record Record
	// endpoints counts the endpoints that the call may be sent to, and
	// notStarted those that certainly did not start it.
	endpoints, notStarted int
}

// Action is what to do next, in this order: send, record, abandon, reply.
type Action struct {
	// Send is set if the call is to be sent to the endpoint with index Endpoint.
	Send     bool
	Endpoint int
	// End is the record to append, if any.
	End *Record
	// Abandon is set if the claim is to be released once the log answers.
	Abandon bool
	// Reply is the final answer, if any.
	Reply *Reply
}

// Reply is the final answer to the caller.
type Reply struct {
	// Answer is the upstream's answer if Failure is nil.
	Answer Entry
	// Failure is the reason why there is no answer.
	Failure *request.Failure
}

// NewExecution returns the execution of an attempt that is about to append
// the record to claim its key.
func NewExecution(r Record, endpoints int) Execution {
	return Execution{record: r, endpoints: endpoints}
}

// Record returns the record that claims the key.
func (e Execution) Record() Record { return e.record }

// WithStatus handles the status of the key after the claim. late is set if the
// caller's deadline has passed.
func (e Execution) WithStatus(s Status, entry Entry, late bool) (Execution, Action) {
	switch {
	case s != Held:
		return e, Action{Reply: notHeldReply(s, entry)}
	case late:
		return e, e.release(request.Refuse(request.DeadlineTooNear, "the claim of the key took until the deadline").WithRetryAfter(retryAfter))
	}
	return e, e.nextAction()
}

// WithUnconfirmed handles a claim that the log did not confirm. mayBeOnLog is
// set if the claim may nevertheless be on the log.
func (e Execution) WithUnconfirmed(mayBeOnLog bool) (Execution, Action) {
	return e, Action{Abandon: mayBeOnLog, Reply: &Reply{Failure: unconfirmedFailure()}}
}

// WithNotStarted handles an endpoint that certainly did not start the call.
func (e Execution) WithNotStarted() (Execution, Action) {
	e.notStarted++
	return e, e.nextAction()
}

// WithAnswerLost handles an endpoint that gave no answer and may have run the
// call. The claim stays, so that no repeat runs.
func (e Execution) WithAnswerLost() (Execution, Action) {
	end := e.record.WithLoss()
	return e, Action{End: &end, Reply: &Reply{Failure: lostFailure()}}
}

// WithAnswer handles the endpoint's answer.
func (e Execution) WithAnswer(status int, contentType string, body []byte) (Execution, Action) {
	end := e.record.WithAnswer(status, contentType, body)
	answer := Entry{Finished: true, Status: status, ContentType: contentType, Body: body}
	return e, Action{End: &end, Reply: &Reply{Answer: answer}}
}

// nextAction sends to the next endpoint, or releases the key if none is left.
func (e Execution) nextAction() Action {
	if e.notStarted < e.endpoints {
		return Action{Send: true, Endpoint: e.notStarted}
	}
	return e.release(request.Refuse(request.NoUpstream, "no endpoint takes the call now").WithRetryAfter(retryAfter))
}

// release releases the key: the call did not run and will not.
func (e Execution) release(f *request.Failure) Action {
	end := e.record.WithRelease()
	return Action{End: &end, Reply: &Reply{Failure: f}}
}

// lostFailure is the failure of a call that the service may have run.
func lostFailure() *request.Failure {
	const message = "the service did not answer: the request may have run, and is not sent again"
	return request.Refuse(request.UpstreamFailed, message).WithOutcome(request.Unknown)
}

// unconfirmedFailure is the failure of a call while the log does not answer.
func unconfirmedFailure() *request.Failure {
	const message = "the log does not answer: this call was not run, but whether an earlier one with the same key was can't be told"
	return request.Refuse(request.LogUnavailable, message).WithOutcome(request.Unknown).WithRetryAfter(retryAfter)
}

// notHeldReply returns the reply to a call whose key this attempt does not hold.
func notHeldReply(s Status, entry Entry) *Reply {
	switch {
	case s == Finished && entry.Omitted:
		return &Reply{Failure: request.Refuse(request.AnswerNotKept, "the request ran and its answer was too large to keep").WithOutcome(request.Done)}
	case s == Finished:
		return &Reply{Answer: entry}
	case s == Lost:
		return &Reply{Failure: lostFailure()}
	case s == Running:
		return &Reply{Failure: request.Refuse(request.InProgress, "the same request was sent before and its outcome is not known yet").WithOutcome(request.Unknown).WithRetryAfter(retryAfter)}
	case s == Mismatch:
		return &Reply{Failure: request.Refuse(request.KeyReused, "the key was used for another request")}
	case s == Expired:
		return &Reply{Failure: request.Refuse(request.KeyExpired, "the key was issued too long ago, or in the future, to tell whether it ran").WithOutcome(request.Unknown)}
	}
	return &Reply{Failure: unconfirmedFailure()}
}

// RefusalReply returns the reply to a call that was refused before its claim.
// It says that the call was not run only if the log shows no earlier claim of
// the key. confirmed reports whether the log answered.
func RefusalReply(refused *request.Failure, confirmed bool, s Status, entry Entry) *Reply {
	switch {
	case !confirmed:
		return &Reply{Failure: refused.WithOutcome(request.Unknown)}
	case s == Free:
		return &Reply{Failure: refused}
	}
	return notHeldReply(s, entry)
}

// Package request holds a caller's request and the outcomes that it can have.
package request

import (
	"net/http"
	"time"
)

// Outcome tells a caller what became of a request.
type Outcome string

// The outcomes.
const (
	// Done means that the answer is whole.
	Done Outcome = "Done"
	// NotRun means that nothing was sent upstream, or that the upstream
	// proved that it did not start.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Kind tells which upstreams a request is for.
type Kind int

// The kinds of request.
const (
	// Completion is answered by an engine.
	Completion Kind = iota + 1
	// ServiceCall is answered by a plain service.
	ServiceCall
)

// Request is one caller's request, checked and authenticated.
type Request struct {
	// ID names the request in logs and answers.
	ID string
	// Kind tells which upstreams the request is for.
	Kind Kind
	// Account names the client account.
	Account string
	// Model is the model of a completion.
	Model string
	// Service is the pool of a service call.
	Service string
	// Method and Path go to the upstream.
	Method, Path string
	// ContentType and Accept are passed on to a plain service.
	ContentType, Accept string
	// Body is the request's body; that of a completion always asks for a
	// stream.
	Body []byte
	// Levels are the parts of the prompt in order, each a level of sharing.
	Levels [][]byte
	// MaxTokens bounds the tokens of the answer; 0 means that the caller set
	// no bound.
	MaxTokens int
	// Stream tells that the caller reads events.
	Stream bool
	// ResumeAfter is the position of the last event that the caller has.
	ResumeAfter int
	// Version is the model's version that a resumed answer came from, or "".
	Version string
	// Key is the caller's idempotency key, or "".
	Key string
	// KeyIssued is when the caller made the key.
	KeyIssued time.Time
	// Repeatable tells that running the request twice does no harm.
	Repeatable bool
	// Priority orders requests; a higher one goes first.
	Priority int
	// Remaining is the time left for the request.
	Remaining time.Duration
}

// Failure is the final answer to a request that was not done.
type Failure struct {
	// Outcome is NotRun or Unknown, or Done when only the answer is missing.
	Outcome Outcome
	// Code is a stable word for programs.
	Code Code
	// Message is for people.
	Message string
	// RetryAfter tells when to come back; 0 means not to.
	RetryAfter time.Duration
}

// Code names a reason for a failure.
type Code string

// The codes.
const (
	BadRequest      Code = "BadRequest"
	TooLarge        Code = "TooLarge"
	HeadTooLarge    Code = "HeadTooLarge"
	TooSlow         Code = "TooSlow"
	NoMethod        Code = "NoMethod"
	TooManyOpen     Code = "TooManyOpen"
	Unauthenticated Code = "Unauthenticated"
	Forbidden       Code = "Forbidden"
	NotFound        Code = "NotFound"
	KeyReused       Code = "KeyReused"
	KeyExpired      Code = "KeyExpired"
	AnswerNotKept   Code = "AnswerNotKept"
	InProgress      Code = "InProgress"
	RateLimited     Code = "RateLimited"
	DeadlineTooNear Code = "DeadlineTooNear"
	NoUpstream      Code = "NoUpstream"
	LogUnavailable  Code = "LogUnavailable"
	UpstreamFailed  Code = "UpstreamFailed"
	Quarantined     Code = "Quarantined"
	NotReady        Code = "NotReady"
	// DeadlineExceeded ends a request whose time ran out while it ran.
	DeadlineExceeded Code = "DeadlineExceeded"
	// CallerLeft is logged for a request that nobody waits for.
	CallerLeft Code = "CallerLeft"
	// HostStopping tells the caller to go on at another host.
	HostStopping Code = "HostStopping"
)

// statusCallerLeft is the usual status in logs for a caller that left.
const statusCallerLeft = 499

// statuses holds the HTTP status of each code.
var statuses = map[Code]int{
	BadRequest:      http.StatusBadRequest,
	TooLarge:        http.StatusRequestEntityTooLarge,
	HeadTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	TooSlow:         http.StatusRequestTimeout,
	NoMethod:        http.StatusMethodNotAllowed,
	TooManyOpen:     http.StatusServiceUnavailable,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	KeyReused:       http.StatusUnprocessableEntity,
	KeyExpired:      http.StatusConflict,
	AnswerNotKept:   http.StatusConflict,
	InProgress:      http.StatusConflict,
	RateLimited:     http.StatusTooManyRequests,
	DeadlineTooNear: http.StatusServiceUnavailable,
	NoUpstream:      http.StatusServiceUnavailable,
	LogUnavailable:  http.StatusServiceUnavailable,
	UpstreamFailed:  http.StatusBadGateway,
	Quarantined:     http.StatusUnprocessableEntity,
	NotReady:        http.StatusServiceUnavailable,

	DeadlineExceeded: http.StatusGatewayTimeout,
	CallerLeft:       statusCallerLeft,
	HostStopping:     http.StatusServiceUnavailable,
}

// Error makes a failure usable as an error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Status returns the HTTP status of the failure.
func (f *Failure) Status() int { return statuses[f.Code] }

// Refuse returns a failure of a request that did not run.
func Refuse(code Code, message string) *Failure {
	return &Failure{Outcome: NotRun, Code: code, Message: message}
}

// WithRetryAfter returns the failure with a time to come back.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	changed := *f
	changed.RetryAfter = d
	return &changed
}

// WithOutcome returns the failure with another outcome.
func (f *Failure) WithOutcome(o Outcome) *Failure {
	changed := *f
	changed.Outcome = o
	return &changed
}

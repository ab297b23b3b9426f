// Package request holds a caller's request and its possible outcomes.
package request

import (
	"net/http"
	"time"
)

// Outcome reports whether a request ran.
type Outcome string

// The outcomes.
const (
	// Done means that the answer is complete.
	Done Outcome = "Done"
	// NotRun means that nothing was sent to an upstream, or that the upstream
	// confirmed that it did not start the request.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Kind is the kind of upstream that a request is for.
type Kind int

// The kinds of request.
const (
	// Completion is answered by an engine.
	Completion Kind = iota + 1
	// ServiceCall is answered by a plain service.
	ServiceCall
)

// Request is a caller's request after validation and authentication.
type Request struct {
	// ID identifies the request in logs and answers.
	ID string
	// Kind is the kind of upstream that the request is for.
	Kind Kind
	// Account is the name of the client account.
	Account string
	// Model is the model of a completion.
	Model string
	// Service is the name of a service call's pool.
	Service string
	// Method and Path are forwarded to the upstream.
	Method, Path string
	// ContentType and Accept are forwarded to a plain service.
	ContentType, Accept string
	// Body is the request's body. The body of a completion always asks for a
	// stream.
	Body []byte
	// Levels are the parts of the prompt in order, one per level of sharing.
	Levels [][]byte
	// MaxTokens limits the tokens of the answer; 0 if the caller set no limit.
	MaxTokens int
	// Stream reports whether the caller reads the answer as events.
	Stream bool
	// ResumeAfter is the position of the last event that the caller received.
	ResumeAfter int
	// Version is the model version that must answer.
	Version string
	// OtherVersion is an alternative model version, usable as long as no engine
	// can have started the request, or "".
	OtherVersion string
	// Key is the caller's idempotency key, or "".
	Key string
	// KeyIssued is when the caller created the key.
	KeyIssued time.Time
	// Idempotent reports whether the request may safely run more than once.
	Idempotent bool
	// Priority orders requests; a higher one goes first.
	Priority int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Failure is the final answer to a request that failed.
type Failure struct {
	// Outcome is NotRun or Unknown, or Done when only the answer is missing.
	Outcome Outcome
	// Code is the stable, machine-readable reason.
	Code Code
	// Message is the human-readable reason.
	Message string
	// RetryAfter is how long to wait before a retry; 0 means don't retry.
	RetryAfter time.Duration
}

// Code is the reason for a failure.
type Code string

// The codes.
const (
	BadRequest      Code = "BadRequest"
	TooLarge        Code = "TooLarge"
	HeadTooLarge    Code = "HeadTooLarge"
	TooSlow         Code = "TooSlow"
	NoMethod        Code = "NoMethod"
	TooManyOpen     Code = "TooManyOpen"
	NoRoom          Code = "NoRoom"
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
	// DeadlineExceeded ends a running request whose deadline passes.
	DeadlineExceeded Code = "DeadlineExceeded"
	// CallerLeft is logged for a request whose caller disconnected.
	CallerLeft Code = "CallerLeft"
	// HostStopping tells the caller to resume at another host.
	HostStopping Code = "HostStopping"
)

// statusCallerLeft is the status customary in logs for a client that closed the
// connection.
const statusCallerLeft = 499

// statuses holds the HTTP status of each code.
var statuses = map[Code]int{
	BadRequest:      http.StatusBadRequest,
	TooLarge:        http.StatusRequestEntityTooLarge,
	HeadTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	TooSlow:         http.StatusRequestTimeout,
	NoMethod:        http.StatusMethodNotAllowed,
	TooManyOpen:     http.StatusServiceUnavailable,
	NoRoom:          http.StatusServiceUnavailable,
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

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Status returns the HTTP status of the failure.
func (f *Failure) Status() int { return statuses[f.Code] }

// Refuse returns a failure of a request that did not run.
func Refuse(code Code, message string) *Failure {
	return &Failure{Outcome: NotRun, Code: code, Message: message}
}

// WithRetryAfter returns the failure with a Retry-After.
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

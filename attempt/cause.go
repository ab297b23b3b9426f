package attempt

// Cause is the reason why an attempt failed.
type Cause int

// The causes.
const (
	// NotStarted means that the upstream certainly did not start the request.
	NotStarted Cause = iota + 1
	// NotSent means that no byte of the attempt left this host.
	NotSent
	// ConnectionFailed means that the connection failed after the attempt was
	// sent.
	ConnectionFailed
	// MissingEnd means that the stream ended without its end marker.
	MissingEnd
	// Gap means that a token is missing, repeated or out of order.
	Gap
	// WrongAttempt means that the answer belongs to another attempt.
	WrongAttempt
	// IncarnationChanged means that the engine restarted after it was chosen.
	IncarnationChanged
	// WeightsChanged means that the engine runs another version of the weights.
	WeightsChanged
	// ErrorEvent means that the engine reported an error.
	ErrorEvent
	// Malformed means that the answer can't be parsed.
	Malformed
	// Stalled means that the engine sent no token before the timeout.
	Stalled
	// Rejected means that the engine rejected the request as invalid.
	Rejected
)

var causeNames = map[Cause]string{
	NotStarted: "NotStarted", NotSent: "NotSent", ConnectionFailed: "Cut", MissingEnd: "MissingEnd", Gap: "Gap",
	WrongAttempt: "WrongAttempt", IncarnationChanged: "IncarnationChanged", WeightsChanged: "WeightsChanged",
	ErrorEvent: "ErrorEvent", Malformed: "Malformed", Stalled: "Stalled", Rejected: "Rejected",
}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

// provesNotStarted reports whether the attempt certainly did not start.
func (c Cause) provesNotStarted() bool { return c == NotStarted || c == NotSent }

// suggestsCrash reports whether the engine may have crashed.
func (c Cause) suggestsCrash() bool { return c == ConnectionFailed || c == MissingEnd }

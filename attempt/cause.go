package attempt

// Cause tells why an attempt failed.
type Cause int

// The causes.
const (
	// NotStarted means that the upstream proved that it did not start.
	NotStarted Cause = iota + 1
	// NotSent means that no byte of the attempt left this host.
	NotSent
	// Cut means that the connection broke after the attempt was sent.
	Cut
	// MissingEnd means that the stream stopped without its end marker.
	MissingEnd
	// Gap means that a token is missing, repeated or out of order.
	Gap
	// WrongAttempt means that the answer belongs to another attempt.
	WrongAttempt
	// IncarnationChanged means that the engine restarted since the choice.
	IncarnationChanged
	// WeightsChanged means that the engine runs other weights.
	WeightsChanged
	// ErrorEvent means that the engine reported an error.
	ErrorEvent
	// Malformed means that the answer makes no sense.
	Malformed
	// Stalled means that the engine gave no token in time.
	Stalled
	// Rejected means that the engine refused the request itself.
	Rejected
)

var causeNames = map[Cause]string{
	NotStarted: "NotStarted", NotSent: "NotSent", Cut: "Cut", MissingEnd: "MissingEnd", Gap: "Gap",
	WrongAttempt: "WrongAttempt", IncarnationChanged: "IncarnationChanged", WeightsChanged: "WeightsChanged",
	ErrorEvent: "ErrorEvent", Malformed: "Malformed", Stalled: "Stalled", Rejected: "Rejected",
}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

// proven tells that the attempt certainly did not start.
func (c Cause) proven() bool { return c == NotStarted || c == NotSent }

// lost tells that the engine may have died.
func (c Cause) lost() bool { return c == Cut || c == MissingEnd }

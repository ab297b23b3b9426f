package intake

// DefaultReceiveBytes is the size of the kernel's buffer for what a connection receives.
const DefaultReceiveBytes = 8 << 10

// Divisors of the limit of callers' connections, for the limits of the other listeners.
const (
	// QueriesDivisor is for address queries, ChecksDivisor for readiness checks, metrics and
	// operators each, RelaysDivisor for relayed requests.
	QueriesDivisor, ChecksDivisor, RelaysDivisor = 4, 16, 4
	// SpareDivisor is for the connections of each listener that may be ending above its
	// limit, BacklogDivisor for those that wait to be accepted.
	SpareDivisor, BacklogDivisor = 32, 2
)

// Allotment is what clients may make a host hold.
type Allotment struct {
	Limits

	// Connections limits the connections of callers.
	Connections int
	// ReceiveBytes is the size of the kernel's buffer for what a connection receives; 0
	// leaves it to the kernel.
	ReceiveBytes int
}

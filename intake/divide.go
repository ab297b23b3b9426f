package intake

// The parts of a host's memory. What is left is for the program itself and its garbage, for
// caches, and for what upstreams send.
const (
	// RuntimeShare is the share that the Go runtime may use; the rest is for the program's
	// text, sockets and memory that the runtime doesn't count.
	RuntimeShare = 0.55
	// DefaultClientShare is the share that clients may make a host hold.
	DefaultClientShare = 0.5
	// DefaultReceiveBytes is the size of the kernel's buffer for what a connection receives.
	DefaultReceiveBytes = 8 << 10

	// connectionsPart, bodiesPart and smallBodiesPart divide the clients' share.
	connectionsPart, bodiesPart, smallBodiesPart = 0.5, 0.4, 0.1
	// connectionBytes is what an open connection takes without the bytes of a head and those
	// that the kernel holds: stacks, a buffer for answers, and what the server keeps of it.
	connectionBytes = 12 << 10
)

// Divisors of the limit of callers' connections, for the limits of the other listeners.
const (
	// QueriesDivisor is for address queries.
	QueriesDivisor = 4
	// ChecksDivisor is for readiness checks, metrics and operators each.
	ChecksDivisor = 16
	// RelaysDivisor is for relayed requests.
	RelaysDivisor = 4
	// SpareDivisor is for the connections of each listener that may be ending above its limit.
	SpareDivisor = 32
	// BacklogDivisor is for the connections of each listener that wait to be accepted.
	BacklogDivisor = 2

	// listeners is the number of listeners in units of the one for callers.
	listeners = 1 + 1./QueriesDivisor + 2./ChecksDivisor + 1./RelaysDivisor
	// descriptorsDivisor divides the descriptors to get the limit of callers' connections:
	// other listeners, upstreams, peers and the store need the rest.
	descriptorsDivisor = 2
	// minConnections is the least limit.
	minConnections = 8
)

// Machine is what a host has.
type Machine struct {
	// MemoryBytes is the memory use at which the process is killed.
	MemoryBytes int64
	// Descriptors limits open files and sockets.
	Descriptors int
	// ClientShare is the share of the memory that clients may make the host hold.
	ClientShare float64
	// HeadBytes is the size of the buffer for the head of a request.
	HeadBytes int
	// ReceiveBytes is the size of the kernel's buffer for what a connection receives; it
	// holds up to twice as much.
	ReceiveBytes int
}

// Allotment is what clients may make a host hold.
type Allotment struct {
	Limits

	// Connections limits the connections of callers.
	Connections int
	// ReceiveBytes is the size of the kernel's buffer for what a connection receives.
	ReceiveBytes int
	// RuntimeBytes limits the memory of the Go runtime.
	RuntimeBytes int64
}

// Divide divides the memory of a machine: what connections, with the bytes that wait in the
// kernel, and bodies hold together stays within the clients' share.
func Divide(m Machine) Allotment {
	clients := m.ClientShare * float64(m.MemoryBytes)
	return Allotment{
		Limits:       Limits{Bytes: int64(bodiesPart * clients), SmallBytes: int64(smallBodiesPart * clients)},
		Connections:  max(minConnections, min(m.Descriptors/descriptorsDivisor, int(connectionsPart*clients/m.connectionCost()))),
		ReceiveBytes: m.ReceiveBytes,
		RuntimeBytes: int64(RuntimeShare * float64(m.MemoryBytes)),
	}
}

// connectionCost returns the memory that a connection of a caller takes, with its part of
// the other listeners and of the connections that are ending or wait to be accepted.
func (m Machine) connectionCost() float64 {
	received := 2 * float64(m.ReceiveBytes)
	return listeners * ((1+1./SpareDivisor)*(connectionBytes+float64(m.HeadBytes)+received) + received/BacklogDivisor)
}

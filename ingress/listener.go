// Package ingress accepts the connections of clients that nobody controls, and reads what
// they send, within the memory and descriptors of a host. Package intake decides what is
// taken in; all listeners of a host share one account of it.
package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/intake"
	"github.com/kumquathoist/kumquathoist/socket"
)

const (
	// maxRefusals bounds the connections that are being refused. Further ones are closed
	// without an answer.
	maxRefusals = 32
	// refusalTimeout bounds the exchange with a client whose connection is refused.
	refusalTimeout = 100 * time.Millisecond
	// waitingDivisor divides the open connections to get the number of those that have to wait
	// for their clients or to end, so that a new one waits for its room: each of the new ones
	// behind it waits, too.
	waitingDivisor = 8
	// crowdedTime is how long connections end with their answers after a client has found no
	// room: those that are refused come back by then.
	crowdedTime = 2 * intake.StandstillTime
	// logInterval is the interval between log lines on clients that were refused or cut.
	logInterval = time.Second
)

// The reasons for which connections end or are refused.
const (
	connectionIdle       = "Idle"
	connectionStandstill = "Standstill"
	connectionUnread     = "UnreadAnswer"
	connectionRefused    = "Refused"
)

// Options configures a Listener.
type Options struct {
	// Address is the IP:port to listen on.
	Address string
	// Connections limits the open connections. Above it, those end that wait for their
	// clients for longest.
	Connections int
	// ReceiveBytes is the size of the kernel's buffer for what a connection has received;
	// 0 leaves it to the kernel. It holds up to twice as much.
	ReceiveBytes int
	// Backlog limits the connections that wait to be accepted; 0 leaves it to the kernel.
	Backlog int
	// Spare is the number of connections that may be ending above the limit.
	Spare int
	// Refusal is what a client is sent whose connection is refused.
	Refusal []byte
	// IdleLimit returns the operators' limit of the time for which a connection may be idle
	// before it is used again; 0 means none. Nil means that there is none.
	IdleLimit func() time.Duration
	// HeaderTimeout returns the operators' limit of the time for the head of a request, and
	// for the next part of a body; 0 means none. Nil means that there is none.
	HeaderTimeout func() time.Duration
	// WriteTimeout limits each write to a client; 0 means that the server does.
	WriteTimeout time.Duration
	// Metrics receives the metrics of the listener; nil means that there are none.
	Metrics tally.Scope
}

// Listener accepts connections that stay open for as long as clients may use them again,
// and keeps those that are open.
type Listener struct {
	net.Listener
	Options

	idleLimits *idleLimits
	endings    log
	owing      lineLimit
	refusals   atomic.Int64
	// crowdedAt is when a client last found no room, in Unix nanoseconds.
	crowdedAt atomic.Int64
	// closed receives a value when a connection has closed, as far as one is awaited.
	closed chan struct{}
	// mu guards the fields below.
	mu   sync.Mutex
	open map[*Conn]struct{}
	// ending is set once connections end that no request arrives on.
	ending bool
}

// Listen listens on a TCP address.
func Listen(o Options) (*Listener, error) {
	none := func() time.Duration { return 0 }
	if o.IdleLimit == nil {
		o.IdleLimit = none
	}
	if o.HeaderTimeout == nil {
		o.HeaderTimeout = none
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	raw, err := socket.Listen(o.Address, o.ReceiveBytes, o.Backlog)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: raw, Options: o, idleLimits: &idleLimits{limit: o.IdleLimit}, closed: make(chan struct{}, 1), open: map[*Conn]struct{}{}}, nil
}

// mostOpen returns the largest number of open connections, with those that are ending.
func (l *Listener) mostOpen() int { return l.Connections + l.Spare }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, err
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
		l.record(connectionRefused)
		l.refuse(tcp)
	}
}

// admit returns the connection once there is room for it, or nil if all others are in use.
func (l *Listener) admit(tcp *net.TCPConn) *Conn {
	for {
		c, wait := l.take(tcp)
		if c != nil || wait == 0 {
			return c
		}
		timer := time.NewTimer(wait)
		select {
		case <-l.closed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// take returns the connection if there is room for it. Otherwise it returns the time until
// another one will have stood still for long enough to make room, 0 if none stands still.
func (l *Listener) take(tcp *net.TCPConn) (*Conn, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	if len(l.open) >= l.Connections {
		wait = l.makeRoom()
	}
	if len(l.open) >= l.mostOpen() && !l.ending {
		l.crowdedAt.Store(time.Now().UnixNano())
		return nil, wait
	}
	c := &Conn{TCPConn: tcp, listener: l, endsIdle: l.ending, since: time.Now()}
	c.caller, _, _ = net.SplitHostPort(tcp.RemoteAddr().String())
	l.open[c] = struct{}{}
	return c, 0
}

// isCrowded reports whether clients have found no room lately.
func (l *Listener) isCrowded() bool {
	return time.Now().UnixNano()-l.crowdedAt.Load() < int64(crowdedTime)
}

// MustClose reports whether a client's connection has to end with its answer, since others
// find no room: one that sends request after request would keep it.
func MustClose(c net.Conn) bool {
	own, ok := c.(*Conn)
	return ok && own.listener.isCrowded()
}

// refuse answers that there are too many connections. It reads and discards the client's
// data for a short time, since closing a connection with unread data resets it and the
// answer would be lost.
func (l *Listener) refuse(tcp *net.TCPConn) {
	if l.refusals.Add(1) > maxRefusals {
		l.refusals.Add(-1)
		_ = tcp.Close()
		return
	}
	go func() {
		defer l.refusals.Add(-1)
		defer func() { _ = tcp.Close() }()
		_ = tcp.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := tcp.Write(l.Refusal); err == nil && tcp.CloseWrite() == nil {
			_, _ = tcp.Read(make([]byte, refusalBytes))
		}
	}()
}

// refusalBytes is what is read of a request whose connection is refused.
const refusalBytes = 4 << 10

// standing is a connection that waits for its client.
type standing struct {
	conn  *Conn
	since time.Time
}

// makeRoom ends the connection that has been idle for longest; else the request that has
// stood still for longest while it arrives; else the answer that its client has not taken
// for longest, if any has waited for long enough. It returns the time until one has, or one
// that is ending has ended; 0 if too many are in use for others to wait. The caller holds
// the mutex.
func (l *Listener) makeRoom() time.Duration {
	now, waiting := time.Now(), 0
	var longest [standsEnding + 1]standing
	for c := range l.open {
		since, state := c.standing()
		if state != standsNot {
			waiting++
		}
		if found := &longest[state]; found.conn == nil || since.Before(found.since) {
			*found = standing{c, since}
		}
	}
	wait := intake.StandstillTime
	for _, end := range []struct {
		state  standingState
		end    func(*Conn)
		reason string
	}{
		{standsIdle, (*Conn).endUnread, connectionIdle},
		{standsArriving, (*Conn).displace, connectionStandstill},
		{standsUnread, (*Conn).endAnswer, connectionUnread},
	} {
		found := longest[end.state]
		if found.conn == nil {
			continue
		}
		left := intake.StandstillTime - now.Sub(found.since)
		if left <= 0 {
			end.end(found.conn)
			l.record(end.reason)
			break
		}
		wait = min(wait, left)
	}
	if waiting*waitingDivisor < len(l.open) {
		return 0
	}
	return wait
}

// record counts a connection that ended or was refused since there are too many, and logs a
// bounded number of them.
func (l *Listener) record(reason string) {
	if reason == connectionRefused {
		l.Metrics.Counter("connections_refused").Inc(1)
	} else {
		l.Metrics.Counter("connections_displaced").Inc(1)
	}
	if count, ok := l.endings.next(); ok {
		event.ConnectionDisplaced.Info("Listener", l.Addr().String(), "Reason", reason, "Limit", l.Connections, "Count", count)
	}
}

// CountOpen returns the number of open connections.
func (l *Listener) CountOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Open returns the open connections.
func (l *Listener) Open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		found = append(found, c)
	}
	return found
}

// End accepts no more connections, and ends those of whose next request nothing has been
// read. The others end after their answers.
func (l *Listener) End() {
	l.mu.Lock()
	l.ending = true
	l.mu.Unlock()
	_ = l.Close()
	l.notifyClosed()
	for _, c := range l.Open() {
		c.endUnread()
	}
}

// remove forgets a connection that has closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.notifyClosed()
}

// notifyClosed wakes the one that waits for room.
func (l *Listener) notifyClosed() {
	select {
	case l.closed <- struct{}{}:
	default:
	}
}

// log tells when to log a line of a kind that may come often.
type log struct {
	// at is when the last line was logged, in Unix nanoseconds; unlogged counts since.
	at, unlogged atomic.Int64
}

// next reports whether a line may be logged now, and for how many events it stands.
func (l *log) next() (count int64, ok bool) {
	count = l.unlogged.Add(1)
	last, now := l.at.Load(), time.Now().UnixNano()
	if now-last < int64(logInterval) || !l.at.CompareAndSwap(last, now) {
		return 0, false
	}
	l.unlogged.Add(-count)
	return count, true
}

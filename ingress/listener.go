// Package ingress accepts the connections of clients that nobody controls, and reads what
// they send, within the memory and descriptors of a host. Package intake decides what is
// taken in; all listeners of a host share one account of it.
package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/intake"
)

const (
	// minSpare is the least number of connections that may be ending above the limit.
	minSpare = 8
	// maxRefusals bounds the connections that are being refused. Further ones are closed
	// without an answer.
	maxRefusals = 32
	// refusalTimeout bounds the exchange with a client whose connection is refused.
	refusalTimeout = 100 * time.Millisecond
	// logInterval is the interval between log lines on clients that were refused or cut.
	logInterval = time.Second
)

// The reasons for which connections end or are refused.
const (
	connectionIdle       = "Idle"
	connectionStandstill = "Standstill"
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
	refusals   atomic.Int64
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
	raw, err := listen(o)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", o.Address)
	}
	return &Listener{Listener: raw, Options: o, idleLimits: &idleLimits{limit: o.IdleLimit}, open: map[*Conn]struct{}{}}, nil
}

// listen sets the buffer of the listening socket, since connections receive before they are
// accepted.
func listen(o Options) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if o.ReceiveBytes == 0 {
			return nil
		}
		return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBytes) })
	}}
	l, err := config.Listen(context.Background(), "tcp", o.Address)
	if err != nil || o.Backlog == 0 {
		return l, err
	}
	c, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = control(c, func(fd int) error { return unix.Listen(fd, o.Backlog) })
	}
	if err != nil {
		_ = l.Close()
		return nil, trace.Wrap(err, "setting the backlog")
	}
	return l, nil
}

// control calls a function with the descriptor of a socket.
func control(c syscall.RawConn, change func(fd int) error) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) { err = change(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}

// MostOpen returns the largest number of open connections, with those that are ending.
func (l *Listener) MostOpen() int {
	return l.Connections + max(minSpare, l.Connections/intake.SpareDivisor)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, err
		}
		if c := l.take(tcp); c != nil {
			return c, nil
		}
		l.record(connectionRefused)
		l.refuse(tcp)
	}
}

// take returns the connection if there is room for it.
func (l *Listener) take(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.Connections {
		l.makeRoom()
	}
	if len(l.open) >= l.MostOpen() {
		return nil
	}
	c := &Conn{TCPConn: tcp, listener: l, ending: l.ending, since: time.Now()}
	c.caller, _, _ = net.SplitHostPort(tcp.RemoteAddr().String())
	l.open[c] = struct{}{}
	return c
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

// makeRoom ends the connection that has been idle for longest, or else refuses the request
// that has stood still for longest while it arrives, if that is long enough. The caller
// holds the mutex.
func (l *Listener) makeRoom() {
	before := time.Now().Add(-intake.StandstillTime)
	var longest [standsArriving + 1]standing
	for c := range l.open {
		since, state := c.standing()
		if found := &longest[state]; since.Before(before) && (found.conn == nil || since.Before(found.since)) {
			*found = standing{c, since}
		}
	}
	switch {
	case longest[standsIdle].conn != nil:
		longest[standsIdle].conn.endUnread()
		l.record(connectionIdle)
	case longest[standsArriving].conn != nil:
		longest[standsArriving].conn.displace()
		l.record(connectionStandstill)
	}
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
	for _, c := range l.Open() {
		c.endUnread()
	}
}

// remove forgets a connection that has closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
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

package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/intake"
)

const (
	// PrefetchBytes is what a server may read of a body before it is taken in.
	PrefetchBytes = 4 << 10
	// RetryAfter is when a request without room for its body may come back: by then bodies
	// that stand still make room.
	RetryAfter = intake.StandstillTime

	// wholeBytes is the length up to which the room for a body is taken at once.
	wholeBytes = 80 << 10
	// chunkedBytes is the room that a body in chunks takes at first.
	chunkedBytes = 4 << 10
	// tooLongHeader marks a request whose announced body is beyond the limit.
	tooLongHeader = "Content-Length-Refused"
	// progressInterval is the time after which the progress of a body is recorded.
	progressInterval = 50 * time.Millisecond
)

// The errors of bodies that aren't taken in. None of their requests is passed on.
var (
	// ErrTooLarge means that the body is larger than the operators' limit.
	ErrTooLarge = errors.New("the body is larger than the operators' limit")
	// ErrNoRoom means that there is no room for the body, or that it made room for another.
	ErrNoRoom = errors.New("there is no room for the body")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errors.New("the body did not arrive in time")
)

// BodyOptions configures Bodies.
type BodyOptions struct {
	// Limits are those of the bodies that arrive or whose requests are in progress.
	Limits intake.Limits
	// IDHeader is the header with the ID of a request, for log lines.
	IDHeader string
	// Copies is how many copies of a body its request may hold.
	Copies int
	// Metrics receives the metrics of bodies that aren't taken in.
	Metrics tally.Scope
}

// Bodies takes in the bodies of the requests of a host.
type Bodies struct {
	BodyOptions

	// turns holds an element for each body in chunks that is being decoded.
	turns    chan struct{}
	refusals log
	// mu guards the fields below.
	mu     sync.Mutex
	intake *intake.Intake
	// conns are the connections on which bodies arrive.
	conns map[*intake.Body]*Conn
}

// NewBodies returns the bodies of a host.
func NewBodies(o BodyOptions) *Bodies {
	return &Bodies{
		BodyOptions: o, turns: make(chan struct{}, runtime.GOMAXPROCS(0)),
		intake: intake.New(o.Limits), conns: map[*intake.Body]*Conn{},
	}
}

// Body is the body of one request while it arrives and is held.
type Body struct {
	// Data is the body once it is whole.
	Data []byte
	// ArrivedAt is when it was whole.
	ArrivedAt clock.Instant

	bodies *Bodies
	// held is nil if the request has no body.
	held *intake.Body
	conn *Conn
	// limit is the largest length; 0 means none. announced is the length that the head
	// tells, -1 for a body in chunks.
	limit, announced int
	// progressed and looked are when the body last progressed.
	progressed clock.Instant
	looked     time.Time
	// hasTurn is set while the body may be decoded.
	hasTurn bool
}

// Handler returns a handler that reads the body of each request up to a limit before the
// next one handles it, or has the request refused. The room of a body is held until its
// answer has been taken.
func (b *Bodies) Handler(limit int, next fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		body, err := b.Read(ctx, limit)
		if err != nil {
			refuse(ctx, err)
			return
		}
		update(ctx.Conn(), func(r *OpenRequest) { r.Taken = body.End })
		ctx.Request.SetBodyRaw(body.Data)
		next(ctx)
		if MustClose(ctx.Conn()) {
			ctx.SetConnectionClose()
		}
	}
}

// Read reads the body of a request up to a limit, 0 for none. The caller has to call its End.
// If the body isn't taken in, the request has to be refused, and its connection closed.
func (b *Bodies) Read(ctx *fasthttp.RequestCtx, limit int) (*Body, error) {
	h := &ctx.Request.Header
	if h.ContentLength() == 0 && h.ConnectionClose() && len(h.Peek(tooLongHeader)) > 0 {
		update(ctx.Conn(), func(r *OpenRequest) { r.Written = true })
		b.Record(ctx, ErrTooLarge, 0)
		return nil, ErrTooLarge
	}
	in := ctx.RequestBodyStream()
	if in == nil || h.ContentLength() == 0 {
		update(ctx.Conn(), markWhole)
		return &Body{bodies: b, ArrivedAt: clock.Now()}, nil
	}
	body := b.begin(ctx, limit)
	err := body.read(in)
	if err == nil {
		update(ctx.Conn(), markWhole)
		return body, nil
	}
	if body.displaced() {
		err = ErrNoRoom
	} else if isTimeout(err) {
		err = ErrTooSlow
	}
	body.End()
	update(ctx.Conn(), func(r *OpenRequest) { r.Written = true })
	b.Record(ctx, err, len(body.Data))
	return nil, err
}

// markWhole records that the request of a connection has arrived.
func markWhole(r *OpenRequest) { r.Whole = true }

// update changes the request of a connection.
func update(c net.Conn, change func(*OpenRequest)) {
	if own, ok := c.(*Conn); ok {
		own.Update(change)
	}
}

// begin returns the body of a request that arrives on a connection.
func (b *Bodies) begin(ctx *fasthttp.RequestCtx, limit int) *Body {
	body := &Body{bodies: b, limit: limit, announced: ctx.Request.Header.ContentLength(), progressed: clock.Now(), looked: time.Now()}
	caller := ""
	if conn, ok := ctx.Conn().(*Conn); ok {
		body.conn, caller = conn, conn.caller
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	body.held = b.intake.Begin(caller, body.progressed)
	b.conns[body.held] = body.conn
	return body
}

// read reads the body. Its memory never grows far beyond what has arrived.
func (b *Body) read(in io.Reader) error {
	if b.announced >= 0 && b.limit > 0 && b.announced > b.limit {
		return ErrTooLarge
	}
	if b.conn != nil {
		b.conn.reading = b
		defer func() {
			b.conn.reading = nil
			b.beforeRead()
		}()
	}
	size := chunkedBytes
	if b.announced >= 0 {
		size = min(b.announced, wholeBytes)
	}
	for {
		if err := b.grow(size); err != nil {
			return err
		}
		err := b.fill(in)
		switch {
		case errors.Is(err, io.EOF):
			return b.arrived()
		case err != nil:
			return err
		case b.limit > 0 && len(b.Data) > b.limit:
			return ErrTooLarge
		}
		size = 2 * cap(b.Data)
		if b.announced >= 0 {
			size = min(size, b.announced)
		} else if b.limit > 0 {
			size = min(size, b.limit+1) // one byte more tells that it is too large
		}
	}
}

// beforeRead is called before the connection waits for more bytes.
func (b *Body) beforeRead() {
	if b.hasTurn {
		b.hasTurn = false
		<-b.bodies.turns
	}
}

// afterRead is called when more bytes have arrived. Bodies in chunks take turns, since many
// small chunks in a few bytes take the processor for long.
func (b *Body) afterRead() {
	if b.announced < 0 {
		b.bodies.turns <- struct{}{}
		b.hasTurn = true
	}
	b.progress()
}

// fill reads until the buffer is full, or the body ends with io.EOF.
func (b *Body) fill(in io.Reader) error {
	for {
		if len(b.Data) == b.announced {
			return io.EOF
		}
		if len(b.Data) == cap(b.Data) {
			return nil
		}
		n, err := in.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		switch {
		case errors.Is(err, io.EOF) && b.announced >= 0 && len(b.Data) < b.announced:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// progress records that a part of the body has arrived, and allows some time for the next.
func (b *Body) progress() {
	now := time.Now()
	if now.Sub(b.looked) < progressInterval {
		return
	}
	b.progressed, b.looked = clock.Now(), now
	if b.conn != nil {
		b.conn.awaitMore()
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.intake.Progress(b.held, b.progressed)
}

// grow takes room for a number of bytes, and for what the kernel receives beyond them.
func (b *Body) grow(size int) error {
	window := receiveWindow(size)
	if !b.take(size*b.bodies.Copies + window) {
		return ErrNoRoom
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	if b.conn != nil {
		b.conn.widen(window)
	}
	return nil
}

// take takes room for a number of bytes, and refuses the requests that make room for it.
func (b *Body) take(bytes int) bool {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	taken, displaced := b.bodies.intake.Grow(b.held, int64(bytes), b.progressed)
	for _, other := range displaced {
		if conn := b.bodies.conns[other]; conn != nil {
			conn.displace()
		}
	}
	return taken
}

// arrived records that the body is whole.
func (b *Body) arrived() error {
	b.ArrivedAt = b.progressed
	if time.Since(b.looked) >= time.Millisecond {
		b.ArrivedAt = clock.Now()
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if b.held.Ended() {
		return ErrNoRoom
	}
	b.bodies.intake.Arrived(b.held)
	delete(b.bodies.conns, b.held)
	return nil
}

// End gives back the room of the body.
func (b *Body) End() {
	if b.held == nil {
		return // the request has no body
	}
	if b.conn != nil {
		b.conn.narrow()
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.intake.End(b.held)
	delete(b.bodies.conns, b.held)
}

// displaced reports whether the body made room for another one.
func (b *Body) displaced() bool {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	return b.held.Ended()
}

// Record counts a request that isn't taken in, of which a number of bytes had arrived, and
// logs a bounded number of them.
func (b *Bodies) Record(ctx *fasthttp.RequestCtx, err error, bytes int) {
	reason := refusalReason(err)
	b.Metrics.Tagged(map[string]string{"reason": reason}).Counter("bodies_refused").Inc(1)
	count, ok := b.refusals.next()
	if !ok {
		return
	}
	b.mu.Lock()
	held := b.intake.Held()
	b.mu.Unlock()
	event.BodyRefused.Info("Request", string(ctx.Request.Header.Peek(b.IDHeader)), "Caller", ctx.RemoteAddr().String(), "Reason", reason, "Bytes", bytes, "HeldBytes", held, "Count", count)
}

// refusalReason returns the reason that metrics and log lines name for an error.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return "TooLarge"
	case errors.Is(err, ErrNoRoom):
		return "NoRoom"
	case errors.Is(err, ErrTooSlow):
		return "TooSlow"
	}
	return "Broken"
}

// isTimeout reports whether the time to read a request has passed. The library's error for
// a broken chunk doesn't unwrap to its cause; its text ends with it.
func isTimeout(err error) bool {
	var chunk fasthttp.ErrBrokenChunk
	if errors.As(err, &chunk) {
		return strings.HasSuffix(chunk.Error(), os.ErrDeadlineExceeded.Error())
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// LimitHead returns a function that is told the head of a request before its body is read. A
// body that is beyond the limit is not awaited.
func LimitHead(limit func() int) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if h.ContentLength() > limit() {
			h.SetContentLength(0)
			h.SetConnectionClose()
			h.Set(tooLongHeader, "1")
		}
		return fasthttp.RequestConfig{}
	}
}

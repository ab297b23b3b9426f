package http1

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/call"
)

const (
	// maxInlineWriteBytes is the size of the largest request that is written
	// before the answer is read; an upstream may answer a longer one before it
	// has read all of it.
	maxInlineWriteBytes = 8 << 10
	// maxStrays bounds the answers to earlier requests that are skipped.
	maxStrays = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// maxTrailerBytes bounds the trailer fields after a body.
	maxTrailerBytes = 4096
	// maxFramingBytes is how many bytes more than its data the chunk framing of
	// a body may take. The smallest events of a stream are several times as
	// large as their framing.
	maxFramingBytes = 64 << 10
	// maxJoinedBytes is how much of the end of a body may be the start of another answer; the
	// refusals of upstreams are a few hundred bytes long.
	maxJoinedBytes = 1 << 10
	// maxSkipBytes and skipTimeout bound the rest of an answer that is read only
	// to reuse its connection; a new one costs about a millisecond.
	maxSkipBytes = 64 << 10
	skipTimeout  = 20 * time.Millisecond
	// writeEndTimeout bounds the wait for the end of a request's writing on a
	// connection that has ended.
	writeEndTimeout = time.Second
)

// ErrNotSent is wrapped by errors that mean that no byte of the request has left
// this host.
var ErrNotSent = errors.New("not sent")

// ErrRefused is wrapped together with ErrNotSent if the address refuses
// connections.
var ErrRefused = errors.New("connection refused")

// ErrWithdrawn means that a request was taken back because it had yet to arrive. Whether
// it had is only known as far as the upstream's acknowledgements arrive here.
var ErrWithdrawn = errors.New("withdrawn before it arrived")

// Exchange is a sent request and its answer. Read returns io.EOF only after a
// complete answer.
type Exchange struct {
	call.Head

	pool *Pool
	conn *conn
	// id is the hash of the request's id.
	id       uint64
	body     io.Reader
	release  func() bool
	written  chan error
	complete bool
	// skipped counts the answers to other requests that came before this one.
	skipped int
	// contextErr returns why this side cancelled the request, or nil.
	contextErr func() error
	// deadline is the context's deadline, or zero.
	deadline time.Time
}

// Send writes a request and reads the head of its answer. Cancelling the context
// resets the connection. The id is that of the call; the upstream returns it in
// its answer. A long body is written as it is, without a copy.
func (p *Pool) Send(ctx context.Context, address, id, method string, head, body []byte) (*Exchange, error) {
	hash := maphash.String(p.seed, id)
	c, err := p.acquire(ctx, address, hash)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	e := &Exchange{pool: p, conn: c, id: hash, written: make(chan error, 1), contextErr: ctx.Err}
	if deadline, ok := ctx.Deadline(); ok {
		e.deadline = deadline
		_ = c.SetDeadline(deadline)
	}
	e.release = context.AfterFunc(ctx, c.reset)
	p.awaitAnswer(c, true)
	defer p.awaitAnswer(c, false)
	if len(head)+len(body) <= maxInlineWriteBytes {
		_, err = c.Write(append(head, body...))
		e.written <- err
	} else {
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(body)
			}
			e.written <- err
		}()
	}
	if err == nil {
		err = e.readHead(id, method)
	}
	if err != nil {
		e.Discard()
		return nil, trace.Wrap(e.fail(err), "no answer from %s", address)
	}
	return e, nil
}

// IsJoined reports whether the answer's body was cut and filled up with the start of another
// answer, whose rest follows. The body must have been read to its end.
func (e *Exchange) IsJoined(body []byte) bool {
	rest := e.conn.pending(len(statusLineForm))
	if len(rest) == 0 || holdsStatusLine(rest) {
		return false // nothing follows, or a whole answer
	}
	end := append(slices.Clone(body[max(0, len(body)-maxJoinedBytes):]), rest[:min(len(rest), len(statusLineForm)-1)]...)
	return holdsStatusLine(end)
}

// newBody returns the body reader for the framing in the head.
func (e *Exchange) newBody(h *fasthttp.ResponseHeader, method string) io.Reader {
	length := h.ContentLength()
	status := h.StatusCode()
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return &fixedBody{exchange: e}
	case length >= 0:
		return &fixedBody{exchange: e, remaining: int64(length)}
	case length == -1:
		return &chunkedBody{exchange: e, in: httputil.NewChunkedReader(e.conn.buffer), start: e.conn.position()}
	}
	e.Close = true
	return &closeDelimitedBody{exchange: e}
}

// Read reads from the body.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = e.fail(err)
	}
	return n, err
}

// fail returns the cause of an error that ends the exchange, and has the pool doubt the other
// connections to an upstream that has ended this one.
func (e *Exchange) fail(err error) error {
	err = e.cause(err)
	if ClosedByUpstream(err) && !e.conn.isUnaccepted(err) {
		e.pool.recordBreak(e.conn.address)
	}
	return err
}

// cause returns why this side cancelled the request, or else the connection's
// error. After a cancellation the connection's error only says that it was
// closed.
func (e *Exchange) cause(err error) error {
	if cancelled := e.contextErr(); cancelled != nil {
		return cancelled
	}
	if e.conn.withdrawn.Load() {
		return ErrWithdrawn
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return os.ErrDeadlineExceeded
	}
	return err
}

// ClosedByUpstream reports whether an error means that the upstream's side
// closed the connection before its answer was complete. A connection that timed out
// says nothing of the upstream: the link to it may be cut.
func ClosedByUpstream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// ResetByUpstream reports whether the upstream's machine reset the connection, as for a
// process that ends before it has read all that has arrived.
func ResetByUpstream(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// AwaitData waits until there is more to read, or returns
// os.ErrDeadlineExceeded after the limit. The answer can still be read then.
func (e *Exchange) AwaitData(limit time.Duration) error {
	if e.complete || e.conn.buffer.Buffered() > 0 {
		return nil
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(limit))
	_, err := e.conn.buffer.Peek(1)
	_ = e.conn.SetReadDeadline(e.deadline)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil // Read returns any other error.
}

// NotifyData returns a channel that is closed once there is more to read, or once the
// connection has ended. The answer can be read again after stop has returned.
func (e *Exchange) NotifyData() (ready <-chan struct{}, stop func()) {
	found, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := e.conn.buffer.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			close(found)
		}
	}()
	return found, func() {
		// A deadline in the past makes the pending read return.
		_ = e.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = e.conn.SetReadDeadline(e.deadline)
	}
}

// HasData reports whether some of the answer was received and not yet read.
func (e *Exchange) HasData() bool { return e.conn.buffer.Buffered() > 0 }

// Connection returns the number of the connection, which identifies it within its pool.
func (e *Exchange) Connection() int64 { return e.conn.number }

// Skipped returns how many answers to other requests came before this one.
func (e *Exchange) Skipped() int { return e.skipped }

// IsFirst reports whether the request was the first on its connection.
func (e *Exchange) IsFirst() bool { return e.conn.isNew }

// Complete reports whether the answer has been read to its end.
func (e *Exchange) Complete() bool { return e.complete }

// EndsWithConnection reports whether the body has neither a length nor chunks, so
// that only the end of the connection ends it.
func (e *Exchange) EndsWithConnection() bool {
	_, ok := e.body.(*closeDelimitedBody)
	return ok
}

// Finish returns the connection to the pool if the answer was read to its end
// and the whole request was written, and closes it otherwise.
func (e *Exchange) Finish() {
	if !e.complete || e.Close || e.conn.buffer.Buffered() > 0 {
		e.Discard()
		return
	}
	select {
	case err := <-e.written:
		if err != nil {
			e.Discard()
			return
		}
	default:
		e.Discard()
		return
	}
	if !e.release() {
		return
	}
	switch isServed := !e.NotRun && e.Status < http.StatusMultipleChoices; {
	case isServed:
		e.conn.addServed(e.id)
	case !e.conn.addUnserved(unserved{e.id, e.deadline}):
		_ = e.conn.Close()
		return
	}
	e.pool.putIdle(e.conn, e.KeepAlive)
}

// SkipRest reads and discards the rest of an answer and returns the connection
// to the pool, or closes it if the rest is too long.
func (e *Exchange) SkipRest() {
	_ = e.conn.SetReadDeadline(time.Now().Add(skipTimeout))
	if _, err := io.Copy(io.Discard, io.LimitReader(e, maxSkipBytes)); err != nil {
		e.Discard()
		return
	}
	e.Finish()
}

// Discard closes the connection. If the answer is not complete, the upstream gets no
// more of the request.
func (e *Exchange) Discard() {
	e.release()
	if e.complete {
		_ = e.conn.Close()
		return
	}
	e.conn.reset()
}

// fixedBody is a body of known length.
type fixedBody struct {
	exchange  *Exchange
	remaining int64
}

func (f *fixedBody) Read(b []byte) (int, error) {
	if f.remaining == 0 {
		f.exchange.complete = true
		return 0, io.EOF
	}
	n, err := f.exchange.conn.buffer.Read(b[:min(int64(len(b)), f.remaining)])
	f.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body with chunked transfer encoding.
type chunkedBody struct {
	exchange *Exchange
	in       io.Reader
	// start is the position at which the body starts, dataBytes the number of
	// data bytes read.
	start, dataBytes int64
}

func (c *chunkedBody) Read(b []byte) (int, error) {
	if c.exchange.complete {
		return 0, io.EOF
	}
	n, err := c.in.Read(b)
	c.dataBytes += int64(n)
	if framing := c.exchange.conn.position() - c.start - c.dataBytes; framing > c.dataBytes+maxFramingBytes {
		return n, trace.LimitExceeded("%d bytes of chunk framing around %d bytes of body data", framing, c.dataBytes)
	}
	if errors.Is(err, io.EOF) {
		if err = skipTrailer(c.exchange.conn.buffer); err == nil {
			c.exchange.complete = true
			err = io.EOF
		}
	}
	return n, err
}

// skipTrailer reads the trailer fields after the last chunk.
func skipTrailer(in *bufio.Reader) error {
	for read := 0; ; {
		line, err := in.ReadSlice('\n')
		read += len(line)
		switch {
		case read > maxTrailerBytes:
			return trace.LimitExceeded("the trailer fields exceed %d bytes", maxTrailerBytes)
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(line) <= 2:
			return nil
		}
	}
}

// closeDelimitedBody is a body that ends when its connection is closed. A reset
// doesn't end it. A connection reports a reset only once, and the writer of the request may
// have received the report: the reader then sees an end as of a closed connection.
type closeDelimitedBody struct{ exchange *Exchange }

func (c *closeDelimitedBody) Read(b []byte) (int, error) {
	n, err := c.exchange.conn.buffer.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failed := c.exchange.awaitWritten(); failed != nil {
		return n, failed
	}
	c.exchange.complete = true
	return n, err
}

// awaitWritten returns why the request was not written whole, or nil. The connection must
// have ended: a reset ends the writing at once. If it goes on, the upstream closed only its
// side of the connection, which ends the answer in order.
func (e *Exchange) awaitWritten() error {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case err := <-e.written:
		e.written <- err
		return err
	case <-timer.C:
		return nil
	}
}

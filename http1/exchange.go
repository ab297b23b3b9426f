package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/call"
)

const (
	// inlineBytes is the largest request that is written before the answer is
	// read; an upstream may answer a longer one before it has read it all.
	inlineBytes = 8 << 10
	// strays bounds the answers to earlier requests that are skipped.
	strays = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// maxInformational bounds the heads before that of the answer; upstreams
	// send one or two.
	maxInformational = 8
	// maxTrailerBytes bounds the fields after a body.
	maxTrailerBytes = 4096
	// maxFramingBytes is how much more than the data of its chunks the framing
	// of a body may take. The smallest events of a stream are several times as
	// large as their framing.
	maxFramingBytes = 64 << 10
	// maxReasonBytes bounds what is told of a head that can't be read.
	maxReasonBytes = 256
	// dropBytes and dropTime bound the rest of an answer that is read only to
	// keep its connection, which costs about a millisecond to make anew.
	dropBytes = 64 << 10
	dropTime  = 20 * time.Millisecond
)

// ErrNotSent is wrapped by errors that mean that no byte of the request left
// this host.
var ErrNotSent = errors.New("not sent")

// ErrRefused is wrapped beside ErrNotSent if nobody listens at the address.
var ErrRefused = errors.New("connection refused")

// Exchange is a request that was sent. Body ends with io.EOF only after a
// complete answer.
type Exchange struct {
	call.Head

	pool    *Pool
	conn    *conn
	body    io.Reader
	release func() bool
	wrote   chan error
	whole   bool
	// ended returns why this side gave the request up, if it did.
	ended func() error
	// end is when the answer is given up, or zero.
	end time.Time
}

// Send writes a request and reads the head of its answer. Ending the context
// ends the connection. The id is that of the call, which answers repeat.
func (p *Pool) Send(ctx context.Context, address, id, method string, raw []byte) (*Exchange, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	e := &Exchange{pool: p, conn: c, wrote: make(chan error, 1), ended: ctx.Err}
	if deadline, ok := ctx.Deadline(); ok {
		e.end = deadline
		_ = c.SetDeadline(deadline)
	}
	e.release = context.AfterFunc(ctx, func() { _ = c.Close() })
	if len(raw) <= inlineBytes {
		_, err = c.Write(raw)
		e.wrote <- err
	} else {
		go func() {
			_, err := c.Write(raw)
			e.wrote <- err
		}()
	}
	if err == nil {
		err = e.readHead(id, method)
	}
	if err != nil {
		e.Discard()
		return nil, trace.Wrap(e.cause(err), "no answer from %s", address)
	}
	return e, nil
}

// readHead reads heads until one belongs to the call.
func (e *Exchange) readHead(id, method string) error {
	for skipped, informational := 0, 0; ; skipped++ {
		var h fasthttp.ResponseHeader
		if err := h.Read(e.conn.in); err != nil {
			return unreadableHead{err}
		}
		if h.StatusCode() < 200 {
			skipped--
			if informational++; informational > maxInformational {
				return trace.LimitExceeded("more than %d informational heads", maxInformational)
			}
			continue
		}
		e.Head = e.pool.decoder.DecodeHead(&h)
		e.body = e.framed(&h, method)
		if e.CallID == id {
			return nil
		}
		if skipped == strays || e.Close {
			return trace.BadParameter("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(e.body, maxStrayBytes)); err != nil || !e.whole {
			return trace.BadParameter("an answer to another request has no end")
		}
		e.whole = false
	}
}

// unreadableHead is why a head can't be read. Its text is short, whatever the
// upstream sent.
type unreadableHead struct{ cause error }

func (u unreadableHead) Error() string {
	text := u.cause.Error()
	return text[:min(len(text), maxReasonBytes)]
}

// Unwrap returns what tells a cut connection from bytes that are no head.
func (u unreadableHead) Unwrap() error { return u.cause }

// framed returns the body as the head frames it.
func (e *Exchange) framed(h *fasthttp.ResponseHeader, method string) io.Reader {
	length := h.ContentLength()
	status := h.StatusCode()
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return &fixed{exchange: e}
	case length >= 0:
		return &fixed{exchange: e, left: int64(length)}
	case length == -1:
		return &chunked{exchange: e, in: httputil.NewChunkedReader(e.conn.in), from: e.conn.position()}
	}
	e.Close = true
	return &untilClosed{exchange: e}
}

// Read reads the body.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = e.cause(err)
	}
	return n, err
}

// cause returns why this side gave the request up, or else the error that the
// connection met: its close by this side would hide the reason.
func (e *Exchange) cause(err error) error {
	if ended := e.ended(); ended != nil {
		return ended
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return os.ErrDeadlineExceeded
	}
	return err
}

// Cut tells whether an error means that the upstream's side ended the
// connection before its answer was whole.
func Cut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
}

// Await waits until there is more to read, or returns os.ErrDeadlineExceeded
// after some time. The answer can be read on then all the same.
func (e *Exchange) Await(limit time.Duration) error {
	if e.whole || e.conn.in.Buffered() > 0 {
		return nil
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(limit))
	_, err := e.conn.in.Peek(1)
	_ = e.conn.SetReadDeadline(e.end)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil // Read meets any other error again.
}

// Whole tells whether the answer has been read to its end.
func (e *Exchange) Whole() bool { return e.whole }

// Finish keeps the connection if the answer was read to its end and the whole
// request was written, and closes it otherwise.
func (e *Exchange) Finish() {
	if !e.whole || e.Close || e.conn.in.Buffered() > 0 {
		e.Discard()
		return
	}
	select {
	case err := <-e.wrote:
		if err != nil {
			e.Discard()
			return
		}
	default:
		e.Discard()
		return
	}
	if e.release() {
		e.pool.give(e.conn, e.KeepAlive)
	}
}

// Drop reads the rest of an answer that nobody needs and keeps the connection,
// or closes it.
func (e *Exchange) Drop() {
	_ = e.conn.SetReadDeadline(time.Now().Add(dropTime))
	if _, err := io.Copy(io.Discard, io.LimitReader(e, dropBytes)); err != nil {
		e.Discard()
		return
	}
	e.Finish()
}

// Discard closes the connection.
func (e *Exchange) Discard() {
	e.release()
	_ = e.conn.Close()
}

// fixed is a body of a known length.
type fixed struct {
	exchange *Exchange
	left     int64
}

func (f *fixed) Read(b []byte) (int, error) {
	if f.left == 0 {
		f.exchange.whole = true
		return 0, io.EOF
	}
	n, err := f.exchange.conn.in.Read(b[:min(int64(len(b)), f.left)])
	f.left -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked is a body in chunks.
type chunked struct {
	exchange *Exchange
	in       io.Reader
	// from is where the body begins, data how much of it was read.
	from, data int64
}

func (c *chunked) Read(b []byte) (int, error) {
	if c.exchange.whole {
		return 0, io.EOF
	}
	n, err := c.in.Read(b)
	c.data += int64(n)
	if framing := c.exchange.conn.position() - c.from - c.data; framing > c.data+maxFramingBytes {
		return n, trace.LimitExceeded("%d bytes of framing around %d bytes of a body", framing, c.data)
	}
	if errors.Is(err, io.EOF) {
		if err = skipTrailer(c.exchange.conn.in); err == nil {
			c.exchange.whole = true
			err = io.EOF
		}
	}
	return n, err
}

// skipTrailer reads the fields after the last chunk.
func skipTrailer(in *bufio.Reader) error {
	for read := 0; ; {
		line, err := in.ReadSlice('\n')
		read += len(line)
		switch {
		case read > maxTrailerBytes:
			return trace.LimitExceeded("the fields after a body are over %d bytes", maxTrailerBytes)
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(line) <= 2:
			return nil
		}
	}
}

// untilClosed is a body that ends with its connection. A reset is no end.
type untilClosed struct{ exchange *Exchange }

func (u *untilClosed) Read(b []byte) (int, error) {
	n, err := u.exchange.conn.in.Read(b)
	if errors.Is(err, io.EOF) {
		u.exchange.whole = true
	}
	return n, err
}

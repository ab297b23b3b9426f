package standin

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// RefusalCopies is the fault of an engine that sends its refusals more than once on
// connections that stay open.
type RefusalCopies struct {
	// Count is the number of copies of a refusal.
	Count int
	// Late, if set, sends the copies this long after the next request on the connection
	// has arrived, instead of at once.
	Late time.Duration
	// Early sends the copies right after the refusal.
	Early bool
	// Close makes the copies say that the connection ends.
	Close bool
	// ControlCalls also copies the refusals of control calls.
	ControlCalls bool
}

// CopyRefusals applies the fault to all further refusals.
func (e *PlatformEngine) CopyRefusals(c RefusalCopies) {
	e.copies.Store(&c)
}

// SentCopies returns how many copies of refusals the engine has sent.
func (e *PlatformEngine) SentCopies() int { return int(e.sentCopies.Load()) }

// copyingListener accepts connections on which an engine sends copies of refusals.
type copyingListener struct {
	net.Listener

	engine *PlatformEngine
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: conn, engine: l.engine}, nil
}

// copyingConn is a connection on which an engine sends copies of refusals.
type copyingConn struct {
	net.Conn

	engine *PlatformEngine
	// mu guards the fields below.
	mu sync.Mutex
	// copies is the fault that applies to the refusal that is being written, refusal
	// what was written of it.
	copies  RefusalCopies
	refusal []byte
}

// Write records what is written of a refusal.
func (c *copyingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies.Count > 0 {
		c.refusal = append(c.refusal, b...)
	}
	if !c.copies.Early {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b)
	if err == nil {
		err = c.sendCopies()
	}
	return n, err
}

// Read sends the copies of the last refusal once the next request has arrived.
func (c *copyingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && len(c.refusal) > 0 {
		time.Sleep(c.copies.Late)
		if sendErr := c.sendCopies(); err == nil {
			err = sendErr
		}
	}
	return n, err
}

// sendCopies sends the copies of the last refusal. The caller holds mu.
func (c *copyingConn) sendCopies() error {
	text, count := c.refusal, c.copies.Count
	if c.copies.Close {
		text = bytes.Replace(text, []byte("\r\n"), []byte("\r\nConnection: close\r\n"), 1)
	}
	c.refusal, c.copies = nil, RefusalCopies{}
	c.engine.sentCopies.Add(int64(count))
	_, err := c.Conn.Write(bytes.Repeat(text, count))
	return err
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// copyRefusals wraps the handler of all requests and applies the fault.
func (e *PlatformEngine) copyRefusals(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*copyingConn); ok {
			w = &copyingWriter{ResponseWriter: w, conn: conn}
		}
		h.ServeHTTP(w, r)
	})
}

// copyingWriter recognises refusals.
type copyingWriter struct {
	http.ResponseWriter

	conn *copyingConn
}

// Unwrap returns the writer for http.ResponseController.
func (w *copyingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *copyingWriter) WriteHeader(status int) {
	isRequest := w.Header().Get("X-Not-Executed") != ""
	if copies := w.conn.engine.copies.Load(); copies != nil && (isRequest || copies.ControlCalls && status >= http.StatusBadRequest) {
		w.conn.mu.Lock()
		w.conn.copies = *copies
		w.conn.mu.Unlock()
	}
	w.ResponseWriter.WriteHeader(status)
}

package socket

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/httpheader"
)

// writeEndTimeout bounds the wait for the end of a request's writing on a connection that
// has ended.
const writeEndTimeout = time.Second

// ErrInvalidHead is wrapped by the error for an answer whose head the protocol doesn't allow.
var ErrInvalidHead = errors.New("the head of the answer is invalid")

// NewHTTPClient returns a client that follows no redirects: an answer comes from the address
// that was called, and an error in reaching an address means that one. It takes only what
// the protocol allows for an answer, and no part of one for the whole.
func NewHTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{Transport: checkedTransport{t}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// checkedTransport rejects answers that the library accepts and the protocol doesn't.
type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := &requestWrite{}
	informational := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.begin() }, WroteRequest: func(i httptrace.WroteRequestInfo) { w.end(i.Err) },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			// With this function the transport bounds only each head, no longer all of them.
			if informational++; informational > httpheader.MaxInformational {
				return invalidHead(trace.LimitExceeded("more than %d informational heads", httpheader.MaxInformational))
			}
			return invalidHead(checkNames(header))
		},
	})
	resp, err := t.RoundTripper.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := invalidHead(checkHead(resp)); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections() // after an answer without a body its connection is one
		return nil, err
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, write: w}
	}
	return resp, nil
}

// invalidHead returns an error that wraps ErrInvalidHead and a cause, or nil if there is none.
func invalidHead(cause error) error {
	if cause == nil {
		return nil
	}
	return errors.Join(ErrInvalidHead, cause)
}

// checkHead returns why the head of an answer is none of the protocol, or nil.
func checkHead(resp *http.Response) error {
	if !httpheader.IsStatus(resp.StatusCode) {
		return trace.BadParameter("the status %q is none of the protocol", resp.Status)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a field is invalid.
func checkNames(header map[string][]string) error {
	for name := range header {
		if err := httpheader.CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t checkedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// requestWrite is the writing of one request.
type requestWrite struct {
	// mu guards the fields below.
	mu   sync.Mutex
	done chan struct{}
	err  error
}

// begin records that the request is written to a connection.
func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.err = make(chan struct{}), nil
}

// end records the end of the writing.
func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.done:
	default:
		w.err = err
		close(w.done)
	}
}

// await returns why the request was not written whole, or nil. The connection must have
// ended: a reset ends the writing at once. If it goes on, or ends since this side closes the
// connection, the server closed only its side, which ends the answer in order.
func (w *requestWrite) await() error {
	w.mu.Lock()
	done := w.done
	w.mu.Unlock()
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-done:
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.err != nil && strings.HasSuffix(w.err.Error(), net.ErrClosed.Error()) {
			return nil // the library's error doesn't unwrap to its cause
		}
		return w.err
	case <-timer.C:
		return nil
	}
}

// closeDelimitedBody is a body that ends when its connection is closed. A connection
// reports a reset only once, and the writer of the request may have received the report:
// the reader then sees an end as of a closed connection.
type closeDelimitedBody struct {
	io.ReadCloser

	write *requestWrite
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := b.write.await(); failed != nil {
			err = failed
		}
	}
	return n, err
}

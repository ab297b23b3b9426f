package standin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// endlessBlock is the approximate number of bytes per write of an endless
// server without a pause.
const endlessBlock = 4096

// EndlessOptions configures the answers of an endless server.
type EndlessOptions struct {
	// Begin returns the beginning of the answer to the request with an ID.
	Begin func(id string) string
	// Repeat is sent repeatedly after Begin. If it is empty, nothing more is
	// sent.
	Repeat string
	// Pause is the time between two repeats; 0 sends as fast as the caller
	// reads.
	Pause time.Duration
}

// Endless is an HTTP server whose answers have no end.
type Endless struct {
	options  EndlessOptions
	listener net.Listener
	wait     conc.WaitGroup
}

// NewEndless starts a server on a free port.
func NewEndless(o EndlessOptions) (*Endless, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endless{options: o, listener: l}
	e.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.wait.Go(func() { e.serve(c) })
		}
	})
	return e, nil
}

// Address returns the server's IP:port.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Close stops accepting connections and waits until all callers have closed
// theirs.
func (e *Endless) Close() {
	_ = e.listener.Close()
	e.wait.Wait()
}

// serve answers one request until its caller closes the connection.
func (e *Endless) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = io.WriteString(c, e.options.Begin(r.Header.Get("X-Attempt-Id")))
	if e.options.Repeat == "" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	piece := []byte(e.options.Repeat)
	if e.options.Pause == 0 {
		piece = bytes.Repeat(piece, 1+endlessBlock/len(piece))
	}
	for err == nil {
		_, err = c.Write(piece)
		time.Sleep(e.options.Pause)
	}
}

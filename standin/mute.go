package standin

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/sourcegraph/conc"
)

// Mute is a server that reads what its callers send and never answers.
type Mute struct {
	listener net.Listener
	ends     chan ConnectionEnd
	wait     conc.WaitGroup
}

// ConnectionEnd tells how a caller ended a connection.
type ConnectionEnd struct {
	// Bytes is the number of bytes that the caller sent.
	Bytes int64
	// Reset is set if the caller reset the connection: what it had sent and was still
	// on its way is lost. Otherwise all of it arrives.
	Reset bool
}

// NewMute starts a server on a free port.
func NewMute() (*Mute, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Mute{listener: l, ends: make(chan ConnectionEnd)}
	stopped := make(chan struct{})
	m.wait.Go(func() {
		defer close(stopped)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.wait.Go(func() {
				defer func() { _ = c.Close() }()
				n, err := io.Copy(io.Discard, c)
				select {
				case m.ends <- ConnectionEnd{n, errors.Is(err, syscall.ECONNRESET)}:
				case <-stopped:
				}
			})
		}
	})
	return m, nil
}

// Address returns the server's IP:port.
func (m *Mute) Address() string { return m.listener.Addr().String() }

// NextEnd waits until a caller ends a connection.
func (m *Mute) NextEnd() ConnectionEnd { return <-m.ends }

// Close stops the server and waits until all callers have closed their connections.
func (m *Mute) Close() {
	_ = m.listener.Close()
	m.wait.Wait()
}

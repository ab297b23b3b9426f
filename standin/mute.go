package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// patience is how long GiveUp waits for an answer.
const patience = 200 * time.Millisecond

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

// GiveUp makes a call to a server of its own, gives it up after a short time, and returns
// how the caller ended the connection. It returns an error if the call did not fail.
func GiveUp(ctx context.Context, call func(ctx context.Context, address string) error) (ConnectionEnd, error) {
	m, err := NewMute()
	if err != nil {
		return ConnectionEnd{}, err
	}
	defer m.Close()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if call(ctx, m.Address()) == nil {
		return ConnectionEnd{}, errors.New("the call did not fail")
	}
	return m.NextEnd(), nil
}

// Close stops the server and waits until all callers have closed their connections.
func (m *Mute) Close() {
	_ = m.listener.Close()
	m.wait.Wait()
}

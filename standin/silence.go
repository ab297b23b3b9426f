package standin

import (
	"net"
	"sync/atomic"
)

// silencer is a listener whose open connections can fall silent: they stay open,
// but nothing that is sent over them arrives any more, in either direction.
type silencer struct {
	net.Listener

	// generation is that of the connections accepted from now on; older ones are
	// silent.
	generation *atomic.Int64
}

// newSilencer returns a silencer for a listener.
func newSilencer(l net.Listener) silencer { return silencer{l, &atomic.Int64{}} }

// silence makes the connections that are open now silent for good.
func (s silencer) silence() { s.generation.Add(1) }

// Accept implements net.Listener.
func (s silencer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return silentConn{conn, s.generation, s.generation.Load()}, nil
}

// silentConn is a connection that is silent once a newer generation has begun.
type silentConn struct {
	net.Conn

	current *atomic.Int64
	own     int64
}

func (c silentConn) isSilent() bool { return c.current.Load() != c.own }

// Read implements net.Conn.
func (c silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

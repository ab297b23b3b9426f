package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and writes on connections between hosts.
type Traffic struct {
	sent, received, writes atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Writes returns the number of writes, each of which sends at least one packet.
func (t *Traffic) Writes() int64 { return t.writes.Load() }

// countingConn counts the bytes and writes of a connection.
type countingConn struct {
	net.Conn

	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countingListener counts the traffic of every connection that it accepts.
type countingListener struct {
	net.Listener

	traffic *Traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

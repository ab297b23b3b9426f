package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxDelay is the maximum delay of a reordered datagram, which others
	// overtake.
	maxDelay = 400 * time.Millisecond
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 64 << 10
)

// forwarder forwards datagrams to an address and injects faults.
type forwarder struct {
	conn   *net.UDPConn
	target netip.AddrPort
	// mu guards the fields below.
	mu sync.Mutex
	// lossRate is the share of datagrams that is lost; with reorder, the others
	// arrive late, out of order and sometimes twice.
	lossRate float64
	reorder  bool
}

// newForwarder starts a forwarder that listens at an address.
func newForwarder(ctx context.Context, wait *conc.WaitGroup, listenAt, forwardTo string) (*forwarder, error) {
	target, err := netip.ParseAddrPort(forwardTo)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(listenAt)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	f := &forwarder{conn: conn, target: target}
	wait.Go(func() {
		<-ctx.Done()
		_ = conn.Close()
	})
	wait.Go(func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				f.forward(buffer[:n])
			}
		}
	})
	return f, nil
}

// setFaults sets the faults.
func (f *forwarder) setFaults(lossRate float64, reorder bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate, f.reorder = lossRate, reorder
}

// forward forwards or drops a datagram.
func (f *forwarder) forward(raw []byte) {
	f.mu.Lock()
	lossRate, reorder := f.lossRate, f.reorder
	f.mu.Unlock()
	if rand.Float64() < lossRate {
		return
	}
	if !reorder {
		f.send(raw)
		return
	}
	datagram := append([]byte{}, raw...)
	for range 1 + rand.IntN(2) {
		time.AfterFunc(time.Duration(rand.Int64N(int64(maxDelay))), func() { f.send(datagram) })
	}
}

// send sends a datagram; a failed send counts as a lost datagram.
func (f *forwarder) send(raw []byte) { _, _ = f.conn.WriteToUDPAddrPort(raw, f.target) }

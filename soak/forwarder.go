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
	// longestDelay bounds how long a garbled datagram is held up; others pass
	// it meanwhile.
	longestDelay = 400 * time.Millisecond
	// datagramBytes is the largest datagram there is.
	datagramBytes = 64 << 10
)

// forwarder passes datagrams on to an address and harms them.
type forwarder struct {
	conn *net.UDPConn
	to   netip.AddrPort
	// mu guards the fields below.
	mu sync.Mutex
	// lost is the share that is lost, and garbled tells that the others come
	// late, out of order and now and then twice.
	lost    float64
	garbled bool
}

// newForwarder listens at an address.
func newForwarder(ctx context.Context, wait *conc.WaitGroup, at, to string) (*forwarder, error) {
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	f := &forwarder{conn: conn, to: target}
	wait.Go(func() {
		<-ctx.Done()
		_ = conn.Close()
	})
	wait.Go(func() {
		buffer := make([]byte, datagramBytes)
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

// set changes the harm.
func (f *forwarder) set(lost float64, garbled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost, f.garbled = lost, garbled
}

// forward passes a datagram on, or loses it.
func (f *forwarder) forward(raw []byte) {
	f.mu.Lock()
	lost, garbled := f.lost, f.garbled
	f.mu.Unlock()
	if rand.Float64() < lost {
		return
	}
	if !garbled {
		f.send(raw)
		return
	}
	late := append([]byte{}, raw...)
	for range 1 + rand.IntN(2) {
		time.AfterFunc(time.Duration(rand.Int64N(int64(longestDelay))), func() { f.send(late) })
	}
}

// send sends a datagram; one that can't be sent is as one that was lost.
func (f *forwarder) send(raw []byte) { _, _ = f.conn.WriteToUDPAddrPort(raw, f.to) }

package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// proxy forwards connections to an address and injects faults.
type proxy struct {
	listener net.Listener
	// mu guards the fields below.
	mu     sync.Mutex
	target string
	fault  linkFault
	conns  map[net.Conn]struct{}
}

// linkFault describes how a proxy disturbs its connections.
type linkFault struct {
	// delay is added to each chunk of data.
	delay time.Duration
	// dropToServer and dropToCaller silently drop the data in that direction.
	dropToServer, dropToCaller bool
}

// newProxy starts a proxy that listens at an IP on a free port.
func newProxy(ctx context.Context, wait *conc.WaitGroup, ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	wait.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
		p.reset()
	})
	wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wait.Go(func() { p.serve(ctx, wait, conn) })
		}
	})
	return p, nil
}

// address returns the address at which the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault sets the fault.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// setTarget sets the address to which new connections are forwarded.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) serve(ctx context.Context, wait *conc.WaitGroup, caller net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	// A time limit would close the connection in the host's name when this process is slow.
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp4", target)
	if err != nil || ctx.Err() != nil {
		if t, ok := caller.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	wait.Go(func() { p.relay(server, caller, func(f linkFault) bool { return f.dropToServer }) })
	p.relay(caller, server, func(f linkFault) bool { return f.dropToCaller })
}

// relay copies data in one direction until the source closes, then closes the
// destination.
func (p *proxy) relay(to, from net.Conn, drops func(linkFault) bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
	}()
	buffer := make([]byte, 16<<10)
	silenced := false
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		fault := p.fault
		p.mu.Unlock()
		// A connection that has lost data stays silent.
		silenced = silenced || drops(fault)
		if n > 0 && !silenced {
			time.Sleep(fault.delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
			}
			return
		}
	}
}

package storenode_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/standin"
)

// stillProxy passes connections on to an upstream. While it stands still, its few places
// for new connections fill up, and further ones hang.
type stillProxy struct {
	listener net.Listener
	// gate is held for writing while the proxy stands still.
	gate sync.RWMutex
}

func newStillProxy(d *deployment, upstream string) *stillProxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	d.is.NoErr(err)
	raw, err := l.(syscall.Conn).SyscallConn()
	d.is.NoErr(err)
	d.is.NoErr(raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	d.is.NoErr(err)
	p := &stillProxy{listener: l}
	d.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			p.pass()
			out, err := net.Dial("tcp4", upstream)
			if err != nil {
				_ = in.Close()
				continue
			}
			go p.copy(in, out)
			go p.copy(out, in)
		}
	}()
	return p
}

// pass waits while the proxy stands still.
func (p *stillProxy) pass() {
	p.gate.RLock()
	defer p.gate.RUnlock()
}

func (p *stillProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// TestEnginesThatAcceptNothing has all engines stand still, so that they neither answer nor
// accept connections: all requests on kept connections are answered, and those that
// are refused have not run.
func TestEnginesThatAcceptNothing(t *testing.T) {
	const callers = 40
	d := newDeployment(t, 0, 0, 0)
	var proxies []*stillProxy
	var engines []*standin.PlatformEngine
	start := func(id, service, model string) {
		e, err := standin.NewPlatformEngine(id, service, "north", model)
		d.is.NoErr(err)
		t.Cleanup(e.Close)
		engines = append(engines, e)
		p := newStillProxy(d, e.Address())
		proxies = append(proxies, p)
		e.Advertised = p.listener.Addr().String()
		d.store.Put("keyed.servers", id, e.Entry())
	}
	for i := range 3 {
		start(fmt.Sprint("engine-", i), "models", "m1")
		start(fmt.Sprint("desk-", i), "desk", "")
	}
	for i := range 2 {
		d.awaitReady(d.host(i))
	}
	stop := time.Now().Add(6 * time.Second)
	var mu sync.Mutex
	unanswered, served, refused := 0, 0, map[string]int{}
	var turnedAway, once []string
	var wait conc.WaitGroup
	for i := range callers {
		h := d.hosts[i%2]
		wait.Go(func() {
			c := d.client(h)
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("u-%d-%d", i, n)
				path := []string{"/full/a", "/flag/a", "/post/a", "/read/a"}[n%4]
				if n%4 < 2 {
					c.write(http.MethodPost, modelHost, path, id, map[string]string{"X-Model": "m1", "X-Token-Usage": "300,20", "X-Prompt-Prefix": fmt.Sprintf("%x:300", i)}, "body")
				} else {
					c.write(http.MethodPost, serviceHost, path, id, nil, "body")
				}
				a := c.read()
				mu.Lock()
				switch {
				case a.truncated:
					unanswered++
				case a.status == http.StatusOK:
					served++
				default:
					refused[fmt.Sprint(path, " ", a.status)]++
				}
				if path == "/post/a" || path == "/flag/a" {
					once = append(once, id)
					if a.status == http.StatusServiceUnavailable {
						turnedAway = append(turnedAway, id)
					}
				}
				mu.Unlock()
				if a.truncated || a.closes {
					c = d.client(h)
				}
				time.Sleep(time.Duration(i%8) * 20 * time.Millisecond)
			}
		})
	}
	for range 2 {
		time.Sleep(1200 * time.Millisecond)
		for _, p := range proxies {
			p.gate.Lock()
		}
		time.Sleep(1200 * time.Millisecond)
		for _, p := range proxies {
			p.gate.Unlock()
		}
	}
	wait.Wait()
	t.Logf("%d requests served, refused %v, %d unanswered", served, refused, unanswered)
	d.is.Equal(unanswered, 0)
	runs := map[string]int{}
	for _, e := range engines {
		for id, n := range e.Ran() {
			runs[id] += n
		}
	}
	for _, id := range once {
		d.is.True(runs[id] <= 1) // it may run once
	}
	for _, id := range turnedAway {
		d.is.Equal(runs[id], 0) // it was refused, which promises that it has not run
	}
}

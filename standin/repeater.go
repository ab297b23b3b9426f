package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"
)

// Repeater stands in for a server that sends each of its refusals once more on a kept
// connection, right after it has read the next request. It answers that request only once
// another one has arrived on the connection, so that a client which took the copy for its
// answer gets each later answer one request too late.
type Repeater struct {
	listener net.Listener
	// answer returns the bytes that answer a request, which is the nth.
	answer func(nth int, r *http.Request) string
	// mu guards the fields below.
	mu sync.Mutex
	// seen holds the paths of the requests in order.
	seen []string
	// copies is the number of copies that were sent, connections that of the connections.
	copies, connections int
}

// NewRepeater serves the answers on a free port until the context ends. A refusal is an
// answer with a status of 400 or above. The first request is number 1.
func NewRepeater(ctx context.Context, wait *conc.WaitGroup, answer func(nth int, r *http.Request) string) (*Repeater, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Repeater{listener: listener, answer: answer}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	wait.Go(func() { p.accept(ctx, wait) })
	return p, nil
}

// Address returns the IP:port that the server listens on.
func (p *Repeater) Address() string { return p.listener.Addr().String() }

// Seen returns the paths of the requests in order.
func (p *Repeater) Seen() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{}, p.seen...)
}

// Copies returns how many copies of refusals were sent.
func (p *Repeater) Copies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copies
}

// Connections returns how many connections were accepted.
func (p *Repeater) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections
}

func (p *Repeater) accept(ctx context.Context, wait *conc.WaitGroup) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.connections++
		p.mu.Unlock()
		wait.Go(func() {
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			defer func() { _ = conn.Close() }()
			p.serve(conn)
		})
	}
}

// serve answers the requests of one connection until either side ends it.
func (p *Repeater) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	refusal := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		r.RemoteAddr = conn.RemoteAddr().String()
		answer := p.next(r, refusal != "")
		if refusal != "" {
			if _, err := io.WriteString(conn, refusal); err != nil {
				return
			}
			if _, err := in.Peek(1); err != nil {
				return
			}
		}
		refusal = ""
		if !strings.HasPrefix(answer, "HTTP/1.1 2") {
			refusal = answer
		}
		if _, err := io.WriteString(conn, answer); err != nil || r.Close {
			return
		}
	}
}

// next records a request and returns its answer.
func (p *Repeater) next(r *http.Request, copied bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, r.URL.Path)
	if copied {
		p.copies++
	}
	return p.answer(len(p.seen), r)
}

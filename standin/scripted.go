package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// RawAnswer is an answer as it is sent. ID stands in it for the attempt ID of the request.
type RawAnswer struct {
	// Name tells what is invalid in it and its framing.
	Name string
	Raw  string
	// Closes is set if the answer ends with its connection.
	Closes bool
}

// InvalidHeads returns a successful answer with valid fields and a body, in each framing, broken
// by the status 000 or by one of the lines, before and after the valid fields and in an
// informational head. The valid fields are whole lines.
func InvalidHeads(fields, body string, lines []string) []RawAnswer {
	var heads []RawAnswer
	for _, f := range []struct {
		name, fields, body string
		closes             bool
	}{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n", fields, len(body)), body, false},
		{"chunks", fields + "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), false},
		{"connection", fields, body, true},
	} {
		add := func(name, head string) {
			heads = append(heads, RawAnswer{name + ", " + f.name, head + "\r\n" + f.body, f.closes})
		}
		add("status 000", "HTTP/1.1 000 No\r\n"+f.fields)
		add("status 000 after 103", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 No\r\n"+f.fields)
		for _, line := range lines {
			add(fmt.Sprintf("%q first", line), "HTTP/1.1 200 OK\r\n"+line+"\r\n"+f.fields)
			add(fmt.Sprintf("%q last", line), "HTTP/1.1 200 OK\r\n"+f.fields+line+"\r\n")
			add(fmt.Sprintf("%q in 103", line), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+f.fields)
		}
	}
	return heads
}

// InvalidFields returns fields whose names are no tokens (RFC 9110, section 5.6.2), for a body
// of a length. A name that begins with a blank or a line feed isn't among them: such a field
// looks like a part of the one before, or like the end of the head.
func InvalidFields(length int) []string {
	fields := []string{
		"X A: v", "X  A: v", "X-A : v", "X\tA: v", "X-A\t: v", "Content Length: 4", "X-Attempt-Id : ID", "X-Attempt Id: ID", "Connection : keep-alive", "Content-Type : text/html",
		fmt.Sprintf("Content-Length : %d", length), fmt.Sprintf("Content-Length : %d", length+1), "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
		": v", "no colon", "X(A): v", "X/A: v", "X\"A\": v", "X\u00e4: v", "X\xe4: v", "X\x80A: v", "X\xff: v",
	}
	for c := range 0x21 {
		if c != '\n' && c != ' ' && c != '\t' {
			fields = append(fields, fmt.Sprintf("%cX: v", c), fmt.Sprintf("X%cA: v", c), fmt.Sprintf("X%c: v", c))
		}
	}
	return append(fields, "X\x7fA: v", "X\nA: v", "X\n: v")
}

// Scripted stands in for a server that answers each request with the same bytes.
type Scripted struct {
	listener              net.Listener
	answer                atomic.Pointer[RawAnswer]
	cancel                context.CancelFunc
	wait                  conc.WaitGroup
	requests, connections atomic.Int64
}

// NewScripted serves an answer on a free port.
func NewScripted(answer RawAnswer) (*Scripted, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Scripted{listener: l}
	s.Answer(answer)
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.wait.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			s.wait.Go(func() {
				defer func() { _ = conn.Close() }()
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				s.serve(conn)
			})
		}
	})
	return s, nil
}

// Answer sets the answer to all further requests.
func (s *Scripted) Answer(answer RawAnswer) { s.answer.Store(&answer) }

// Close closes all connections.
func (s *Scripted) Close() {
	_ = s.listener.Close()
	s.cancel()
	s.wait.Wait()
}

// Address returns the IP:port that the server listens on.
func (s *Scripted) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were read.
func (s *Scripted) Requests() int { return int(s.requests.Load()) }

// Connections returns the number of connections that were accepted.
func (s *Scripted) Connections() int { return int(s.connections.Load()) }

// serve answers the requests of one connection until either side ends it.
func (s *Scripted) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		answer := s.answer.Load()
		if _, err := io.WriteString(conn, strings.ReplaceAll(answer.Raw, "ID", r.Header.Get("X-Attempt-Id"))); err != nil || answer.Closes || r.Close {
			return
		}
	}
}

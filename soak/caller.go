package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// streamEvents is how many events a stand-in's stream has.
	streamEvents = 6
	// callDeadline is how long callers wait for an answer.
	callDeadline = 4 * time.Second
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 60 * time.Millisecond
	// settled is how long before a stop signal a request must have been written
	// that the stop has to answer; others cross the end of their connection.
	settled = 200 * time.Millisecond
)

// call is one request of a caller and what came of it.
type call struct {
	id, kind, account string
	host              *host
	sent, ended       time.Time
	// answer has the status 0 if no head of it came.
	answer standin.PlatformAnswer
	// crasher tells that it ends the upstreams that run it.
	crasher bool
}

// recorder keeps all calls.
type recorder struct {
	mu    sync.Mutex
	calls []*call
}

func (r *recorder) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *recorder) all() []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*call{}, r.calls...)
}

// kindsOfCall are the routes by the kind of request.
var kindsOfCall = []string{"full", "full", "flag", "flag", "post", "post", "read"}

// connection is a caller's open connection to a host.
type connection struct {
	net.Conn

	in *bufio.Reader
}

// caller sends one request after the other until the context ends, and keeps
// its connection until it breaks or the host says that it closes.
func (w *world) caller(ctx context.Context, number int, seed uint64, r *recorder) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+100))
	var conn *connection
	h := w.hosts[random.IntN(len(w.hosts))]
	for n := 0; ctx.Err() == nil; n++ {
		account := []string{"mill", "grocer"}[random.IntN(2)]
		c := &call{id: fmt.Sprintf("%s-%d-%d", account, number, n), kind: kindsOfCall[random.IntN(len(kindsOfCall))], account: account}
		if conn == nil {
			h = w.hosts[random.IntN(len(w.hosts))]
			raw, err := net.DialTimeout("tcp4", h.door.address(), time.Second)
			if err == nil {
				conn = &connection{Conn: raw, in: bufio.NewReader(raw)}
			}
		}
		c.host = h
		if conn != nil && !w.do(conn, c) {
			_ = conn.Close()
			conn = nil
		}
		if c.answer.Status != 0 || !c.sent.IsZero() {
			r.add(c)
		}
		w.pause(time.Duration(random.Int64N(int64(2 * thinkTime))))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// do sends a request and reads its answer; it tells whether the connection
// can be used again.
func (w *world) do(conn *connection, c *call) bool { return w.send(conn, c, w.key(c.account)) }

func (w *world) send(conn *connection, c *call, key string) bool {
	r := standin.PlatformRequest{ID: c.id, Method: http.MethodPost, Host: plainHost, Path: "/" + c.kind + "/a", Key: key, Deadline: callDeadline, Body: "of " + c.id}
	if c.crasher {
		r.Path, r.Body = "/"+c.kind+"/"+crasherMark, crasherMark
	}
	switch c.kind {
	case "full", "flag":
		r.Host = modelHost
		// One of ten documents, which callers share.
		document := "doc" + string(c.id[len(c.id)-1])
		r.Prompt = &standin.PlatformPrompt{Model: model, Input: 900, MaxOutput: 300, Parts: []standin.PlatformPart{{ID: "sys", Tokens: 200}, {ID: document, Tokens: 500}, {ID: "own", Tokens: 200}}}
	case "read":
		r.Method, r.Body = http.MethodGet, ""
	}
	_ = conn.SetDeadline(time.Now().Add(callDeadline + time.Second))
	defer func() { c.ended = time.Now() }()
	c.sent = time.Now()
	if err := r.Write(conn); err != nil {
		return false
	}
	var err error
	c.answer, err = standin.ReadPlatformAnswer(conn.in)
	return err == nil && c.answer.Whole && !c.answer.Closes
}

// expected returns the whole body of a success.
func (c *call) expected() string {
	switch c.kind {
	case "post":
		return "POST /post/a of " + c.id
	case "read":
		return "GET /read/a "
	}
	var b strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return b.String()
}

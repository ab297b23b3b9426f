package soak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// streamEvents is the number of events in a stand-in's stream.
	streamEvents = 6
	// callDeadline is the time limit of a request.
	callDeadline = 4 * time.Second
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 60 * time.Millisecond
	// closeRaceWindow is how long a request must have been pending to count as
	// read by a stopping host. A younger one may cross the close of its connection
	// and stay unread.
	closeRaceWindow = 200 * time.Millisecond
	// Callers reuse connections that were idle for up to maxIdleShare of the idle limit
	// (the users' protocol). One in idleCallShare pauses may be that long.
	maxIdleShare  = 0.8
	idleCallShare = 4
)

// call is one request of a caller and its answer.
type call struct {
	id, kind, account string
	host              *host
	sent, ended       time.Time
	// written is when the last byte of the request had been sent, or zero.
	written time.Time
	// chunks is the number of chunks of the body, chunkPause the time before each.
	chunks     int
	chunkPause time.Duration
	// events is the number of events of a stream; 0 means streamEvents.
	events int
	// answer has the status 0 if no response head arrived.
	answer standin.PlatformAnswer
	// began is the ID of the call that brought the first event of the stream that
	// this one takes up after the event lastEvent; "" for a new stream.
	began     string
	lastEvent int
	// isCrasher marks a request that crashes the upstreams that execute it.
	isCrasher bool
	// gaveUp means that the caller's patience or its time limit ended the call.
	gaveUp bool
}

// recorder collects all calls.
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

// callKinds holds the routes that callers use, in proportion to their frequency.
var callKinds = []string{"full", "full", "flag", "flag", "post", "post", "read"}

// connection is a caller's open connection to a host.
type connection struct {
	net.Conn

	in *bufio.Reader
	// until is the time limit of the answer, patience that of each read; 0 means none.
	until    time.Time
	patience time.Duration
	// gaveUp means that a read exceeded its time limit.
	gaveUp bool
}

// newConnection returns a caller's connection.
func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw}
	c.in = bufio.NewReader(c)
	return c
}

// Read reads within the time limits.
func (c *connection) Read(b []byte) (int, error) {
	limit := c.until
	if quiet := time.Now().Add(c.patience); c.patience > 0 && quiet.Before(limit) {
		limit = quiet
	}
	_ = c.SetReadDeadline(limit)
	n, err := c.Conn.Read(b)
	c.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// runCaller sends requests one by one until the context ends. It reuses its
// connection until that fails or the host announces its close.
func (d *deployment) runCaller(ctx context.Context, number int, seed uint64, r *recorder) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+100))
	var conn *connection
	h := d.hosts[random.IntN(len(d.hosts))]
	for n := 0; ctx.Err() == nil; n++ {
		account := []string{"mill", "grocer"}[random.IntN(2)]
		c := &call{id: fmt.Sprintf("%s-%d-%d", account, number, n), kind: callKinds[random.IntN(len(callKinds))], account: account}
		if d.stops {
			c.drawChunks(random)
			if conn != nil && conn.isClosed() {
				_ = conn.Close()
				conn = nil
			}
		}
		if conn == nil {
			h = d.hosts[random.IntN(len(d.hosts))]
			raw, err := net.DialTimeout("tcp4", d.callerTarget(h), time.Second)
			if err == nil {
				conn = newConnection(raw)
			}
		}
		c.host = h
		if conn != nil && !d.sendRequest(conn, c) {
			_ = conn.Close()
			conn = nil
		}
		if c.answer.Status != 0 || !c.sent.IsZero() {
			r.add(c)
		}
		d.takeUp(ctx, c, random, r)
		d.pause(d.idleTime(random))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// callerTarget returns the address at which callers connect to a host. Where hosts are
// stopped, no proxy accepts connections in the place of one that has ended.
func (d *deployment) callerTarget(h *host) string {
	if d.stops {
		return h.callerAddress
	}
	return h.callerProxy.address()
}

const (
	// chunkedShare and slowShare are the reciprocals of the shares of requests whose bodies
	// are sent in chunks, and of these the ones that arrive slowly.
	chunkedShare, slowShare = 2, 3
	maxChunks               = 4
	maxChunkPause           = 400 * time.Millisecond
	// closedWait is how long a caller waits for the end of a connection before it reuses it.
	closedWait = time.Millisecond
)

// drawChunks draws how the body is sent.
func (c *call) drawChunks(random *rand.Rand) {
	if random.IntN(chunkedShare) > 0 {
		return
	}
	c.chunks = 1 + random.IntN(maxChunks)
	if random.IntN(slowShare) == 0 {
		c.chunkPause = time.Duration(random.Int64N(int64(maxChunkPause)))
	}
}

// isClosed reports whether the host has closed the connection.
func (c *connection) isClosed() bool {
	c.until, c.patience = time.Now().Add(closedWait), 0
	_, err := c.in.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// lastByte returns when the last byte of the request was sent.
func (c *call) lastByte() time.Time {
	if c.chunks > 0 {
		return c.written
	}
	return c.sent
}

// isPartial reports whether the end of a body in chunks was not sent.
func (c *call) isPartial() bool { return c.chunks > 0 && c.written.IsZero() }

// idleTime draws the pause between two requests of a caller. Where configurations change
// the idle limit, it is now and then as long as callers may reuse a connection.
func (d *deployment) idleTime(random *rand.Rand) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit := d.terms.idleTimeout; d.engineProgram != "" && random.IntN(idleCallShare) == 0 {
		return time.Duration(random.Float64() * maxIdleShare * float64(limit))
	}
	return time.Duration(random.Int64N(int64(2 * thinkTime)))
}

// sendRequest sends a request and reads its answer. It reports whether the
// connection can be reused.
func (d *deployment) sendRequest(conn *connection, c *call) bool {
	return d.sendWithKey(conn, c, d.key(c.account))
}

func (d *deployment) sendWithKey(conn *connection, c *call, key string) bool {
	r := standin.PlatformRequest{ID: c.id, Method: http.MethodPost, Host: plainHost, Path: "/" + c.kind + "/a", Key: key, Deadline: d.tempo.deadline, Body: "of " + c.id, Resumes: c.began, LastEvent: c.lastEvent, Chunks: c.chunks, ChunkPause: c.chunkPause}
	c.events = d.tempo.events
	byPart := c.isCrasher && d.crasher.byPart
	if c.isCrasher && !byPart {
		r.Path, r.Body = "/"+c.kind+"/"+crasherMark, crasherMark
	}
	switch c.kind {
	case "full", "flag":
		r.Host = modelHost
		// Callers share ten documents.
		document := "doc" + string(c.id[len(c.id)-1])
		if byPart {
			document = deadlyPart
		}
		r.Prompt = &standin.PlatformPrompt{Model: model, Input: 900, MaxOutput: 300, Parts: []standin.PlatformPart{{ID: "sys", Tokens: 200}, {ID: document, Tokens: 500}, {ID: "own", Tokens: 200}}}
	case "read":
		r.Method, r.Body = http.MethodGet, ""
	}
	conn.until, conn.patience, conn.gaveUp = time.Now().Add(d.tempo.deadline+time.Second), 0, false
	if r.Prompt != nil {
		conn.patience = d.tempo.patience
	}
	_ = conn.SetWriteDeadline(conn.until)
	defer func() { c.ended, c.gaveUp = time.Now(), conn.gaveUp }()
	c.sent = time.Now()
	if err := r.Write(conn); err != nil {
		return false
	}
	c.written = time.Now()
	var err error
	c.answer, err = standin.ReadPlatformAnswer(conn.in)
	return err == nil && c.answer.Whole && !c.answer.Closes
}

// expectedBody returns the complete body of a successful answer.
func (c *call) expectedBody() string {
	switch c.kind {
	case "post":
		return "POST /post/a of " + c.id
	case "read":
		return "GET /read/a "
	}
	var b strings.Builder
	for i := c.lastEvent; i < cmp.Or(c.events, streamEvents); i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return b.String()
}

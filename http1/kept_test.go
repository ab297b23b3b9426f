package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// upstreamIdle is how long an upstream of these tests keeps an idle connection.
const upstreamIdle = 3 * time.Second

// post sends a request and returns the body of its answer.
func post(t *testing.T, pool *http1.Pool, address, id string, bytesOfBody int) (string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", id, bytesOfBody)
	x, err := pool.Send(ctx, address, id, http.MethodPost, []byte(head), bytes.Repeat([]byte("b"), bytesOfBody))
	if err != nil {
		return "", false, err
	}
	body, err := io.ReadAll(x)
	if err != nil {
		x.Discard()
		return "", false, err
	}
	first := x.IsFirst()
	x.Finish()
	return string(body), first, nil
}

// silence is how long sound upstreams fall silent, by the users' day.
const silence = 1300 * time.Millisecond

// dozer is an upstream that falls silent when told to. On waking it first closes the
// connections that were idle for too long, and then reads.
type dozer struct {
	net.Listener

	// doze makes it fall silent for a time, once.
	doze chan time.Duration
}

func newDozer(t *testing.T) *dozer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	d := &dozer{l, make(chan time.Duration)}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		answerNext(conn, in)
		answered := time.Now()
		time.Sleep(<-d.doze)
		if time.Since(answered) < upstreamIdle {
			answerNext(conn, in)
		}
		_ = conn.Close() // resets it if a request lies there unread
		next, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = next.Close() }()
		answerNext(next, bufio.NewReader(next))
	}()
	return d
}

// answerNext answers the next request on a connection.
func answerNext(conn net.Conn, in *bufio.Reader) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	n, _ := io.Copy(io.Discard, r.Body)
	body := fmt.Sprint(n)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Attempt-Id"), int(upstreamIdle.Seconds()), len(body), body)
}

// TestSilenceAtTheEndOfAKeptConnection guards against requests that are lost on kept
// connections: their upstream is silent when they are sent, and closes the connection on
// waking since it was idle for too long. Many must not be sent again.
func TestSilenceAtTheEndOfAKeptConnection(t *testing.T) {
	for idle := 200 * time.Millisecond; idle < upstreamIdle; idle += 150 * time.Millisecond {
		t.Run(idle.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d, pool := newDozer(t), http1.NewPool(platform.Wire{}, http1.NewDialer())
			_, _, err := post(t, pool, d.Addr().String(), "a", 10)
			is.NoErr(err)
			time.Sleep(idle)
			d.doze <- silence
			body, first, err := post(t, pool, d.Addr().String(), "b", 10)
			t.Logf("on a new connection %v, error %v", first, err)
			is.NoErr(err)
			is.Equal(body, "10")
		})
	}
}

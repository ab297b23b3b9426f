package http1_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// refusing answers requests on one connection: each of an id whose name begins with "no"
// with a status, any other with 200. A request whose id was refused before on the
// connection is answered with a copy of the refusal, then run.
type refusing struct {
	status int
	// mu guards the fields below.
	mu      sync.Mutex
	refused map[string]bool
	ran     map[string]int
}

func (r *refusing) refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", r.status, id)
}

func (r *refusing) answer(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.HasPrefix(id, "no") && !r.refused[id] {
		r.refused[id] = true
		return r.refusal(id)
	}
	r.ran[id]++
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Length: 3\r\n\r\nran", id)
	if r.refused[id] {
		return r.refusal(id) + answer
	}
	return answer
}

// sendOnce sends a request and reads its answer.
func sendOnce(ctx context.Context, pool *http1.Pool, address, id string) (status int, connection int64, err error) {
	x, err := pool.Send(ctx, address, id, "POST", []byte("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n"), nil)
	if err != nil {
		return 0, 0, err
	}
	defer x.SkipRest()
	if _, err := io.Copy(io.Discard, x); err != nil {
		return 0, 0, err
	}
	return x.Status, x.Connection(), nil
}

// TestCopiedRefusalOfTheSameRequestIsNotBelieved sends a request again to an upstream that
// refused it and writes the refusal once more where the answer is due.
func TestCopiedRefusalOfTheSameRequestIsNotBelieved(t *testing.T) {
	for _, status := range []int{202, 400, 408, 421, 429, 503} {
		for _, between := range []int{0, 1, 10} {
			t.Run(fmt.Sprintf("%d, %d requests between", status, between), func(t *testing.T) {
				is := is.New(t)
				// The copy comes only on the connection that refused the request.
				var mu sync.Mutex
				all := map[string]int{}
				address := serveConnections(t, func() func(string) string {
					r := &refusing{status: status, refused: map[string]bool{}, ran: map[string]int{}}
					return func(id string) string {
						mu.Lock()
						defer mu.Unlock()
						if all[id]++; all[id] > 1 && !r.refused[id] {
							return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 3\r\n\r\nran", id)
						}
						return r.answer(id)
					}
				})
				pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				got, refusedOn, err := sendOnce(ctx, pool, address, "no")
				is.NoErr(err)
				is.Equal(got, status)
				for i := range between {
					got, _, err = sendOnce(ctx, pool, address, fmt.Sprint("other", i))
					is.NoErr(err)
					is.Equal(got, 200)
				}
				got, connection, err := sendOnce(ctx, pool, address, "no")
				is.NoErr(err)
				is.Equal(got, 200)
				is.True(connection != refusedOn)
				is.Equal(pool.Dialled(), int64(2)) // the others used the first connection
			})
		}
	}
}

// TestConnectionsForgetNoRefusal refuses more requests than a connection remembers.
func TestConnectionsForgetNoRefusal(t *testing.T) {
	is := is.New(t)
	address := serveConnections(t, func() func(string) string {
		r := &refusing{status: 503, refused: map[string]bool{}, ran: map[string]int{}}
		return r.answer
	})
	pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const requests = 300
	refusedOn := map[string]int64{}
	for i := range requests {
		id := fmt.Sprint("no", i)
		status, connection, err := sendOnce(ctx, pool, address, id)
		is.NoErr(err)
		is.Equal(status, 503)
		refusedOn[id] = connection
	}
	is.True(pool.Dialled() < requests/10) // connections are still reused
	for id, refused := range refusedOn {
		_, connection, err := sendOnce(ctx, pool, address, id)
		is.NoErr(err)
		is.True(connection != refused)
	}
}

// TestConnectionsForgetRefusalsOfThePast refuses requests whose deadlines pass, on one
// connection.
func TestConnectionsForgetRefusalsOfThePast(t *testing.T) {
	is := is.New(t)
	address := serveConnections(t, func() func(string) string {
		r := &refusing{status: 503, refused: map[string]bool{}, ran: map[string]int{}}
		return r.answer
	})
	pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
	failed := 0
	for _, remaining := range []time.Duration{time.Second, time.Minute} {
		deadline := time.Now().Add(remaining)
		for i := range 64 {
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			if _, _, err := sendOnce(ctx, pool, address, fmt.Sprint("no", remaining, i)); err != nil {
				failed++ // its deadline passed, and so did its connection's
			}
			cancel()
		}
		time.Sleep(min(time.Until(deadline), time.Second))
	}
	is.True(failed < 64) // some were refused
	is.True(pool.Dialled() <= int64(1+failed))
}

// TestCopiedAnswerOfTheSameRequestIsNotBelieved sends requests again to an upstream that
// served them and writes its earlier answer once more where the next one is due.
func TestCopiedAnswerOfTheSameRequestIsNotBelieved(t *testing.T) {
	for _, between := range []int{0, 1, 5} {
		t.Run(fmt.Sprintf("%d requests between", between), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			address := serveConnections(t, func() func(string) string {
				earlier := map[string]string{}
				return func(id string) string {
					before := earlier[id]
					earlier[id] = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\n%02d", id, runs.Add(1))
					return before + earlier[id]
				}
			})
			pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
			for i := range 2 {
				body, _, err := post(t, pool, address, "same", 0)
				is.NoErr(err)
				is.Equal(body, fmt.Sprintf("%02d", runs.Load()))
				for n := range between * (1 - i) {
					_, _, err := post(t, pool, address, fmt.Sprint("other", n), 0)
					is.NoErr(err)
				}
			}
			is.Equal(pool.Dialled(), int64(2))
		})
	}
}

package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// adversary is an upstream that refuses or runs requests, and sends copies of what it sent on
// a connection before.
type adversary struct {
	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	// ran holds the numbers of the sends that ran.
	ran map[string]bool
	// copies counts the copies that were sent.
	copies int
}

// draw returns a number below n.
func (a *adversary) draw(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.IntN(n)
}

// refusal returns the refusal of a request.
func (a *adversary) refusal(id string) string {
	status := []int{503, 503, 429, 421, 408}[a.draw(5)]
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d No\r\nX-Attempt-Id: %s\r\n", status, id)
	if status != 421 || a.draw(2) == 0 {
		b.WriteString("X-Not-Executed: 1\r\n")
	}
	if a.draw(3) == 0 {
		b.WriteString("Retry-After: 0.1\r\n")
	}
	if a.draw(2) == 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n")
	} else {
		b.WriteString("Content-Length: 4\r\n\r\nfull")
	}
	return b.String()
}

// hasRun reports whether a send ran.
func (a *adversary) hasRun(nth string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ran[nth]
}

// start starts the upstream until the test ends.
func (a *adversary) start(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// copied returns copies of some refusals.
func (a *adversary) copied(refusals []string) string {
	var b strings.Builder
	for range 1 + a.draw(3) {
		text := refusals[a.draw(len(refusals))]
		if a.draw(5) == 0 {
			text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
		}
		if a.draw(5) == 0 {
			text = text[:a.draw(len(text))]
		}
		b.WriteString(text)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.copies++
	return b.String()
}

// serve answers the requests of a connection. It reads some bodies after its answer only.
func (a *adversary) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var refusals []string
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		early := a.draw(4) == 0
		if !early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		before, answer, cut := "", a.answer(r, &refusals), a.draw(12) == 0
		if len(refusals) > 0 && a.draw(2) == 0 {
			before = a.copied(refusals)
		}
		if cut {
			answer = answer[:a.draw(len(answer))]
		}
		if len(refusals) > 0 && a.draw(8) == 0 {
			answer += refusals[a.draw(len(refusals))]
		}
		time.Sleep(time.Duration(a.draw(3)) * time.Millisecond)
		if _, err := io.WriteString(conn, before+answer); err != nil || cut && a.draw(2) == 0 {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// answer refuses or runs a request, and returns the answer.
func (a *adversary) answer(r *http.Request, refusals *[]string) string {
	id, nth := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Nth")
	if a.draw(3) > 0 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ran[nth] = true
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(nth), nth)
	}
	text := a.refusal(id)
	*refusals = append(*refusals, text)
	return text
}

// resender sends each of its requests again, under the same id, as long as it is refused.
type resender struct {
	t         *testing.T
	adversary *adversary
	address   string
	pool      *http1.Pool
	random    *rand.Rand
	// refused counts the refusals that were believed, answered the answers.
	refused, answered int
}

// send sends a request once and reports whether it was refused.
func (r *resender) send(id, nth string) (refused bool) {
	body := strings.Repeat("b", []int{0, 10, 9000, 300000}[r.random.IntN(4)])
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Nth: %s\r\nContent-Length: %d\r\n\r\n", id, nth, len(body))
	ctx, cancel := context.WithTimeout(r.t.Context(), answerTimeout)
	defer cancel()
	x, err := r.pool.Send(ctx, r.address, id, http.MethodPost, []byte(head), []byte(body))
	switch {
	case err != nil:
		return false // it may have run
	case x.NotRun || x.Status == http.StatusMisdirectedRequest:
		x.SkipRest()
		r.refused++
		if r.adversary.hasRun(nth) {
			r.t.Errorf("%s was believed to be refused (%d), and ran", nth, x.Status)
		}
		return true
	}
	got, err := io.ReadAll(x)
	if err != nil || x.IsJoined(got) {
		x.Discard()
		return false
	}
	x.Finish()
	r.answered++
	if string(got) != nth {
		r.t.Errorf("%s was answered %q", nth, got)
	}
	return false
}

// answerTimeout ends requests whose answer was cut on a connection that stays open.
const answerTimeout = 500 * time.Millisecond

// TestNoRefusalIsBelievedOfARequestThatRan sends requests again and again, under the same ids,
// to an upstream that sends copies of its refusals at any time, whole or cut.
func TestNoRefusalIsBelievedOfARequestThatRan(t *testing.T) {
	const seeds, callers, requests, attempts = 3, 8, 60, 6
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			a := &adversary{random: rand.New(rand.NewPCG(seed, 0)), ran: map[string]bool{}}
			address := a.start(t)
			pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
			var resenders [callers]*resender
			var wait sync.WaitGroup
			for c := range resenders {
				r := &resender{t: t, adversary: a, address: address, pool: pool, random: rand.New(rand.NewPCG(seed, uint64(c)+1))}
				resenders[c] = r
				wait.Go(func() {
					for n := range requests {
						id := fmt.Sprintf("r-%d-%d", c, n)
						for k := 0; k < attempts && r.send(id, fmt.Sprintf("%s-%d", id, k)); k++ {
						}
					}
				})
			}
			wait.Wait()
			refused, answered := 0, 0
			for _, r := range resenders {
				refused += r.refused
				answered += r.answered
			}
			t.Logf("%d refusals, %d answers, %d copies, %d connections", refused, answered, a.copies, pool.Dialled())
			if refused == 0 || answered == 0 || a.copies == 0 {
				t.Error("nothing was refused, answered or copied")
			}
		})
	}
}

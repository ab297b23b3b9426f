package endtoend

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestLostAnswerIsNotExecutedAgain loses the answer of a booking after the service
// executed it, freezes the router and retries the booking at another router.
func TestLostAnswerIsNotExecutedAgain(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 1})
	key := map[string]string{"Idempotency-Key": newKey()}
	s.service.setFaults(t, standin.ServiceFaults{CutAnswers: 1})
	body, status := s.routers[0].send(t, http.MethodPost, "/services/approvals/approve", key, `{}`)
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"outcome":"Unknown"`))
	s.routers[0].signal(syscall.SIGSTOP)
	body, _ = s.routers[1].send(t, http.MethodPost, "/services/approvals/approve", key, `{}`)
	is.True(strings.Contains(body, `"outcome":"Unknown"`))
	is.Equal(s.executions(t)[key["Idempotency-Key"]], 1)
}

// booking is an idempotency key that is sent repeatedly to every router.
type booking struct {
	key      string
	mu       sync.Mutex
	outcomes map[string]int
	answers  map[string]bool
}

// send sends the booking once and records its outcome.
func (b *booking) send(t *testing.T, r *router) {
	body, status := r.send(t, http.MethodPost, "/services/approvals/approve", map[string]string{"Idempotency-Key": b.key}, `{"Seat":1}`)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case status == http.StatusOK:
		b.outcomes["Done"]++
		b.answers[body] = true
	case strings.Contains(body, `"outcome":"NotRun"`):
		b.outcomes["NotRun"]++
	default:
		b.outcomes["Unknown"]++
	}
}

// TestBookingsUnderFaults sends every booking to all routers concurrently, twice,
// while answers of the log and of the service are lost, the log is slow or down, one
// router is frozen and resumed, and another is killed. Every booking may run at
// most once.
func TestBookingsUnderFaults(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 1})
	faults := []struct {
		name       string
		begin, end func()
	}{
		{"none", func() {}, func() {}},
		{"log answers lost", func() { s.log.setFaults(t, standin.LogFaults{LoseAnswers: 8}) }, func() {}},
		{"log slow", func() { s.log.setFaults(t, standin.LogFaults{SlowMillis: 300}) }, func() { s.log.setFaults(t, standin.LogFaults{}) }},
		{"log down", func() { s.log.setFaults(t, standin.LogFaults{Down: true}) }, func() { s.log.setFaults(t, standin.LogFaults{}) }},
		{"service answers lost", func() { s.service.setFaults(t, standin.ServiceFaults{CutAnswers: 4}) }, func() {}},
		{"router frozen", func() { s.routers[0].signal(syscall.SIGSTOP) }, func() { s.routers[0].signal(syscall.SIGCONT) }},
		{"router killed", func() { s.routers[2].signal(syscall.SIGKILL) }, func() {}},
	}
	const perFault, waves = 8, 2
	var bookings []*booking
	for _, f := range faults {
		var sent []*booking
		for range perFault {
			sent = append(sent, &booking{key: newKey(), outcomes: map[string]int{}, answers: map[string]bool{}})
		}
		var wait conc.WaitGroup
		for wave := range waves {
			for _, b := range sent {
				for _, r := range s.routers {
					wait.Go(func() { b.send(t, r) })
				}
			}
			if wave == 0 {
				f.begin()
			}
		}
		time.AfterFunc(time.Second, f.end)
		wait.Wait()
		bookings = append(bookings, sent...)
	}
	// After the faults, retries must agree with the recorded executions.
	before := s.executions(t)
	for _, b := range bookings {
		b.send(t, s.routers[1])
	}
	for _, b := range bookings {
		n := s.executions(t)[b.key]
		is.True(n <= 1)              // a booking is executed at most once
		is.True(len(b.answers) <= 1) // every caller got the same answer
		is.True(before[b.key] <= n)  // an execution is never lost
		if b.outcomes["Done"] > 0 {
			is.Equal(n, 1) // done means that it was executed
		}
	}
	total := map[string]int{}
	for _, b := range bookings {
		for outcome, n := range b.outcomes {
			total[outcome] += n
		}
	}
	t.Logf("%d bookings, outcomes %v", len(bookings), total)
}

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

// TestLostAnswerIsNotRunAgain cuts the answer of a booking after it ran, and
// repeats it at a router that lives while the first is frozen.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 1})
	key := map[string]string{"Idempotency-Key": newKey()}
	s.service.faults(t, standin.ServiceFaults{CutAnswers: 1})
	body, status := s.routers[0].send(t, http.MethodPost, "/services/approvals/approve", key, `{}`)
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"outcome":"Unknown"`))
	s.routers[0].signal(syscall.SIGSTOP)
	body, _ = s.routers[1].send(t, http.MethodPost, "/services/approvals/approve", key, `{}`)
	is.True(strings.Contains(body, `"outcome":"Unknown"`))
	is.Equal(s.runs(t)[key["Idempotency-Key"]], 1)
}

// booking is one key that is sent again and again to every router.
type booking struct {
	key      string
	mu       sync.Mutex
	outcomes map[string]int
	answers  map[string]bool
}

// send sends the booking once and keeps what came of it.
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

// TestBookingsUnderFaults sends every booking to several routers at once and
// again, while answers of the log and of the service are lost, the log is
// down, a router is frozen and thawed, and another is killed.
func TestBookingsUnderFaults(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 1})
	faults := []struct {
		name       string
		begin, end func()
	}{
		{"none", func() {}, func() {}},
		{"log answers lost", func() { s.log.faults(t, standin.LogFaults{LoseAnswers: 8}) }, func() {}},
		{"log slow", func() { s.log.faults(t, standin.LogFaults{SlowMillis: 300}) }, func() { s.log.faults(t, standin.LogFaults{}) }},
		{"log down", func() { s.log.faults(t, standin.LogFaults{Down: true}) }, func() { s.log.faults(t, standin.LogFaults{}) }},
		{"service answers lost", func() { s.service.faults(t, standin.ServiceFaults{CutAnswers: 4}) }, func() {}},
		{"router frozen", func() { s.routers[0].signal(syscall.SIGSTOP) }, func() { s.routers[0].signal(syscall.SIGCONT) }},
		{"router killed", func() { s.routers[2].signal(syscall.SIGKILL) }, func() {}},
	}
	const perFault, waves = 8, 2
	var bookings []*booking
	for _, f := range faults {
		var fresh []*booking
		for range perFault {
			fresh = append(fresh, &booking{key: newKey(), outcomes: map[string]int{}, answers: map[string]bool{}})
		}
		var wait conc.WaitGroup
		for wave := range waves {
			for _, b := range fresh {
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
		bookings = append(bookings, fresh...)
	}
	// Once all is well again, every repeat agrees with what ran.
	runs := s.runs(t)
	for _, b := range bookings {
		b.send(t, s.routers[1])
	}
	for _, b := range bookings {
		n := s.runs(t)[b.key]
		is.True(n <= 1)              // a booking runs at most once
		is.True(len(b.answers) <= 1) // every caller got the same answer
		is.True(runs[b.key] <= n)    // a run is never lost
		if b.outcomes["Done"] > 0 {
			is.Equal(n, 1) // done means that it ran
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

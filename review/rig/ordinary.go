package rig

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// deadline is how long the clients of ordinary requests wait.
	deadline = 3 * time.Second
	// late is how long after its route's timeout a request may be answered, mostLate the number of
	// requests that may be answered later.
	late, mostLate = 500 * time.Millisecond, 7
)

// OrdinaryClients send ordinary requests, each one after another, while others trouble the
// router.
type OrdinaryClients struct {
	Router *Router
	// Reconnects is set if each request is sent on a new connection.
	Reconnects bool
	// Pause is how long a client waits between two requests.
	Pause time.Duration

	// mu guards came, what came of the requests.
	mu   sync.Mutex
	came map[string]came
}

// came is what came of a request.
type came struct {
	began time.Time
	// after is how long it took, at most the request's deadline.
	after time.Duration
	// what is the status, or "no answer".
	what string
}

// Send sends requests of one of the clients until an instant.
func (o *OrdinaryClients) Send(client int, end time.Time) {
	c := Client{Router: o.Router}
	defer c.Close()
	for n := 0; time.Now().Before(end); n++ {
		r := Ordinary(fmt.Sprintf("ordinary-%d-%03d", client, n))
		got := came{began: time.Now()}
		a, err := c.Exchange(Text(r, ""), deadline)
		got.after, got.what = time.Since(got.began), strconv.Itoa(a.Status)
		if err != nil {
			got.what = "no answer"
		}
		o.mu.Lock()
		if o.came == nil {
			o.came = map[string]came{}
		}
		o.came[r.ID] = got
		o.mu.Unlock()
		if o.Reconnects {
			c.Close()
		}
		time.Sleep(o.Pause)
	}
}

// Check records what came of the requests, and returns whether too many of those that had no
// answer at their route's timeout had none half a second later.
func (o *OrdinaryClients) Check(d *Deployment, services []*standin.PlatformProcess) int {
	postTimeout := time.Duration(d.PostTimeoutMillis) * time.Millisecond
	ran := map[string]bool{}
	for _, s := range services {
		for _, r := range s.Runs() {
			ran[r.Request] = true
		}
	}
	counts, unanswered, tooLate := map[string]int{}, 0, 0
	for _, id := range slices.Sorted(maps.Keys(o.came)) {
		c := o.came[id]
		counts[c.what]++
		if c.after > postTimeout {
			unanswered++
		}
		if c.after > postTimeout+late {
			tooLate++
			d.Record("%s, sent at %.3f: %s after %.3f s, run by the service: %v", id, c.began.Sub(d.started).Seconds(), c.what, c.after.Seconds(), ran[id])
		}
	}
	d.Record("the ordinary requests: %v", counts)
	d.Record("%d of them had no answer after %v, %d of these had none %v later", unanswered, postTimeout, tooLate, late)
	if tooLate > mostLate && 2*tooLate > unanswered {
		d.Record("BROKEN")
		return Broken
	}
	d.Record("HELD")
	return Held
}

package routing

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// expectTime is how long a level that this host sent to an engine is
	// expected to be cached there, until cache events tell.
	expectTime = 2 * time.Second
	// maxSends bounds the sends that are kept for one engine.
	maxSends = 64
	// firstService is the mean time to read a prompt that a view starts with.
	firstService = 150 * time.Millisecond
	// serviceShare is how fast the mean follows.
	serviceShare = 0.05
)

// Report is one load report of an engine.
type Report struct {
	// At is when the engine made the report.
	At time.Duration
	// Queued and Running count requests.
	Queued, Running int
}

// send is one request that this host sent to an engine.
type send struct {
	at      time.Duration
	service time.Duration
	levels  []prefix.Level
	// ended tells that the request waits no more.
	ended bool
}

// View is what one host knows from its own sends. Reports are late, so what
// was sent after a report counts in addition. It is not safe for concurrent
// use. Times are durations since any fixed instant.
type View struct {
	sends   map[string][]send
	service time.Duration
}

// NewView returns the view of a host that has sent nothing.
func NewView() *View { return &View{sends: map[string][]send{}, service: firstService} }

// Service returns the mean time to read what a prompt lacks.
func (v *View) Service() time.Duration { return v.service }

// Sent notes a request with its estimated time to read the prompt.
func (v *View) Sent(engine string, levels []prefix.Level, service, now time.Duration) {
	list := v.sends[engine]
	if len(list) >= maxSends {
		list = append(list[:0], list[maxSends/2:]...)
	}
	v.sends[engine] = append(list, send{at: now, service: service, levels: levels})
}

// Ended notes that a request that was sent at a time has ended: it waits no
// more, though no report tells so yet.
func (v *View) Ended(engine string, at time.Duration) {
	for i, s := range v.sends[engine] {
		if s.at == at && !s.ended {
			v.sends[engine][i].ended = true
			return
		}
	}
}

// Served notes how long an engine took to read a prompt.
func (v *View) Served(took time.Duration) {
	v.service += time.Duration(serviceShare * float64(took-v.service))
}

// Wait returns the estimated time until an engine begins another prompt, and
// the requests that it holds.
func (v *View) Wait(engine string, r Report) (wait time.Duration, load int) {
	wait, load = time.Duration(r.Queued)*v.service, r.Queued+r.Running
	for _, s := range v.sends[engine] {
		if s.at > r.At && !s.ended {
			wait += s.service
			load++
		}
	}
	return wait, load
}

// Expected returns how many tokens of a prompt the recent sends of this host
// have brought to an engine.
func (v *View) Expected(engine string, levels []prefix.Level, now time.Duration) int {
	tokens := 0
	for _, s := range v.sends[engine] {
		if now-s.at <= expectTime {
			tokens = max(tokens, shared(s.levels, levels))
		}
	}
	return tokens
}

// Forget drops what was sent to an engine that lost its cache.
func (v *View) Forget(engine string) { delete(v.sends, engine) }

// shared returns the tokens of the levels that two prompts share.
func shared(a, b []prefix.Level) int {
	tokens := 0
	for i := range min(len(a), len(b)) {
		if a[i].Key != b[i].Key {
			break
		}
		tokens = a[i].Tokens
	}
	return tokens
}

package crash

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
)

// trialRetryAfter is the Retry-After time for a caller whose request timed out
// waiting for a trial run of the same request.
const trialRetryAfter = time.Second

// trial tracks the requests with one fingerprint that run on this host.
type trial struct {
	running int
	// ended is closed when one of the requests ends.
	ended chan struct{}
}

// Admit returns a function to call when the request ends, or the reason for
// which it is refused. Suspect requests with the same fingerprint run one at a
// time; the others wait for the verdict.
func (g *Guard) Admit(ctx context.Context, attempt string, c quarantine.Content) (release func(), refused *request.Failure) {
	select {
	case <-g.loaded:
	case <-ctx.Done():
	}
	for {
		s := g.tryStart(c)
		switch {
		case s.refusedFor != "":
			g.recordRefusal(attempt, s.refusedFor)
			return nil, request.Refuse(request.Quarantined, "the request crashed the engines that ran it")
		case s.ended == nil:
			return func() { g.release(s.started) }, nil
		}
		select {
		case <-s.ended:
		case <-ctx.Done():
			return nil, request.Refuse(request.DeadlineTooNear, "the same request may crash engines and is tried now").WithRetryAfter(trialRetryAfter)
		}
	}
}

// IsQuarantined reports whether an admitted request or one of its parts has been
// quarantined since.
func (g *Guard) IsQuarantined(attempt string, c quarantine.Content) bool {
	f, quarantined := g.quarantined(c)
	if quarantined {
		g.recordRefusal(attempt, f)
	}
	return quarantined
}

// quarantined returns the fingerprint for which a request is quarantined.
func (g *Guard) quarantined(c quarantine.Content) (quarantine.Fingerprint, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range c.Fingerprints() {
		if v := g.table.Classify(f, now); v.Verdict == quarantine.Quarantined && v.AppliesTo(c.Account) {
			return f, true
		}
	}
	return "", false
}

// recordRefusal counts and logs a request that is refused for itself or for one
// of its parts.
func (g *Guard) recordRefusal(attempt string, f quarantine.Fingerprint) {
	now := time.Now()
	c := g.classify(f, now)
	g.Metrics.Tagged(map[string]string{"subject": subject(f)}).Counter("quarantine_refusals").Inc(1)
	event.QuarantineEnforced.Info("Attempt", attempt, "Fingerprint", f, "Losses", c.Losses, "OtherLosses", c.OtherLosses, "LastLossMillis", now.Sub(c.LastLoss).Milliseconds(), "TermOver", c.TermOver)
}

// subject names the kind of a fingerprint in metrics.
func subject(f quarantine.Fingerprint) string {
	if f.IsPart() {
		return "part"
	}
	return "request"
}

// start is the result of tryStart.
type start struct {
	// refusedFor is why the request is refused, or "".
	refusedFor quarantine.Fingerprint
	// ended is closed when the running trial of the same request ends; nil if
	// the request may run.
	ended <-chan struct{}
	// started holds the fingerprints that count as running.
	started []quarantine.Fingerprint
}

// tryStart counts a request that may run, or says why it may not. After the
// term of a quarantine only the host that owns the suspect tries it, one request
// at a time.
func (g *Guard) tryStart(c quarantine.Content) start {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := start{started: []quarantine.Fingerprint{c.Request}}
	for _, f := range c.Fingerprints() {
		v := g.table.Classify(f, now)
		if !v.AppliesTo(c.Account) {
			continue
		}
		_, runs := g.trials[f]
		switch {
		case v.Verdict == quarantine.Quarantined, v.TermOver && (!g.owns(f) || f.IsPart() && runs):
			return start{refusedFor: f}
		case !f.IsPart() && v.Verdict == quarantine.Suspect && runs:
			s.ended = g.trials[f].ended
		case f.IsPart() && v.TermOver:
			s.started = append(s.started, f)
		}
	}
	if s.ended != nil {
		return s
	}
	for _, f := range s.started {
		if g.trials[f] == nil {
			g.trials[f] = &trial{ended: make(chan struct{})}
		}
		g.trials[f].running++
	}
	return s
}

// owns reports whether this host tries a suspect whose quarantine has ended.
func (g *Guard) owns(f quarantine.Fingerprint) bool {
	return g.Self == "" || placement.Owner(string(f), append(g.Peers(), g.Self)) == g.Self
}

// release ends a request that tryStart counted.
func (g *Guard) release(started []quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range started {
		t := g.trials[f]
		close(t.ended)
		t.ended = make(chan struct{})
		if t.running--; t.running == 0 {
			delete(g.trials, f)
		}
	}
}

// Package relay chooses the host that serves a request for a host that does not
// reach the upstreams of its service. Such a host passes the request on as its
// caller sent it and relays the answer; the other host decides everything else. A
// request is passed on at most once. The package does no I/O.
package relay

import (
	"maps"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// MaxHosts is the number of hosts to which a request is passed on if none of
	// them serves it.
	MaxHosts = 3
	// backoff is how long a host gets no relayed requests of a service after it
	// refused one because it doesn't reach the upstreams either, or didn't answer.
	backoff = time.Second
)

// Host is a host that may serve relayed requests.
type Host struct {
	Name, FailureDomain string
	// Address is the IP:port for relayed requests.
	Address string
	// Withdrawn reports whether the host sends its own callers elsewhere, so that it
	// may not serve others: it may miss the upstreams of another service only.
	Withdrawn bool
}

// Table holds which hosts did not serve relayed requests of which service lately. It
// is immutable.
type Table struct{ failedAt map[key]clock.Instant }

type key struct{ service, host string }

// WithFailed returns the table after a host did not serve a request of a service.
func (t Table) WithFailed(service, host string, now clock.Instant) Table {
	next := maps.Clone(t.failedAt)
	if next == nil {
		next = map[key]clock.Instant{}
	}
	maps.DeleteFunc(next, func(_ key, at clock.Instant) bool { return now.Sub(at) >= backoff })
	next[key{service, host}] = now
	return Table{next}
}

// Choose returns the host to which a request of a service is passed on: one that is
// not withdrawn, one of the failure domain, in this order if there are any, chosen by
// spread, a hash of the request. It returns false if all hosts were tried or failed
// lately.
func (t Table) Choose(service string, hosts []Host, failureDomain string, tried func(host string) bool, spread uint64, now clock.Instant) (Host, bool) {
	var best []Host
	bestClass := 0
	for _, h := range hosts {
		if at, failed := t.failedAt[key{service, h.Name}]; tried(h.Name) || failed && now.Sub(at) < backoff {
			continue
		}
		class := 1
		if h.FailureDomain == failureDomain {
			class++
		}
		if !h.Withdrawn {
			class += 2
		}
		switch {
		case class > bestClass:
			best, bestClass = []Host{h}, class
		case class == bestClass:
			best = append(best, h)
		}
	}
	if len(best) == 0 {
		return Host{}, false
	}
	return best[spread%uint64(len(best))], true
}

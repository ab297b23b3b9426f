// Package lease decides which host may send orders to an engine.
//
// A host claims engines by a conditional append to a log, which succeeds only
// if nothing was appended since the host last read it; the claim's offset is
// its fencing number. A claim is valid for a short window after the append was
// sent, on a clock that keeps running while the host is suspended. Another
// host waits for that window, the delivery of a last order and the lease that
// engines require, counted from when it received the claim, which is never
// before the claim was made. So no pause, partition or late answer lets two
// hosts order one engine within a lease. The package does no I/O.
package lease

import (
	"maps"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// Window is how long orders may be sent after the append was sent.
	Window = 900 * time.Millisecond
	// DeliveryMargin covers the time that an order takes to arrive. The order must not
	// arrive later than that.
	DeliveryMargin = 700 * time.Millisecond
)

// Claim is a record of the log: a host's claim to order engines.
type Claim struct {
	Holder    string
	Upstreams []string
	Offset    int64 `json:"-"`
}

// Log is what a host reads of the log of claims.
type Log struct {
	Claims []Claim
	// End is the offset of the end of the log.
	End int64
	// Era rises each time the log lost claims that it had confirmed.
	Era int64
}

// receivedClaim is the latest claim received for an upstream.
type receivedClaim struct {
	holder     string
	offset     int64
	receivedAt clock.Instant
	// era is that of the log when the claim was received.
	era int64
}

// State holds the claims that a host has received. It is immutable.
type State struct {
	// Position is the offset up to which the log has been read.
	Position int64
	// LastReceived is when the last claim of any host was received.
	LastReceived clock.Instant
	claims       map[string]receivedClaim
	// era is the latest era of the log, and eraSince when this host learned of
	// it; zero if the log never lost claims.
	era      int64
	eraSince clock.Instant
}

// With returns the state with a claim added.
func (s State) With(c Claim, now clock.Instant) State {
	next := s
	next.claims = make(map[string]receivedClaim, len(s.claims)+len(c.Upstreams))
	maps.Copy(next.claims, s.claims)
	for _, u := range c.Upstreams {
		if known, ok := next.claims[u]; ok && known.offset >= c.Offset {
			continue
		}
		next.claims[u] = receivedClaim{c.Holder, c.Offset, now, s.era}
		next.LastReceived = now
	}
	return next
}

// WithPosition returns the state after the log was read up to an offset.
func (s State) WithPosition(offset int64) State {
	s.Position = max(s.Position, offset)
	return s
}

// WithLog returns the state after a read of the log.
func (s State) WithLog(l Log, now clock.Instant) State {
	if l.Era > s.era {
		s.era, s.eraSince = l.Era, now
	}
	for _, c := range l.Claims {
		s = s.With(c, now)
	}
	return s.WithPosition(l.End)
}

// mayHaveLostClaim reports whether another host may hold a claim on an upstream
// that the log lost: until its lease has expired, only a host whose claim from
// before is still in force knows that there is none.
func (s State) mayHaveLostClaim(c receivedClaim, holder string, lease time.Duration, now clock.Instant) bool {
	if s.eraSince == 0 || now.Sub(s.eraSince) >= Window+DeliveryMargin+lease {
		return false
	}
	return c.holder != holder || c.era == s.era || now.Sub(c.receivedAt) >= Window+DeliveryMargin+lease
}

// MayClaim reports whether a host may claim an upstream: no other host can
// still order it, and the lease after the last order has expired.
func (s State) MayClaim(upstream, holder string, lease time.Duration, now clock.Instant) bool {
	c, ok := s.claims[upstream]
	if s.mayHaveLostClaim(c, holder, lease, now) {
		return false
	}
	return !ok || c.holder == holder || now.Sub(c.receivedAt) >= Window+DeliveryMargin+lease
}

// MayBeOrdered reports whether another host than the given one may still order an
// upstream under a claim.
func (s State) MayBeOrdered(upstream, holder string, now clock.Instant) bool {
	c, ok := s.claims[upstream]
	return ok && c.holder != holder && now.Sub(c.receivedAt) < Window+DeliveryMargin
}

// HeldBy reports whether a host is the only one that may claim an upstream now.
func (s State) HeldBy(upstream, holder string, lease time.Duration, now clock.Instant) bool {
	c, ok := s.claims[upstream]
	return ok && c.holder == holder && now.Sub(c.receivedAt) < Window+DeliveryMargin+lease
}

// WithoutExpired returns the state without expired claims.
func (s State) WithoutExpired(lease time.Duration, now clock.Instant) State {
	next := s
	next.claims = map[string]receivedClaim{}
	for u, c := range s.claims {
		if now.Sub(c.receivedAt) < Window+DeliveryMargin+lease {
			next.claims[u] = c
		}
	}
	return next
}

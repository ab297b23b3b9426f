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
	// deliveryMargin covers the time that an order takes to arrive.
	deliveryMargin = 700 * time.Millisecond
)

// Claim is a record of the log: a host's claim to order engines.
type Claim struct {
	Holder    string
	Upstreams []string
	Offset    int64 `json:"-"`
}

// receivedClaim is the latest claim received for an upstream.
type receivedClaim struct {
	holder     string
	offset     int64
	receivedAt clock.Instant
}

// State holds the claims that a host has received. It is immutable.
type State struct {
	// Position is the offset up to which the log has been read.
	Position int64
	// LastReceived is when the last claim of any host was received.
	LastReceived clock.Instant
	claims       map[string]receivedClaim
}

// With returns the state with a claim added.
func (s State) With(c Claim, now clock.Instant) State {
	next := State{Position: s.Position, LastReceived: s.LastReceived, claims: make(map[string]receivedClaim, len(s.claims)+len(c.Upstreams))}
	maps.Copy(next.claims, s.claims)
	for _, u := range c.Upstreams {
		if known, ok := next.claims[u]; ok && known.offset >= c.Offset {
			continue
		}
		next.claims[u] = receivedClaim{c.Holder, c.Offset, now}
		next.LastReceived = now
	}
	return next
}

// WithPosition returns the state after the log was read up to an offset.
func (s State) WithPosition(offset int64) State {
	s.Position = max(s.Position, offset)
	return s
}

// MayClaim reports whether a host may claim an upstream: no other host can
// still order it, and the lease after the last order has expired.
func (s State) MayClaim(upstream, holder string, lease time.Duration, now clock.Instant) bool {
	c, ok := s.claims[upstream]
	return !ok || c.holder == holder || now.Sub(c.receivedAt) >= Window+deliveryMargin+lease
}

// HeldBy reports whether a host is the only one that may claim an upstream now.
func (s State) HeldBy(upstream, holder string, lease time.Duration, now clock.Instant) bool {
	c, ok := s.claims[upstream]
	return ok && c.holder == holder && now.Sub(c.receivedAt) < Window+deliveryMargin+lease
}

// WithoutExpired returns the state without expired claims.
func (s State) WithoutExpired(lease time.Duration, now clock.Instant) State {
	next := s
	next.claims = map[string]receivedClaim{}
	for u, c := range s.claims {
		if now.Sub(c.receivedAt) < Window+deliveryMargin+lease {
			next.claims[u] = c
		}
	}
	return next
}

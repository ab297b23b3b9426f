// Package lease decides which host may order an engine.
//
// A host takes the right by appending a claim to a log under the condition
// that nobody has appended since it last looked; the claim's offset is its
// fencing number. The right is used at once or not at all: it ends a short
// window after the append was sent, on a clock that goes on while the host is
// suspended. Another host waits until that window and the lease that engines
// ask for must both be over, counted from when it heard of the claim, which is
// never earlier than when it was made. So no pause, cut or late answer lets
// two hosts order one engine within a lease. The package does no I/O.
package lease

import (
	"maps"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// Window is how long after the append was sent orders may be sent.
	Window = 900 * time.Millisecond
	// margin covers the time that an order takes to arrive.
	margin = 700 * time.Millisecond
)

// Claim is a record of the log.
type Claim struct {
	Holder    string
	Upstreams []string
	Offset    int64 `json:"-"`
}

// held is the last claim of an upstream.
type held struct {
	holder string
	offset int64
	heard  clock.Instant
}

// Ledger is what a host knows of claims. It is immutable.
type Ledger struct {
	// Position is the offset up to which the log was read.
	Position int64
	// Heard is when a claim of any host was last heard of.
	Heard clock.Instant
	last  map[string]held
}

// With returns the ledger after a claim was heard of.
func (l Ledger) With(c Claim, now clock.Instant) Ledger {
	next := Ledger{Position: l.Position, Heard: l.Heard, last: make(map[string]held, len(l.last)+len(c.Upstreams))}
	maps.Copy(next.last, l.last)
	for _, u := range c.Upstreams {
		if known, ok := next.last[u]; ok && known.offset >= c.Offset {
			continue
		}
		next.last[u] = held{c.Holder, c.Offset, now}
		next.Heard = now
	}
	return next
}

// WithPosition returns the ledger after the log was read up to an offset.
func (l Ledger) WithPosition(offset int64) Ledger {
	l.Position = max(l.Position, offset)
	return l
}

// Free tells whether a host may claim an upstream: nobody else can still
// order it, and the lease after the last order is over.
func (l Ledger) Free(upstream, holder string, lease time.Duration, now clock.Instant) bool {
	h, ok := l.last[upstream]
	return !ok || h.holder == holder || now.Sub(h.heard) >= Window+margin+lease
}

// Held tells whether a holder is the only one that may claim an upstream now.
func (l Ledger) Held(upstream, holder string, lease time.Duration, now clock.Instant) bool {
	h, ok := l.last[upstream]
	return ok && h.holder == holder && now.Sub(h.heard) < Window+margin+lease
}

// Forget returns the ledger without claims that bind nobody any more.
func (l Ledger) Forget(lease time.Duration, now clock.Instant) Ledger {
	next := l
	next.last = map[string]held{}
	for u, h := range l.last {
		if now.Sub(h.heard) < Window+margin+lease {
			next.last[u] = h
		}
	}
	return next
}

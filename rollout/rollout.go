package rollout

import (
	"maps"
	"time"
)

const (
	// MaxLoading is the maximum number of engines of a pool that load
	// concurrently. More of them would slow each other down at the weight store.
	MaxLoading = 2
	// smallPoolSize is the size below which one engine loads at a time.
	smallPoolSize = 6
	// MaxDecisionAge is how old a decision may be when its order is sent. The
	// host may have been paused since, and no longer own the pool.
	MaxDecisionAge = 2 * time.Second
	// reportDelay is how long a sent order counts as loading before the engine
	// reports it.
	reportDelay = 2 * time.Second
	// firstBackoff and maxBackoff bound the backoff after a failed order, such
	// as a load that the weight store rejected.
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
)

// Decision is an order to one engine.
type Decision struct {
	Pool   string
	Engine Engine
	Order  Order
	// At is when the decision was made.
	At time.Time
}

// Expired reports whether the order must not be sent any more.
func (d Decision) Expired(now time.Time) bool { return now.Sub(d.At) > MaxDecisionAge }

// attempt is the last order to an engine and how often it was sent in a row.
type attempt struct {
	order  Order
	sentAt time.Time
	count  int
}

// State is the state of a pool's owner: its last order to each engine. A new
// owner starts with the zero value and relies on reports. It is immutable.
type State struct {
	attempts map[string]attempt
}

// Progress is the progress of a pool's rollout.
type Progress struct {
	Pool, Version string
	Fence         int64
	// Engines is the number of engines that should serve. Of these, Done meet
	// the demand, Loading are loading, Waiting need an order and Unreachable
	// don't report.
	Engines, Done, Loading, Waiting, Unreachable int
	Paused                                       bool
	// Held is the reason why no order is sent though engines wait, or "".
	Held string `json:",omitempty"`
}

// Reasons for holding orders back.
const (
	heldLastReady  = "the last ready engine would stop serving"
	heldNewerFence = "engines have seen a newer configuration than this host"
	heldPaused     = "paused"
)

// Next returns the orders to send now and the progress of the pool.
func (s State) Next(d Demand, reports map[string]Report, now time.Time) (State, []Decision, Progress) {
	p := d.Progress(reports)
	if d.Conflict != "" || p.Held == heldNewerFence {
		return s, nil, p
	}
	s.attempts = maps.Clone(s.attempts)
	if s.attempts == nil {
		s.attempts = map[string]attempt{}
	}
	var out []Decision
	b := s.budget(d, reports, now)
	for _, e := range d.Engines {
		r := reports[e.Name]
		order, needed := d.next(e, r)
		if !needed || !r.Reachable || r.Loading || s.inBackoff(e.Name, order, now) {
			continue
		}
		if order.interrupts() {
			held, ok := b.reserve(d, d.serving(e, r))
			if held != "" {
				p.Held = held
			}
			if !ok {
				continue
			}
		}
		s.attempts[e.Name] = s.attempts[e.Name].next(order, now)
		out = append(out, Decision{Pool: d.Pool, Engine: e, Order: order, At: now})
	}
	return s, out, p
}

// maxLoading returns how many engines of a pool may load concurrently.
func maxLoading(engines int) int {
	if engines < smallPoolSize {
		return 1
	}
	return MaxLoading
}

// serving reports whether an engine serves requests now.
func (d Demand) serving(e Engine, r Report) bool {
	return r.Reachable && !r.Loading && !r.Leaving && !e.Leave && (d.From == "" || r.Version == d.From || r.Version == d.Version)
}

// budget counts the engines of a pool that load and those that serve.
type budget struct{ loading, ready int }

// budget counts the engines that load, or will because of an order that was
// just sent, and those that serve.
func (s State) budget(d Demand, reports map[string]Report, now time.Time) budget {
	var b budget
	for _, e := range d.Engines {
		r := reports[e.Name]
		a := s.attempts[e.Name]
		order, needed := d.next(e, r)
		sent := needed && a.order == order && order.interrupts() && now.Sub(a.sentAt) < reportDelay
		switch {
		case r.Loading || sent:
			b.loading++
		case d.serving(e, r):
			b.ready++
		}
	}
	return b
}

// reserve counts one more loading engine and reports whether the budget allows
// it. held is set if the load would interrupt the last ready engine.
func (b *budget) reserve(d Demand, serving bool) (held string, ok bool) {
	if d.Paused || b.loading >= maxLoading(len(d.Engines)) {
		return "", false
	}
	if serving && b.ready <= 1 && !d.Interrupt {
		return heldLastReady, false
	}
	b.loading++
	if serving {
		b.ready--
	}
	return "", true
}

// inBackoff reports whether the same order was sent too recently.
func (s State) inBackoff(engine string, order Order, now time.Time) bool {
	a := s.attempts[engine]
	if a.order != order {
		return false
	}
	backoff := min(maxBackoff, firstBackoff<<min(a.count, 5))
	return now.Sub(a.sentAt) < backoff
}

// next returns the attempt after one more order.
func (a attempt) next(order Order, now time.Time) attempt {
	if a.order != order {
		return attempt{order: order, sentAt: now, count: 1}
	}
	return attempt{order: order, sentAt: now, count: a.count + 1}
}

// Progress returns the progress of the pool according to its engines' reports,
// which any host has.
func (d Demand) Progress(reports map[string]Report) Progress {
	p := Progress{Pool: d.Pool, Version: d.Version, Fence: d.Fence, Paused: d.Paused, Held: d.Conflict}
	for _, e := range d.Engines {
		r := reports[e.Name]
		if r.Fence > d.Fence {
			p.Held = heldNewerFence
		}
		_, needed := d.next(e, r)
		if e.Leave && !needed {
			continue
		}
		p.Engines++
		switch {
		case !r.Reachable:
			p.Unreachable++
		case r.Loading:
			p.Loading++
		case needed:
			p.Waiting++
		default:
			p.Done++
		}
	}
	if p.Held == "" && d.Paused && p.Waiting > 0 {
		p.Held = heldPaused
	}
	return p
}

// Unfinished returns at most limit reachable engines that need an order or
// are loading, in load order.
func (d Demand) Unfinished(reports map[string]Report, limit int) []Engine {
	var found []Engine
	for _, e := range d.Engines {
		r := reports[e.Name]
		_, needed := d.next(e, r)
		if len(found) < limit && r.Reachable && (needed || r.Loading) {
			found = append(found, e)
		}
	}
	return found
}

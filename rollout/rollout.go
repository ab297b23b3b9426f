package rollout

import (
	"maps"
	"time"
)

const (
	// MaxLoading is how many engines of a pool load at once. More slow each
	// other at the weight store.
	MaxLoading = 2
	// smallPool is the size below which one engine loads at a time.
	smallPool = 6
	// SendLimit is how old a decision may be when its order is sent. The host
	// may have been paused since, and no longer keep the pool.
	SendLimit = 2 * time.Second
	// settle is how long a sent order counts as loading before the engine
	// reports it.
	settle = 2 * time.Second
	// firstBackoff and maxBackoff bound the pause after a failed order, such
	// as one that the weight store refused.
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

// Expired tells that the order must not be sent any more.
func (d Decision) Expired(now time.Time) bool { return now.Sub(d.At) > SendLimit }

// attempt is what a keeper remembers of its orders to an engine.
type attempt struct {
	order Order
	at    time.Time
	count int
}

// State is what the keeper of a pool remembers. A new keeper starts with the
// zero value: it learns the rest from reports. It is immutable.
type State struct {
	attempts map[string]attempt
}

// Progress tells how far a pool is.
type Progress struct {
	Pool, Version string
	Fence         int64
	// Engines is the number of engines that should serve; Done have what is
	// wanted, Loading load it, Waiting come later, Unreachable don't report.
	Engines, Done, Loading, Waiting, Unreachable int
	Paused                                       bool
	// Held tells why no order is given though engines wait, or is "".
	Held string `json:",omitempty"`
}

// Reasons to hold orders back.
const (
	heldLast   = "the last ready engine would stop serving"
	heldAhead  = "engines have seen a newer configuration than this host"
	heldPaused = "paused"
)

// Next returns the orders to give now and how far the pool is.
func (s State) Next(d Demand, reports map[string]Report, now time.Time) (State, []Decision, Progress) {
	p := d.Progress(reports)
	if d.Conflict != "" || p.Held == heldAhead {
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
		if !needed || !r.Reachable || r.Loading || s.waits(e.Name, order, now) {
			continue
		}
		if order.interrupts() {
			held, ok := b.take(d, d.serves(e, r))
			if held != "" {
				p.Held = held
			}
			if !ok {
				continue
			}
		}
		s.attempts[e.Name] = s.attempts[e.Name].again(order, now)
		out = append(out, Decision{Pool: d.Pool, Engine: e, Order: order, At: now})
	}
	return s, out, p
}

// limit returns how many engines of a pool may load at once.
func limit(engines int) int {
	if engines < smallPool {
		return 1
	}
	return MaxLoading
}

// serves tells whether an engine answers requests now.
func (d Demand) serves(e Engine, r Report) bool {
	return r.Reachable && !r.Loading && !r.Leaving && !e.Leave && (d.From == "" || r.Version == d.From || r.Version == d.Version)
}

// budget is how many engines of a pool load and how many serve.
type budget struct{ loading, ready int }

// budget counts the engines that load, or will by an order that was just
// sent, and those that serve.
func (s State) budget(d Demand, reports map[string]Report, now time.Time) budget {
	var b budget
	for _, e := range d.Engines {
		r := reports[e.Name]
		a := s.attempts[e.Name]
		order, needed := d.next(e, r)
		sent := needed && a.order == order && order.interrupts() && now.Sub(a.at) < settle
		switch {
		case r.Loading || sent:
			b.loading++
		case d.serves(e, r):
			b.ready++
		}
	}
	return b
}

// take uses the budget for one more engine that loads, or tells why not.
func (b *budget) take(d Demand, serves bool) (held string, ok bool) {
	if d.Paused || b.loading >= limit(len(d.Engines)) {
		return "", false
	}
	if serves && b.ready <= 1 && !d.Interrupt {
		return heldLast, false
	}
	b.loading++
	if serves {
		b.ready--
	}
	return "", true
}

// waits tells whether the same order was given too short a time ago.
func (s State) waits(engine string, order Order, now time.Time) bool {
	a := s.attempts[engine]
	if a.order != order {
		return false
	}
	backoff := min(maxBackoff, firstBackoff<<min(a.count, 5))
	return now.Sub(a.at) < backoff
}

// again counts one more order to an engine.
func (a attempt) again(order Order, now time.Time) attempt {
	if a.order != order {
		return attempt{order: order, at: now, count: 1}
	}
	return attempt{order: order, at: now, count: a.count + 1}
}

// Progress returns how far the pool is by its engines' reports; any host can
// tell.
func (d Demand) Progress(reports map[string]Report) Progress {
	p := Progress{Pool: d.Pool, Version: d.Version, Fence: d.Fence, Paused: d.Paused, Held: d.Conflict}
	for _, e := range d.Engines {
		r := reports[e.Name]
		if r.Fence > d.Fence {
			p.Held = heldAhead
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
// load, in the order in which they load.
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

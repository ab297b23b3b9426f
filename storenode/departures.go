package storenode

import (
	"context"
	"maps"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// withdrawTime is how long after an upstream's departure requests that have yet to
	// arrive are taken back; withdrawInterval is the time between two looks.
	withdrawTime     = 2 * time.Second
	withdrawInterval = 100 * time.Millisecond
)

// withdrawer takes back requests that have yet to arrive.
type withdrawer interface {
	// Withdraw takes back those to an address and returns their number.
	Withdraw(address string) int
}

// departure is an upstream that has left.
type departure struct {
	address string
	at      clock.Instant
}

// departures follows which upstreams leave.
type departures struct {
	// serving maps the ids of upstreams that stay to their addresses.
	serving map[string]string
	// leaving holds those that left lately by id.
	leaving map[string]departure
}

// observe updates the departures from the known upstreams.
func (d *departures) observe(upstreams discovery.Set, now clock.Instant) {
	before := d.serving
	d.serving = map[string]string{}
	for e := range upstreams.All() {
		if !e.Leaving {
			d.serving[e.ID] = e.Address
		}
	}
	for id, address := range before {
		if _, stays := d.serving[id]; !stays {
			d.leaving[id] = departure{address, now}
		}
	}
	maps.DeleteFunc(d.leaving, func(id string, left departure) bool {
		_, back := d.serving[id]
		return back || now.Sub(left.at) > withdrawTime
	})
}

// withdrawFromLeaving takes back requests that have yet to arrive at upstreams that
// leave, until the context ends: the path to them may be cut, and work again later.
func (n *Node) withdrawFromLeaving(ctx context.Context, w withdrawer) {
	d := departures{leaving: map[string]departure{}}
	for ctx.Err() == nil {
		changed := n.syncer.Changed()
		d.observe(n.syncer.State().Upstreams, clock.Now())
		for id, left := range d.leaving {
			if count := w.Withdraw(left.address); count > 0 {
				event.RequestsWithdrawn.Info("Upstream", id, "Address", left.address, "Count", count)
			}
		}
		var next <-chan time.Time
		if len(d.leaving) > 0 {
			next = time.After(withdrawInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-next:
		}
	}
}

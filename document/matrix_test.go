package document

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// fault is one failure that is put at a step of a change.
type fault struct {
	name string
	// never tells why the fault can't occur at any step of a change.
	never string
	// late runs the step only after other hosts went through another change.
	late bool
	put  func(w *world)
}

// faults lists every failure; the first host carries the change.
var faults = []fault{
	{name: "crash", put: func(w *world) { w.hosts[0].restart(); w.crashed = true }},
	{name: "freeze then thaw", late: true, put: func(w *world) { w.hosts[0].frozen = true }},
	{name: "cut both ways", put: func(w *world) {
		h := w.hosts[0]
		h.noRead, h.noAppend, h.noPeersIn, h.noPeersOut = true, true, true, true
	}},
	{name: "cut one way", put: func(w *world) { w.hosts[0].noRead, w.hosts[0].noPeersOut = true, true }},
	{name: "slow", late: true, put: func(*world) {}},
	{name: "answer lost after effect", put: func(w *world) { w.answerLost = true }},
	{name: "duplicate", put: func(w *world) { w.log.double = true }},
	{name: "reorder", put: func(w *world) { w.log.hold = true }},
	{name: "clock step", put: func(w *world) { w.log.now -= 3_600_000 }},
	{name: "log down", put: func(w *world) { w.log.down = true }},
	{name: "log slow", put: func(w *world) { w.log.slow = true }},
	{name: "log trimmed", put: func(w *world) { w.log.trim(w.log.next) }},
	{name: "host list stale", put: func(w *world) {
		for _, h := range w.hosts { // Every host takes itself for the writer.
			w.snapshot(h)
		}
	}},
	{name: "event gap", never: "cache events carry no configuration"},
	{name: "engine restart with the same address", never: "engines take no part in a change; orders follow it"},
	{name: "config change", put: func(w *world) {
		w.publish(w.hosts[1], w.edit(w.hosts[1], RoutingSection))
		w.publish(w.hosts[2], w.edit(w.hosts[2], AuditSection))
	}},
	{name: "drain", put: func(w *world) { w.hosts[0].gone = true }},
}

// change is one change on its way through the steps.
type change struct {
	edit Edit
	// snapshot is what the first host prepared before the fault.
	snapshot []byte
}

// steps lists the steps of a change. The order of engines is another part's.
var steps = []struct {
	name string
	run  func(w *world, c *change)
}{
	{"read", func(w *world, c *change) {
		w.read(w.hosts[0])
		c.edit = w.edit(w.hosts[0], RoutingSection)
	}},
	{"append", func(w *world, c *change) { w.append(w.hosts[0], c.edit) }},
	{"answer", func(w *world, c *change) { w.publish(w.hosts[0], c.edit) }},
	{"fold", func(w *world, _ *change) {
		for _, h := range w.hosts {
			w.read(h)
		}
	}},
	{"apply", func(w *world, _ *change) {
		for _, h := range w.hosts {
			w.ask(h)
		}
	}},
	{"snapshot", func(w *world, c *change) {
		if c.snapshot == nil {
			c.snapshot, _ = EncodeSnapshot(w.hosts[0].Snapshot("first"))
		}
		if !w.hosts[0].gone && !w.hosts[0].noAppend && w.hosts[0].Position() >= 0 {
			w.log.append(c.snapshot)
		}
	}},
}

// runCell carries a change through all steps with faults at one of them. It
// tells whether all hosts converged and the change has one outcome.
func runCell(t *testing.T, at int, put ...fault) (live bool, checks int) {
	w := newWorld(t, 3)
	for range 2 {
		is.New(t).True(w.publish(w.hosts[0], w.edit(w.hosts[0], RoutingSection)))
	}
	w.heal()
	c := &change{}
	for i, step := range steps {
		if i == at {
			hit(w, c, put)
		}
		step.run(w, c)
		w.check()
	}
	w.heal()
	live = w.publish(w.hosts[1], c.edit) // The operator asks another host.
	w.heal()
	if live {
		live = w.converged()
	}
	return live, w.checks
}

// hit puts faults. A late step takes place after another change, a snapshot
// of that and the loss of all records before it.
func hit(w *world, c *change, put []fault) {
	late := false
	if c.snapshot == nil {
		c.snapshot, _ = EncodeSnapshot(w.hosts[0].Snapshot("first"))
	}
	for _, f := range put {
		f.put(w)
		late = late || f.late
		w.check()
	}
	if w.crashed {
		c.snapshot = nil
	}
	if !late {
		return
	}
	w.publish(w.hosts[1], w.edit(w.hosts[1], AuditSection))
	w.log.now += 8000
	w.read(w.hosts[1])
	w.snapshot(w.hosts[1])
	w.read(w.hosts[1])
	if w.hosts[1].Anchor > 0 {
		w.log.trim(w.hosts[1].Anchor)
	}
	w.hosts[0].frozen = false
}

// stuck tells whether a cell is safe but needs an operator afterwards: the
// log dropped a record that no host that lives has read. No host can know
// what it held, so that none may go on by itself.
func stuck(step string, put ...fault) bool {
	for _, f := range put {
		if f.name == "log trimmed" {
			return step == "answer"
		}
	}
	return false
}

// TestFaultMatrix puts every fault, and every two together, at every step of
// a change.
func TestFaultMatrix(t *testing.T) {
	single, pairs, never, checks, unsettled := 0, 0, 0, 0, 0
	for at, step := range steps {
		for i, f := range faults {
			if f.never != "" {
				t.Logf("%s at %s can't occur: %s", f.name, step.name, f.never)
				never++
				continue
			}
			for _, second := range append([]fault{{}}, faults[i+1:]...) {
				put := []fault{f}
				name := step.name + "/" + f.name
				if second.never != "" {
					continue
				}
				if second.put != nil {
					put, name = append(put, second), name+" and "+second.name
					pairs++
				} else {
					single++
				}
				t.Run(name, func(t *testing.T) {
					live, n := runCell(t, at, put...)
					checks += n
					if !live {
						unsettled++
						is.New(t).True(stuck(step.name, put...)) // Only a lost unread record may need an operator.
					}
				})
			}
		}
	}
	fmt.Printf("fault matrix: %d cells, %d pairs, %d cells that can't occur, %d safe but in need of an operator, %d checks\n", single, pairs, never, unsettled, checks)
}

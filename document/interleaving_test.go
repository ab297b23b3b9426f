package document

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// readByAny returns the first offset that no host has read.
func (w *world) readByAny() int64 {
	next := int64(0)
	for _, h := range w.hosts {
		next = max(next, h.Position()+1)
	}
	return next
}

// TestInterleavings lets operators, snapshot writers and readers act in random
// orders while hosts restart and the log loses answers and records.
func TestInterleavings(t *testing.T) {
	runs, events := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(t, 3)
		sent := []Edit{}
		prepared := [][]byte{}
		host := func() *member { return w.hosts[rapid.IntRange(0, 2).Draw(r, "host")] }
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			h := host()
			switch rapid.IntRange(0, 11).Draw(r, "event") {
			case 0, 1:
				sections := []Section{RoutingSection, AuditSection}
				e := w.edit(h, rapid.SampledFrom(sections).Draw(r, "section"))
				sent = append(sent, e)
				w.append(h, e)
			case 2:
				if len(sent) > 0 { // Sent again, by any host.
					w.append(h, rapid.SampledFrom(sent).Draw(r, "edit"))
				}
			case 3, 4:
				w.read(h)
			case 5:
				w.ask(h)
			case 6:
				if h.Position() >= 0 && h.Halt == "" {
					raw, err := EncodeSnapshot(h.Snapshot("writer"))
					is.New(t).NoErr(err)
					prepared = append(prepared, raw)
				}
			case 7:
				if len(prepared) > 0 { // A writer that was paused, for any time.
					w.log.append(rapid.SampledFrom(prepared).Draw(r, "snapshot"))
				}
			case 8:
				w.log.trim(rapid.Int64Range(0, w.readByAny()).Draw(r, "trim"))
			case 9:
				if alive := w.readByAny(); h.Position()+1 < alive { // Never the one that knows most.
					h.restart()
				}
			case 10:
				w.log.down = !w.log.down
			case 11:
				for _, e := range sent {
					w.tell(h, e)
				}
			}
			w.check()
			events++
		}
		w.heal()
		w.heal()
		is.New(t).True(w.converged() || w.log.next == 0)
		runs++
	})
	fmt.Printf("interleavings: %d runs, %d events\n", runs, events)
}

// clone copies a world, so that a search can go on from it in several ways.
func (w *world) clone() *world {
	c := *w
	c.log.records = slices.Clone(w.log.records)
	c.accepted, c.decided, c.sums = maps.Clone(w.accepted), maps.Clone(w.decided), map[int64]string{}
	c.hosts = nil
	for _, h := range w.hosts {
		copied := *h
		c.hosts = append(c.hosts, &copied)
	}
	return &c
}

// key names all that decides how a world goes on.
func (w *world) key(prepared []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %d|%s", w.log.first, w.log.next, len(w.accepted), prepared)
	for _, r := range w.log.records {
		fmt.Fprintf(&b, "|%s", r.Data)
	}
	for _, h := range w.hosts {
		fmt.Fprintf(&b, "|%d %s %d %d %d", h.Position(), h.Checksum(), h.Anchor, len(h.Pending), h.pendingFirst)
	}
	return b.String()
}

// searchDepth is how many events the search goes deep.
const searchDepth = 7

// TestStateSearch visits every state that two hosts, two racing edits, one
// snapshot writer, trims and restarts reach within a number of events.
func TestStateSearch(t *testing.T) {
	type node struct {
		*world
		prepared []byte
	}
	edits := []Edit{
		{ID: "a", Section: RoutingSection, Body: "WasteWeight: 0.1"},
		{ID: "b", Section: RoutingSection, Body: "WasteWeight: 0.2"},
	}
	moves := []func(n *node){}
	for _, e := range edits {
		moves = append(moves, func(n *node) { n.append(n.hosts[0], e) })
	}
	for i := range 2 {
		moves = append(moves,
			func(n *node) { n.read(n.hosts[i]) },
			func(n *node) { n.ask(n.hosts[i]) },
			func(n *node) { n.tell(n.hosts[i], edits[0]) },
			func(n *node) { n.hosts[i].restart() },
		)
	}
	moves = append(moves,
		func(n *node) {
			if n.hosts[0].Position() >= 0 {
				n.prepared, _ = EncodeSnapshot(n.hosts[0].Snapshot("writer"))
			}
		},
		func(n *node) {
			if n.prepared != nil {
				n.log.append(n.prepared)
			}
		},
		func(n *node) { n.log.trim(min(n.log.first+1, n.readByAny())) },
	)
	seen := map[string]bool{}
	level := []node{{world: newWorld(t, 2)}}
	for range searchDepth {
		var next []node
		for _, n := range level {
			for _, move := range moves {
				after := node{n.clone(), n.prepared}
				move(&after)
				after.check()
				if key := after.key(after.prepared); !seen[key] {
					seen[key] = true
					next = append(next, after)
				}
			}
		}
		level = next
	}
	fmt.Printf("state search: %d states to depth %d\n", len(seen), searchDepth)
}

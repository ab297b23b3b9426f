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

// TestMain fixes the seed, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// firstUnread returns the first offset that no host has folded.
func (sim *simulation) firstUnread() int64 {
	next := int64(0)
	for _, h := range sim.hosts {
		next = max(next, h.Position()+1)
	}
	return next
}

// TestInterleavings runs operators, snapshot writers and readers in random
// order while hosts restart and the log becomes unavailable and drops records.
func TestInterleavings(t *testing.T) {
	runs, events := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(t, 3)
		sent := []Edit{}
		prepared := [][]byte{}
		host := func() *simulatedHost { return sim.hosts[rapid.IntRange(0, 2).Draw(r, "host")] }
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			h := host()
			switch rapid.IntRange(0, 11).Draw(r, "event") {
			case 0, 1:
				sections := []Section{RoutingSection, AuditSection}
				e := sim.newEdit(h, rapid.SampledFrom(sections).Draw(r, "section"))
				sent = append(sent, e)
				sim.append(h, e)
			case 2:
				if len(sent) > 0 { // Any host sends it again.
					sim.append(h, rapid.SampledFrom(sent).Draw(r, "edit"))
				}
			case 3, 4:
				sim.read(h)
			case 5:
				sim.fetchFromPeers(h)
			case 6:
				if h.Position() >= 0 && h.Halt == "" {
					raw, err := EncodeSnapshot(h.Snapshot("writer"))
					is.New(t).NoErr(err)
					prepared = append(prepared, raw)
				}
			case 7:
				if len(prepared) > 0 { // The writer was paused since it prepared the snapshot.
					sim.log.append(rapid.SampledFrom(prepared).Draw(r, "snapshot"))
				}
			case 8:
				sim.log.trim(rapid.Int64Range(0, sim.firstUnread()).Draw(r, "trim"))
			case 9:
				if end := sim.firstUnread(); h.Position()+1 < end { // Never the host that is furthest ahead.
					h.restart()
				}
			case 10:
				sim.log.unavailable = !sim.log.unavailable
			case 11:
				for _, e := range sent {
					sim.reportResult(h, e)
				}
			}
			sim.checkInvariants()
			events++
		}
		sim.healAll()
		sim.healAll()
		is.New(t).True(sim.converged() || sim.log.next == 0)
		runs++
	})
	fmt.Printf("interleavings: %d runs, %d events\n", runs, events)
}

// clone copies a simulation, so that the search can branch from it.
func (sim *simulation) clone() *simulation {
	c := *sim
	c.log.records = slices.Clone(sim.log.records)
	c.accepted, c.acceptedOffsets, c.checksums = maps.Clone(sim.accepted), maps.Clone(sim.acceptedOffsets), map[int64]string{}
	c.hosts = nil
	for _, h := range sim.hosts {
		copied := *h
		c.hosts = append(c.hosts, &copied)
	}
	return &c
}

// key encodes everything that affects the further course of a simulation.
func (sim *simulation) key(prepared []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %d|%s", sim.log.first, sim.log.next, len(sim.accepted), prepared)
	for _, r := range sim.log.records {
		fmt.Fprintf(&b, "|%s", r.Data)
	}
	for _, h := range sim.hosts {
		fmt.Fprintf(&b, "|%d %s %d %d %d", h.Position(), h.Checksum(), h.Anchor, len(h.Pending), h.pendingFirst)
	}
	return b.String()
}

// searchDepth is the number of events in each searched sequence.
const searchDepth = 7

// TestStateSearch visits every state that two hosts, two concurrent edits, one
// snapshot writer, trims and restarts can reach within searchDepth events.
func TestStateSearch(t *testing.T) {
	type node struct {
		*simulation
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
			func(n *node) { n.fetchFromPeers(n.hosts[i]) },
			func(n *node) { n.reportResult(n.hosts[i], edits[0]) },
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
		func(n *node) { n.log.trim(min(n.log.first+1, n.firstUnread())) },
	)
	seen := map[string]bool{}
	level := []node{{simulation: newSimulation(t, 2)}}
	for range searchDepth {
		var next []node
		for _, n := range level {
			for _, move := range moves {
				after := node{n.clone(), n.prepared}
				move(&after)
				after.checkInvariants()
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

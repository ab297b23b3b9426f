package document

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// fault is a failure that is injected before a step of a change.
type fault struct {
	name string
	// impossibleBecause says why the fault can't occur at any step of a change.
	impossibleBecause string
	// delaysStep runs the step only after other hosts made another change.
	delaysStep bool
	inject     func(sim *simulation)
}

// faults lists all failures; most affect the first host, which makes the
// change.
var faults = []fault{
	{name: "crash", inject: func(sim *simulation) { sim.hosts[0].restart(); sim.preparedLost = true }},
	{name: "freeze then thaw", delaysStep: true, inject: func(sim *simulation) { sim.hosts[0].frozen = true }},
	{name: "connection lost in both directions", inject: func(sim *simulation) {
		h := sim.hosts[0]
		h.readFails, h.appendFails, h.dropsIncoming, h.dropsOutgoing = true, true, true, true
	}},
	{name: "connection lost in one direction", inject: func(sim *simulation) { sim.hosts[0].readFails, sim.hosts[0].dropsOutgoing = true, true }},
	{name: "slow", delaysStep: true, inject: func(*simulation) {}},
	{name: "answer lost after effect", inject: func(sim *simulation) { sim.loseNextAnswer = true }},
	{name: "duplicate", inject: func(sim *simulation) { sim.log.duplicateNext = true }},
	{name: "reorder", inject: func(sim *simulation) { sim.log.delayNext = true }},
	{name: "clock step", inject: func(sim *simulation) { sim.log.now -= 3_600_000 }},
	{name: "log down", inject: func(sim *simulation) { sim.log.unavailable = true }},
	{name: "log slow", inject: func(sim *simulation) { sim.log.oneRecordPerRead = true }},
	{name: "log trimmed", inject: func(sim *simulation) { sim.log.trim(sim.log.next) }},
	{name: "stale host list", inject: func(sim *simulation) {
		for _, h := range sim.hosts { // Every host considers itself the snapshot writer.
			sim.writeDueSnapshot(h)
		}
	}},
	{name: "gap in cache events", impossibleBecause: "cache events carry no configuration"},
	{name: "engine restart with the same address", impossibleBecause: "engines take no part in a change; orders follow it"},
	{name: "configuration change", inject: func(sim *simulation) {
		sim.publish(sim.hosts[1], sim.newEdit(sim.hosts[1], RoutingSection))
		sim.publish(sim.hosts[2], sim.newEdit(sim.hosts[2], AuditSection))
	}},
	{name: "drain", inject: func(sim *simulation) { sim.hosts[0].drained = true }},
}

// change is the data of one configuration change that goes through the steps.
type change struct {
	edit Edit
	// snapshot was prepared by the first host before the fault.
	snapshot []byte
}

// steps lists the steps of a change. Orders to engines are tested elsewhere.
var steps = []struct {
	name string
	run  func(sim *simulation, c *change)
}{
	{"read", func(sim *simulation, c *change) {
		sim.read(sim.hosts[0])
		c.edit = sim.newEdit(sim.hosts[0], RoutingSection)
	}},
	{"append", func(sim *simulation, c *change) { sim.append(sim.hosts[0], c.edit) }},
	{"answer", func(sim *simulation, c *change) { sim.publish(sim.hosts[0], c.edit) }},
	{"fold", func(sim *simulation, _ *change) {
		for _, h := range sim.hosts {
			sim.read(h)
		}
	}},
	{"apply", func(sim *simulation, _ *change) {
		for _, h := range sim.hosts {
			sim.fetchFromPeers(h)
		}
	}},
	{"snapshot", func(sim *simulation, c *change) {
		if c.snapshot == nil {
			c.snapshot, _ = EncodeSnapshot(sim.hosts[0].Snapshot("first"))
		}
		if !sim.hosts[0].drained && !sim.hosts[0].appendFails && sim.hosts[0].Position() >= 0 {
			sim.log.append(c.snapshot)
		}
	}},
}

// runChange runs a change through all steps and injects faults before one of
// them. It reports whether the change got a result and all hosts converged.
func runChange(t *testing.T, faultStep int, injected ...fault) (settled bool, checks int) {
	sim := newSimulation(t, 3)
	for range 2 {
		is.New(t).True(sim.publish(sim.hosts[0], sim.newEdit(sim.hosts[0], RoutingSection)))
	}
	sim.healAll()
	c := &change{}
	for i, step := range steps {
		if i == faultStep {
			injectFaults(sim, c, injected)
		}
		step.run(sim, c)
		sim.checkInvariants()
	}
	sim.healAll()
	settled = sim.publish(sim.hosts[1], c.edit) // The operator publishes through another host.
	sim.healAll()
	if settled {
		settled = sim.converged()
	}
	return settled, sim.checkCount
}

// injectFaults injects faults. A delayed step runs after another change, a
// snapshot of it and the loss of all records before the snapshot.
func injectFaults(sim *simulation, c *change, injected []fault) {
	delayed := false
	if c.snapshot == nil {
		c.snapshot, _ = EncodeSnapshot(sim.hosts[0].Snapshot("first"))
	}
	for _, f := range injected {
		f.inject(sim)
		delayed = delayed || f.delaysStep
		sim.checkInvariants()
	}
	if sim.preparedLost {
		c.snapshot = nil
	}
	if !delayed {
		return
	}
	sim.publish(sim.hosts[1], sim.newEdit(sim.hosts[1], AuditSection))
	sim.log.now += 8000
	sim.read(sim.hosts[1])
	sim.writeDueSnapshot(sim.hosts[1])
	sim.read(sim.hosts[1])
	if sim.hosts[1].Anchor > 0 {
		sim.log.trim(sim.hosts[1].Anchor)
	}
	sim.hosts[0].frozen = false
}

// needsOperator reports whether the change stays safe but an operator has to
// intervene afterwards: the log dropped a record that no live host has read.
// No host can know its contents, so none may continue on its own.
func needsOperator(step string, injected ...fault) bool {
	for _, f := range injected {
		if f.name == "log trimmed" {
			return step == "answer"
		}
	}
	return false
}

// TestFaultMatrix injects every fault, and every pair of faults, at every step
// of a change.
func TestFaultMatrix(t *testing.T) {
	single, pairs, impossible, checks, unsettled := 0, 0, 0, 0, 0
	for stepIndex, step := range steps {
		for i, f := range faults {
			if f.impossibleBecause != "" {
				t.Logf("%s at %s can't occur: %s", f.name, step.name, f.impossibleBecause)
				impossible++
				continue
			}
			for _, second := range append([]fault{{}}, faults[i+1:]...) {
				injected := []fault{f}
				name := step.name + "/" + f.name
				if second.impossibleBecause != "" {
					continue
				}
				if second.inject != nil {
					injected, name = append(injected, second), name+" and "+second.name
					pairs++
				} else {
					single++
				}
				t.Run(name, func(t *testing.T) {
					settled, n := runChange(t, stepIndex, injected...)
					checks += n
					if !settled {
						unsettled++
						is.New(t).True(needsOperator(step.name, injected...)) // Only the loss of an unread record may need an operator.
					}
				})
			}
		}
	}
	fmt.Printf("fault matrix: %d cells, %d pairs, %d cells that can't occur, %d safe but in need of an operator, %d checks\n", single, pairs, impossible, unsettled, checks)
}

package document

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// memoryLog is a log that can be unavailable, and can duplicate, delay or drop
// records.
type memoryLog struct {
	records                                      []Record
	next, first, now                             int64
	unavailable, duplicateNext, oneRecordPerRead bool
	// delayNext delays the next record until after another append; delayed is
	// that record.
	delayNext bool
	delayed   []byte
}

// append appends a record subject to the injected faults.
func (l *memoryLog) append(data []byte) {
	if l.unavailable {
		return
	}
	if l.delayNext {
		l.delayNext, l.delayed = false, data
		return
	}
	times := 1
	if l.duplicateNext {
		times, l.duplicateNext = 2, false
	}
	for range times {
		l.records = append(l.records, Record{Offset: l.next, AppendedMillis: l.now, Data: data})
		l.next, l.now = l.next+1, l.now+1000
	}
	if delayed := l.delayed; delayed != nil {
		l.delayed = nil
		l.append(delayed)
	}
}

func (l *memoryLog) page(from int64) Page {
	p := Page{First: l.first, Next: l.next}
	for _, r := range l.records {
		if r.Offset >= from && (!l.oneRecordPerRead || len(p.Records) == 0) {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// trim drops every record before an offset.
func (l *memoryLog) trim(before int64) {
	l.first = max(l.first, before)
	l.records = slices.DeleteFunc(l.records, func(r Record) bool { return r.Offset < l.first })
}

// simulatedHost is a host with its replica and its injected faults.
type simulatedHost struct {
	Replica
	ready, frozen, drained                bool
	readFails, appendFails, dropsIncoming bool
	dropsOutgoing                         bool
}

// simulation runs the replicas of several hosts against one log and checks the
// invariants after every event.
type simulation struct {
	t               *testing.T
	log             memoryLog
	hosts           []*simulatedHost
	accepted        map[string]EditResult
	acceptedOffsets map[string]int64
	checksums       map[int64]string
	editCount       int
	checkCount      int
	// loseNextAnswer loses the answer to the next append.
	loseNextAnswer bool
	// preparedLost reports whether the first host lost the snapshot that it had
	// prepared.
	preparedLost bool
}

func newSimulation(t *testing.T, hosts int) *simulation {
	sim := &simulation{t: t, accepted: map[string]EditResult{}, acceptedOffsets: map[string]int64{}, checksums: map[int64]string{}}
	for range hosts {
		sim.hosts = append(sim.hosts, &simulatedHost{Replica: NewReplica()})
	}
	return sim
}

// read makes a host read the log once.
func (sim *simulation) read(h *simulatedHost) {
	if sim.log.unavailable || h.readFails || h.frozen || h.drained {
		return
	}
	page := sim.log.page(h.NextOffset())
	h.advance(sim, h.Read(page))
	if h.CaughtUp(page) && h.Position() >= 0 {
		h.ready = true
	}
}

// fetchFromPeers makes a host fetch the state of every reachable peer.
func (sim *simulation) fetchFromPeers(h *simulatedHost) {
	if h.frozen || h.drained {
		return
	}
	fetched := false
	for _, p := range sim.hosts {
		if p == h || p.frozen || p.drained || h.dropsOutgoing || p.dropsIncoming || p.Position() < 0 {
			continue
		}
		next, err := h.Adopt(p.Transfer("peer"))
		is.New(sim.t).NoErr(err)
		h.advance(sim, next)
		fetched = true
	}
	if fetched && (sim.log.unavailable || h.readFails || h.Gap(sim.log.page(0))) {
		h.ready = true
	}
}

// advance replaces a host's replica. The position never decreases.
func (h *simulatedHost) advance(sim *simulation, next Replica) {
	is.New(sim.t).True(next.Position() >= h.Position()) // A running host never reverts.
	h.Replica = next
	sim.checkInvariants()
}

// restart discards a host's state.
func (h *simulatedHost) restart() { *h = simulatedHost{Replica: NewReplica()} }

// newEdit creates an edit based on a host's current revision.
func (sim *simulation) newEdit(h *simulatedHost, section Section) Edit {
	sim.editCount++
	body := fmt.Sprintf("WasteWeight: 0.%d", sim.editCount%10)
	if section == AuditSection {
		body = fmt.Sprintf("Verdicts: %d", 1000+sim.editCount)
	}
	return Edit{ID: fmt.Sprintf("edit-%d", sim.editCount), Section: section, Base: h.Revision(section), Author: "ana", Body: body}
}

// append appends an edit. Publishers rely only on reading the record back, so
// the answer is ignored.
func (sim *simulation) append(h *simulatedHost, e Edit) {
	raw, err := EncodeEdit(e)
	is.New(sim.t).NoErr(err)
	if h.appendFails || h.frozen || h.drained {
		return
	}
	sim.log.append(raw)
	if sim.loseNextAnswer {
		sim.loseNextAnswer = false
		sim.append(sim.hosts[1], e) // The operator publishes it again through another host.
	}
}

// reportResult reports the result of an edit to the operator and returns
// whether the host has one. An acceptance is reported only once another host
// has the edit as well.
func (sim *simulation) reportResult(h *simulatedHost, e Edit) bool {
	result, ok := h.EditResult(e.ID)
	if ok && result.Accepted {
		if !sim.confirmedByPeer(h, result.Offset) {
			return false
		}
		sim.accepted[e.ID] = result
	}
	return ok
}

// confirmedByPeer sends a host's state to its peers and reports whether one of
// them has reached the offset.
func (sim *simulation) confirmedByPeer(h *simulatedHost, offset int64) bool {
	if h.frozen || h.drained || h.dropsOutgoing {
		return false
	}
	confirmed := false
	for _, p := range sim.hosts {
		if p == h || p.frozen || p.drained || p.dropsIncoming {
			continue
		}
		next, err := p.Adopt(h.Transfer("peer"))
		is.New(sim.t).NoErr(err)
		p.advance(sim, next)
		confirmed = confirmed || p.Position() >= offset
	}
	return confirmed
}

// publish appends an edit, with retries under the same ID, until a host reports
// its result. It returns whether there is one.
func (sim *simulation) publish(h *simulatedHost, e Edit) bool {
	for range 3 {
		sim.read(h)
		if sim.reportResult(h, e) {
			return true
		}
		sim.append(h, e)
		sim.read(h)
		sim.fetchFromPeers(h)
	}
	return sim.reportResult(h, e)
}

// writeDueSnapshot makes a host write a snapshot if one is due.
func (sim *simulation) writeDueSnapshot(h *simulatedHost) {
	due := h.SnapshotDue(Retention{Millis: 8000, Share: 0.5, First: sim.log.first, NowMillis: sim.log.now})
	if !due || h.Gap(sim.log.page(0)) || h.frozen || h.drained || h.appendFails {
		return
	}
	raw, err := EncodeSnapshot(h.Snapshot("writer"))
	is.New(sim.t).NoErr(err)
	sim.log.append(raw)
}

// checkInvariants checks the invariants that hold after every event.
func (sim *simulation) checkInvariants() {
	sim.checkCount++
	is := is.New(sim.t)
	for _, h := range sim.hosts {
		is.Equal(h.Conflict, "") // No two hosts fold differently.
		if h.Position() < 0 {
			continue
		}
		own := h.cachedChecksum()
		if checksum, ok := sim.checksums[h.Position()]; ok {
			is.Equal(own, checksum) // Hosts at the same position have the same state.
		}
		sim.checksums[h.Position()] = own
		for id, v := range sim.accepted {
			if h.Position() >= v.Offset {
				is.True(h.Revision(v.Section) >= v.Offset+1) // A reported acceptance is never lost.
				result, ok := h.EditResult(id)
				is.True(!ok || result.Accepted)
			}
		}
		for _, v := range h.Verdicts {
			if !v.Accepted {
				continue
			}
			if offset, ok := sim.acceptedOffsets[v.Edit]; ok {
				is.Equal(offset, v.Offset) // An edit takes effect at most once.
			}
			sim.acceptedOffsets[v.Edit] = v.Offset
		}
	}
}

// healAll ends all faults except a drain, and makes every host read the log,
// fetch from its peers and write due snapshots.
func (sim *simulation) healAll() {
	delayed := sim.log.delayed
	sim.log = memoryLog{records: sim.log.records, next: sim.log.next, first: sim.log.first, now: sim.log.now}
	if delayed != nil {
		sim.log.append(delayed)
	}
	for _, h := range sim.hosts {
		*h = simulatedHost{Replica: h.Replica, ready: h.ready, drained: h.drained}
	}
	for range 3 {
		for _, h := range sim.hosts {
			sim.read(h)
			sim.fetchFromPeers(h)
			sim.writeDueSnapshot(h)
		}
	}
}

// converged reports whether every host is ready and at the end of the log.
func (sim *simulation) converged() bool {
	for _, h := range sim.hosts {
		if !h.drained && (!h.ready || !h.CaughtUp(sim.log.page(h.NextOffset()))) {
			return false
		}
	}
	return true
}

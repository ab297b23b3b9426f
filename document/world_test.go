package document

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// memoryLog is a log whose answers can be lost, doubled or held back.
type memoryLog struct {
	records            []Record
	next, first, now   int64
	down, double, slow bool
	// hold keeps back the next record until another one was appended.
	hold bool
	held []byte
}

// append appends a record, or not, as the faults have it.
func (l *memoryLog) append(data []byte) {
	if l.down {
		return
	}
	if l.hold {
		l.hold, l.held = false, data
		return
	}
	times := 1
	if l.double {
		times, l.double = 2, false
	}
	for range times {
		l.records = append(l.records, Record{Offset: l.next, AppendedMillis: l.now, Data: data})
		l.next, l.now = l.next+1, l.now+1000
	}
	if held := l.held; held != nil {
		l.held = nil
		l.append(held)
	}
}

func (l *memoryLog) page(from int64) Page {
	p := Page{First: l.first, Next: l.next}
	for _, r := range l.records {
		if r.Offset >= from && (!l.slow || len(p.Records) == 0) {
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

// member is a host of the world.
type member struct {
	Replica
	ready, frozen, gone         bool
	noRead, noAppend, noPeersIn bool
	noPeersOut                  bool
}

// world drives the pure code of several hosts with one log, and checks after
// every event what has to hold.
type world struct {
	t        *testing.T
	log      memoryLog
	hosts    []*member
	accepted map[string]Verdict
	decided  map[string]int64
	sums     map[int64]string
	edits    int
	checks   int
	// answerLost loses the answer to the next append.
	answerLost bool
	// crashed tells that the first host lost what it had prepared.
	crashed bool
}

func newWorld(t *testing.T, hosts int) *world {
	w := &world{t: t, accepted: map[string]Verdict{}, decided: map[string]int64{}, sums: map[int64]string{}}
	for range hosts {
		w.hosts = append(w.hosts, &member{Replica: NewReplica()})
	}
	return w
}

// read lets a host read the log once.
func (w *world) read(h *member) {
	if w.log.down || h.noRead || h.frozen || h.gone {
		return
	}
	page := w.log.page(h.NextOffset())
	h.advance(w, h.Read(page))
	if h.CaughtUp(page) && h.Position() >= 0 {
		h.ready = true
	}
}

// ask lets a host ask every peer that it reaches.
func (w *world) ask(h *member) {
	if h.frozen || h.gone {
		return
	}
	told := false
	for _, p := range w.hosts {
		if p == h || p.frozen || p.gone || h.noPeersOut || p.noPeersIn || p.Position() < 0 {
			continue
		}
		next, err := h.Adopt(p.Transfer("peer"))
		is.New(w.t).NoErr(err)
		h.advance(w, next)
		told = true
	}
	if told && (w.log.down || h.noRead || h.Gap(w.log.page(0))) {
		h.ready = true
	}
}

// advance replaces a host's replica, which never moves back.
func (h *member) advance(w *world, next Replica) {
	is.New(w.t).True(next.Position() >= h.Position()) // A running host never reverts.
	h.Replica = next
	w.check()
}

// restart loses all that a host had.
func (h *member) restart() { *h = member{Replica: NewReplica()} }

// edit makes an edit on what a host has read.
func (w *world) edit(h *member, section Section) Edit {
	w.edits++
	body := fmt.Sprintf("WasteWeight: 0.%d", w.edits%10)
	if section == AuditSection {
		body = fmt.Sprintf("Verdicts: %d", 1000+w.edits)
	}
	return Edit{ID: fmt.Sprintf("edit-%d", w.edits), Section: section, Base: h.Revision(section), Author: "ana", Body: body}
}

// append appends an edit. Publishers go by what they read back alone, so that
// the answer is not looked at.
func (w *world) append(h *member, e Edit) {
	raw, err := EncodeEdit(e)
	is.New(w.t).NoErr(err)
	if h.noAppend || h.frozen || h.gone {
		return
	}
	w.log.append(raw)
	if w.answerLost {
		w.answerLost = false
		w.append(w.hosts[1], e) // The operator sends it again to another host.
	}
}

// tell gives the operator the verdict that a host knows, if any. An accepted
// edit is told once another host has it as well.
func (w *world) tell(h *member, e Edit) bool {
	v, ok := h.Verdict(e.ID)
	if ok && v.Accepted {
		if !w.confirmed(h, v.Offset) {
			return false
		}
		w.accepted[e.ID] = v
	}
	return ok
}

// confirmed announces a host's state and tells whether another one took it.
func (w *world) confirmed(h *member, offset int64) bool {
	if h.frozen || h.gone || h.noPeersOut {
		return false
	}
	found := false
	for _, p := range w.hosts {
		if p == h || p.frozen || p.gone || p.noPeersIn {
			continue
		}
		next, err := p.Adopt(h.Transfer("peer"))
		is.New(w.t).NoErr(err)
		p.advance(w, next)
		found = found || p.Position() >= offset
	}
	return found
}

// publish carries an edit through until a host knows its verdict, sending it
// again under the same ID.
func (w *world) publish(h *member, e Edit) bool {
	for range 3 {
		w.read(h)
		if w.tell(h, e) {
			return true
		}
		w.append(h, e)
		w.read(h)
		w.ask(h)
	}
	return w.tell(h, e)
}

// snapshot lets a host write a snapshot if one is due.
func (w *world) snapshot(h *member) {
	due := h.SnapshotDue(Retention{Millis: 8000, Share: 0.5, First: w.log.first, NowMillis: w.log.now})
	if !due || h.Gap(w.log.page(0)) || h.frozen || h.gone || h.noAppend {
		return
	}
	raw, err := EncodeSnapshot(h.Snapshot("writer"))
	is.New(w.t).NoErr(err)
	w.log.append(raw)
}

// check checks what has to hold after every event.
func (w *world) check() {
	w.checks++
	is := is.New(w.t)
	for _, h := range w.hosts {
		is.Equal(h.Conflict, "") // No two hosts fold differently.
		if h.Position() < 0 {
			continue
		}
		own := h.sum()
		if sum, known := w.sums[h.Position()]; known {
			is.Equal(own, sum) // Readers agree at equal positions.
		}
		w.sums[h.Position()] = own
		for id, v := range w.accepted {
			if h.Position() >= v.Offset {
				is.True(h.Revision(v.Section) >= v.Offset+1) // What was accepted stays.
				own, ok := h.Verdict(id)
				is.True(!ok || own.Accepted)
			}
		}
		for _, v := range h.Verdicts {
			if !v.Accepted {
				continue
			}
			if offset, ok := w.decided[v.Edit]; ok {
				is.Equal(offset, v.Offset) // An edit takes effect at most once.
			}
			w.decided[v.Edit] = v.Offset
		}
	}
}

// heal ends every fault and lets all hosts read, ask and write snapshots.
func (w *world) heal() {
	held := w.log.held
	w.log = memoryLog{records: w.log.records, next: w.log.next, first: w.log.first, now: w.log.now}
	if held != nil {
		w.log.append(held)
	}
	for _, h := range w.hosts {
		*h = member{Replica: h.Replica, ready: h.ready, gone: h.gone}
	}
	for range 3 {
		for _, h := range w.hosts {
			w.read(h)
			w.ask(h)
			w.snapshot(h)
		}
	}
}

// converged tells whether every host is ready and at the end of the log.
func (w *world) converged() bool {
	for _, h := range w.hosts {
		if !h.gone && (!h.ready || !h.CaughtUp(w.log.page(h.NextOffset()))) {
			return false
		}
	}
	return true
}

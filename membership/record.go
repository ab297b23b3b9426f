package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// receive takes over a message and answers it where the views differ.
func (v View) receive(m Message, now time.Time) (View, []Outgoing) {
	sender := m.Sender.Name
	if sender == v.self.Name || sender == "" {
		return v, nil
	}
	known, ok := v.members[sender]
	if !ok || m.Sender.newer(known.Record) {
		v = v.store(m.Sender, now)
	}
	if m.Sender.Incarnation >= known.Incarnation {
		v = v.hear(sender, m.Final, now)
	}
	for _, r := range m.Records[:min(len(m.Records), MaxRecords)] {
		v = v.merge(r, now)
	}
	v = v.depart(m.Departing[:min(len(m.Departing), MaxRecords)], holdDeparture, now)
	v, answer := v.answer(m, now)
	v, pushed := v.push()
	return v, append(answer, pushed...)
}

// hear notes that a watched host lives.
func (v View) hear(name string, final bool, now time.Time) View {
	if !v.watched[name] {
		return v
	}
	v.heard = maps.Clone(v.heard)
	v.heard[name] = now
	if final {
		delete(v.heard, name)
	}
	return v
}

// merge takes over one record. A record about this host that it doesn't
// agree with is refuted.
func (v View) merge(r Record, now time.Time) View {
	if r.Name == v.self.Name {
		if r.newer(v.self) {
			v.self.Incarnation = r.Incarnation
			return v.reassert()
		}
		return v
	}
	known, ok := v.members[r.Name]
	_, listed := v.listed[r.Name]
	if !ok && !listed && r.State == Failed {
		return v
	}
	if !ok || r.newer(known.Record) {
		return v.store(r, now)
	}
	if !known.identified && r.Incarnation == known.Incarnation && r.Identity.Name != "" {
		known.Identity, known.identified = r.Identity, true
		return v.put(known).queue(r.Name, true)
	}
	return v
}

// put replaces a member.
func (v View) put(m member) View {
	before, connected := v.identity(m.Name), v.connects(m.Name)
	v.digest ^= v.members[m.Name].hash() ^ m.hash()
	v.members = maps.Clone(v.members)
	v.members[m.Name] = m
	v.changes++
	v.stale = v.stale || connected != v.connects(m.Name) || before != v.identity(m.Name)
	return v
}

// store keeps a record that is newer than what was known and queues it for
// the peers.
func (v View) store(r Record, now time.Time) View {
	known := v.members[r.Name]
	told := r.Identity.Name != ""
	m := member{Record: r, leaving: known.leaving, since: now, identified: told}
	if !told {
		m.Identity = known.Identity
		m.identified = known.identified && known.Incarnation == r.Incarnation
	}
	switch r.State {
	case Live:
		m.leaving = false
	case Leaving:
		m.leaving = true
	case Suspect, Failed:
		m.Load = known.Load
	}
	if r.State < Suspect {
		v = v.credit(r.Name, known, now)
	}
	return v.put(m).queue(r.Name, told)
}

// credit makes the watch on a host that refuted more patient, so that a
// one-way cut to this host alone does not go on raising suspicion.
func (v View) credit(name string, known member, now time.Time) View {
	if known.State < Suspect || !v.watched[name] {
		return v
	}
	v.patience, v.heard = maps.Clone(v.patience), maps.Clone(v.heard)
	v.patience[name] = min(maxPatience, 2*max(1, v.patience[name]))
	v.heard[name] = now
	return v
}

// queue puts a member first among the changes to send.
func (v View) queue(name string, identify bool) View {
	pending := slices.DeleteFunc(slices.Clone(v.pending), func(p pendingRecord) bool { return p.name == name })
	v.pending = slices.Insert(pending, 0, pendingRecord{name, recordRounds, identify})
	return v
}

// takePending returns the records of the next round.
func (v View) takePending() []Record {
	var records []Record
	for _, p := range v.pending[:min(len(v.pending), MaxRecords)] {
		r, ok := v.record(p.name, p.identify)
		if ok {
			records = append(records, r)
		}
	}
	return records
}

// afterRound returns the changes that are left to send after a round.
func (v View) afterRound() []pendingRecord {
	pending := slices.Clone(v.pending)
	for i := range pending[:min(len(pending), MaxRecords)] {
		pending[i].rounds--
	}
	return slices.DeleteFunc(pending, func(p pendingRecord) bool { return p.rounds <= 0 })
}

// record returns the record of a host as messages carry it.
func (v View) record(name string, identify bool) (Record, bool) {
	r, identified := v.members[name].Record, v.members[name].identified
	if name == v.self.Name {
		r, identified = v.self, true
	}
	if !identify || !identified {
		r.Identity = Identity{}
	}
	return r, r.Name != ""
}

// answer tells a sender whose view differs a part of this view: what it
// needs to refute first, then the next members in turn. It answers each
// sender at most once a heartbeat.
func (v View) answer(m Message, now time.Time) (View, []Outgoing) {
	sender := m.Sender.Name
	known := v.members[sender].Record
	same := m.Digest == v.sum()
	if m.Answer || same || v.identity(sender).Peers == "" || now.Sub(v.answered[sender]) < HeartbeatInterval/2 {
		return v, nil
	}
	v.answered = maps.Clone(v.answered)
	maps.DeleteFunc(v.answered, func(_ string, at time.Time) bool { return now.Sub(at) > HeartbeatInterval })
	v.answered[sender] = now
	var records []Record
	if known.newer(m.Sender) {
		records = append(records, known)
	}
	names := slices.Sorted(maps.Keys(v.members))
	names = append(names, v.self.Name)
	for range min(len(names), MaxRecords-len(records)) {
		r, ok := v.record(names[v.cursor%len(names)], true)
		v.cursor++
		if ok && r.Name != sender {
			records = append(records, r)
		}
	}
	return v, []Outgoing{v.to(sender, Message{Answer: true, Records: records})}
}

// hash is a member's part of the digest. Failed hosts have none, since views
// forget them at different times.
func (m member) hash() uint64 {
	if m.Name == "" || m.State == Failed {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(m.Name)
	var number [10]byte
	binary.LittleEndian.PutUint64(number[:], uint64(m.Incarnation))
	number[8] = byte(m.State)
	if m.identified {
		number[9] = 1
	}
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// sum is the digest of the whole view, this host included.
func (v View) sum() uint64 {
	return v.digest ^ member{Record: v.self, identified: true}.hash()
}

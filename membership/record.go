package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// receive applies a message and answers it if the views differ.
func (v View) receive(m Message, now time.Time) (View, []Outgoing) {
	sender := m.Sender.Name
	if sender == v.self.Name || sender == "" {
		return v, nil
	}
	known, ok := v.members[sender]
	if !ok || m.Sender.newer(known.Record) {
		v = v.setRecord(m.Sender, now)
	}
	if m.Sender.Incarnation >= known.Incarnation {
		v = v.noteHeartbeat(sender, m.Final, now)
	}
	for _, r := range m.Records[:min(len(m.Records), MaxRecords)] {
		v = v.mergeRecord(r, now)
	}
	v = v.addDepartures(m.Departing[:min(len(m.Departing), MaxRecords)], departureTimeout, now)
	v, answer := v.answer(m, now)
	v, pushed := v.push()
	return v, append(answer, pushed...)
}

// noteHeartbeat records a heartbeat of a watched host.
func (v View) noteHeartbeat(name string, final bool, now time.Time) View {
	if !v.watched[name] {
		return v
	}
	v.lastSeen = maps.Clone(v.lastSeen)
	v.lastSeen[name] = now
	if final {
		delete(v.lastSeen, name)
	}
	return v
}

// mergeRecord applies a record. A record that contradicts this host's own is
// refuted.
func (v View) mergeRecord(r Record, now time.Time) View {
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
		return v.setRecord(r, now)
	}
	if !known.hasIdentity && r.Incarnation == known.Incarnation && r.Identity.Name != "" {
		known.Identity, known.hasIdentity = r.Identity, true
		return v.setMember(known).queue(r.Name, true)
	}
	return v
}

// setMember replaces a member.
func (v View) setMember(m member) View {
	identity, participated := v.identityOf(m.Name), v.participates(m.Name)
	v.digest ^= v.members[m.Name].hash() ^ m.hash()
	v.members = maps.Clone(v.members)
	v.members[m.Name] = m
	v.changes++
	v.targetsOutdated = v.targetsOutdated || participated != v.participates(m.Name) || identity != v.identityOf(m.Name)
	return v
}

// setRecord applies a record that is newer than the known one and queues it for
// the peers.
func (v View) setRecord(r Record, now time.Time) View {
	known := v.members[r.Name]
	hasIdentity := r.Identity.Name != ""
	m := member{Record: r, selfLeaving: known.selfLeaving, since: now, hasIdentity: hasIdentity}
	if !hasIdentity {
		m.Identity = known.Identity
		m.hasIdentity = known.hasIdentity && known.Incarnation == r.Incarnation
	}
	switch r.State {
	case Live:
		m.selfLeaving = false
	case Leaving:
		m.selfLeaving = true
	case Suspect, Failed:
		m.Load = known.Load
	}
	if r.State < Suspect {
		v = v.extendTimeout(r.Name, known, now)
	}
	return v.setMember(m).queue(r.Name, hasIdentity)
}

// extendTimeout extends the timeout of a watched host that refuted a suspicion,
// so that a one-way partition towards this host alone doesn't raise suspicions
// again and again.
func (v View) extendTimeout(name string, known member, now time.Time) View {
	if known.State < Suspect || !v.watched[name] {
		return v
	}
	v.timeoutFactors, v.lastSeen = maps.Clone(v.timeoutFactors), maps.Clone(v.lastSeen)
	v.timeoutFactors[name] = min(maxTimeoutFactor, 2*max(1, v.timeoutFactors[name]))
	v.lastSeen[name] = now
	return v
}

// queue adds a member at the head of the changes to send.
func (v View) queue(name string, withIdentity bool) View {
	pending := slices.DeleteFunc(slices.Clone(v.pending), func(p pendingRecord) bool { return p.name == name })
	v.pending = slices.Insert(pending, 0, pendingRecord{name, recordRounds, withIdentity})
	return v
}

// takePending returns the records for the next round.
func (v View) takePending() []Record {
	var records []Record
	for _, p := range v.pending[:min(len(v.pending), MaxRecords)] {
		r, ok := v.record(p.name, p.withIdentity)
		if ok {
			records = append(records, r)
		}
	}
	return records
}

// afterRound returns the changes that remain to be sent after a round.
func (v View) afterRound() []pendingRecord {
	pending := slices.Clone(v.pending)
	for i := range pending[:min(len(pending), MaxRecords)] {
		pending[i].rounds--
	}
	return slices.DeleteFunc(pending, func(p pendingRecord) bool { return p.rounds <= 0 })
}

// record returns the record of a host for a message.
func (v View) record(name string, withIdentity bool) (Record, bool) {
	r, hasIdentity := v.members[name].Record, v.members[name].hasIdentity
	if name == v.self.Name {
		r, hasIdentity = v.self, true
	}
	if !withIdentity || !hasIdentity {
		r.Identity = Identity{}
	}
	return r, r.Name != ""
}

// answer sends a part of this view to a sender whose view differs: first the
// record that the sender has to refute, if any, then the next members in turn.
// It answers each sender about once per heartbeat at most.
func (v View) answer(m Message, now time.Time) (View, []Outgoing) {
	sender := m.Sender.Name
	known := v.members[sender].Record
	same := m.Digest == v.viewDigest()
	if m.Answer || same || v.identityOf(sender).Peers == "" || now.Sub(v.lastAnswered[sender]) < HeartbeatInterval/2 {
		return v, nil
	}
	v.lastAnswered = maps.Clone(v.lastAnswered)
	maps.DeleteFunc(v.lastAnswered, func(_ string, at time.Time) bool { return now.Sub(at) > HeartbeatInterval })
	v.lastAnswered[sender] = now
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
	return v, []Outgoing{v.messageTo(sender, Message{Answer: true, Records: records})}
}

// hash returns a member's part of the digest. Failed hosts count as 0, since
// views remove them at different times.
func (m member) hash() uint64 {
	if m.Name == "" || m.State == Failed {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(m.Name)
	var number [10]byte
	binary.LittleEndian.PutUint64(number[:], uint64(m.Incarnation))
	number[8] = byte(m.State)
	if m.hasIdentity {
		number[9] = 1
	}
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// viewDigest returns the digest of the whole view, this host included.
func (v View) viewDigest() uint64 {
	return v.digest ^ member{Record: v.self, hasIdentity: true}.hash()
}

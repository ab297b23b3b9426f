package document

// Page is the result of one read of the configuration stream.
type Page struct {
	Records []Record
	// First is the oldest offset that the log still stores.
	First int64
	// Next is the offset of the next append.
	Next int64
}

// Replica is a reader's copy of the configuration. It is immutable. Its
// position never decreases.
type Replica struct {
	State

	// Pending holds the records after a gap, ordered by offset. They are folded
	// once a snapshot closes the gap.
	Pending []Record
	// pendingFirst is the offset from which Pending is complete.
	pendingFirst int64
}

// NewReplica returns an empty replica.
func NewReplica() Replica { return Replica{State: New()} }

// NextOffset returns the offset to read from.
func (r Replica) NextOffset() int64 {
	if n := len(r.Pending); n > 0 {
		return r.Pending[n-1].Offset + 1
	}
	return r.Position() + 1
}

// Gap reports whether the log dropped records that this replica needs.
func (r Replica) Gap(p Page) bool { return r.Position()+1 < p.First }

// CaughtUp reports whether the replica had folded the whole log at the time of
// the read.
func (r Replica) CaughtUp(p Page) bool {
	return r.Halt == "" && r.Position()+1 == p.Next
}

// Reset reports whether the log has fewer records than were read from it, which
// never happens to an append-only log.
func (r Replica) Reset(p Page) bool { return r.Position()+1 > p.Next }

// Read returns the replica with the records of one read from NextOffset.
func (r Replica) Read(p Page) Replica {
	if len(r.Pending) == 0 && !r.Gap(p) {
		return r.fold(p.Records)
	}
	return r.addPending(p).closeGap()
}

func (r Replica) fold(records []Record) Replica {
	for _, record := range records {
		r.State = r.Fold(record)
	}
	return r
}

// addPending adds records that can't be folded yet.
func (r Replica) addPending(p Page) Replica {
	if next := r.NextOffset(); len(r.Pending) == 0 || p.First > next {
		r.Pending, r.pendingFirst = nil, p.First
	}
	pending := r.Pending[:len(r.Pending):len(r.Pending)]
	for _, record := range p.Records {
		if record.Offset >= r.pendingFirst && (len(pending) == 0 || record.Offset > pending[len(pending)-1].Offset) {
			pending = append(pending, record)
		}
	}
	r.Pending = pending
	return r
}

// closeGap adopts the first usable snapshot among the pending records. A
// snapshot is usable if no record after those that it covers is missing. All
// usable snapshots lead to the same state.
func (r Replica) closeGap() Replica {
	for _, record := range r.Pending {
		e, ok := decodeEnvelope(record.Data)
		if !ok || e.Kind != SnapshotKind || e.Rules > CurrentRules {
			continue
		}
		n, err := decodeBody[Snapshot](e)
		if err != nil || n.Covers+1 < r.pendingFirst || n.Covers >= record.Offset {
			continue
		}
		if next, err := r.Adopt(n); err == nil && next.Position() > r.Position() {
			return next
		}
	}
	return r
}

// Adopt returns the replica with the state of a snapshot that is newer than its
// own. The checksum of a snapshot that is not newer is compared if the
// replica still has the checksum at that position; a difference sets Conflict.
// Adopt returns an error if the snapshot is damaged or needs newer rules.
func (r Replica) Adopt(n Snapshot) (Replica, error) {
	if n.Covers <= r.Position() {
		if checksum, ok := r.checksumAt(n.Covers); ok && checksum != n.Checksum {
			r.Conflict = "snapshot of " + n.Writer
		}
		return r, nil
	}
	s, err := n.State(r.State)
	if err != nil {
		return r, err
	}
	if n.Stamps == nil {
		s.Anchor = n.Covers + 1
	}
	s.Conflict = r.Conflict
	pending := r.Pending
	r.State, r.Pending = s, nil
	if len(pending) > 0 && r.pendingFirst <= r.Position()+1 {
		return r.fold(pending), nil
	}
	if len(pending) > 0 && pending[len(pending)-1].Offset > r.Position() {
		r.Pending = pending
	}
	return r, nil
}

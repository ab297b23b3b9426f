package document

// Page is one read of the configuration stream.
type Page struct {
	Records []Record
	// First is the oldest offset that the log still keeps.
	First int64
	// Next is the offset that the next append will get.
	Next int64
}

// Replica is one reader's copy of the configuration. It is immutable. Its
// position only grows.
type Replica struct {
	State

	// Pending holds records that follow a gap, in order of offset. They are
	// folded once a snapshot closes the gap.
	Pending []Record
	// pendingFirst is the offset from which Pending lacks nothing.
	pendingFirst int64
}

// NewReplica returns a reader that has read nothing.
func NewReplica() Replica { return Replica{State: New()} }

// NextOffset returns the offset to read from.
func (r Replica) NextOffset() int64 {
	if n := len(r.Pending); n > 0 {
		return r.Pending[n-1].Offset + 1
	}
	return r.Position() + 1
}

// Gap tells whether the log dropped records that this reader needs.
func (r Replica) Gap(p Page) bool { return r.Position()+1 < p.First }

// CaughtUp tells whether the reader had folded all of the log at the time of
// the read.
func (r Replica) CaughtUp(p Page) bool {
	return r.Halt == "" && r.Position()+1 == p.Next
}

// Reset tells whether the log has fewer records than were read from it, which
// an append-only log never does.
func (r Replica) Reset(p Page) bool { return r.Position()+1 > p.Next }

// Read returns the reader after one read from NextOffset.
func (r Replica) Read(p Page) Replica {
	if len(r.Pending) == 0 && !r.Gap(p) {
		return r.fold(p.Records)
	}
	return r.hold(p).closeGap()
}

func (r Replica) fold(records []Record) Replica {
	for _, record := range records {
		r.State = r.Fold(record)
	}
	return r
}

// hold adds records that can't be folded yet.
func (r Replica) hold(p Page) Replica {
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

// closeGap takes the state of a usable snapshot among the pending records.
// One is usable when no record after what it covers is missing; all of these
// give the same state.
func (r Replica) closeGap() Replica {
	for _, record := range r.Pending {
		e, ok := open(record.Data)
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

// Adopt returns the reader with the state of a snapshot, if that is newer
// than its own. An older one changes nothing; one at the same position is
// compared. The error tells that the snapshot can't be used.
func (r Replica) Adopt(n Snapshot) (Replica, error) {
	if n.Covers <= r.Position() {
		if sum, known := r.checksumAt(n.Covers); known && sum != n.Checksum {
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

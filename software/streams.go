package software

import (
	"maps"
	"slices"
	"time"
)

const (
	// batchWindow is the time in which a host's streams share a record.
	batchWindow = 2 * time.Second
	// batchSlots is the number of records of a host. They are reused in turn.
	batchSlots = 64
)

// Batch holds the streams that a host began within one window of time.
type Batch struct {
	Host string
	// Start is the start of the window.
	Start time.Time
	// Streams holds the IDs of the streams that each version began. It is empty
	// once all of them have ended.
	Streams map[string][]string
}

// Slot is the number of the host's record that holds the batch.
func (b Batch) Slot() int64 { return windowOf(b.Start) % batchSlots }

// MaxLifetime is the longest life of a stream for which the records of a host
// suffice.
const MaxLifetime = (batchSlots - 2) * batchWindow

// windowOf returns the number of the window that holds a time.
func windowOf(at time.Time) int64 { return at.UnixNano() / int64(batchWindow) }

// stream is a stream that this host began.
type stream struct {
	id, service, version string
	at                   time.Time
}

// Streams holds the versions that began the streams of this host, and those of
// others as far as they were recorded. It is not safe for concurrent use.
type Streams struct {
	host     string
	lifetime time.Duration
	// began maps the ID of a stream to the version that began it; byWindow lists
	// the IDs by window, for removal.
	began    map[string]string
	byWindow map[int64][]string
	// own holds this host's latest streams, the oldest first.
	own []stream
	// batches holds what this host records, by window; unwritten holds the windows
	// of those that changed since they were written.
	batches   map[int64]Batch
	unwritten map[int64]bool
	// ended holds recorded batches whose streams have all ended.
	ended []Batch
}

// NewStreams returns an empty set for a host.
func NewStreams(host string) *Streams {
	return &Streams{host: host, lifetime: MaxLifetime, began: map[string]string{}, byWindow: map[int64][]string{}, batches: map[int64]Batch{}, unwritten: map[int64]bool{}}
}

// SetLifetime sets the longest life of a stream, at most MaxLifetime.
func (s *Streams) SetLifetime(d time.Duration) { s.lifetime = min(d, MaxLifetime) }

// Began adds a stream of this host. It is to be recorded if record is set.
func (s *Streams) Began(id, service, version string, record bool, now time.Time) {
	if _, known := s.began[id]; known {
		return
	}
	s.expire(now)
	s.add(id, version, windowOf(now))
	b := stream{id, service, version, now}
	s.own = append(s.own, b)
	if record {
		s.record(b)
	}
}

// Record has all latest streams of a service recorded.
func (s *Streams) Record(service string, now time.Time) {
	s.expire(now)
	for _, b := range s.own {
		if b.service == service {
			s.record(b)
		}
	}
}

func (s *Streams) record(b stream) {
	window := windowOf(b.at)
	batch, ok := s.batches[window]
	if !ok {
		batch = Batch{Host: s.host, Start: time.Unix(0, window*int64(batchWindow)), Streams: map[string][]string{}}
		s.batches[window] = batch
	}
	if !slices.Contains(batch.Streams[b.version], b.id) {
		batch.Streams[b.version] = append(batch.Streams[b.version], b.id)
		s.unwritten[window] = true
	}
}

// Version returns the version that began a stream, if it is known.
func (s *Streams) Version(id string) (string, bool) {
	version, ok := s.began[id]
	return version, ok
}

// Merge adds recorded batches. Those of this host are from before its start, and
// are kept when their window is written again.
func (s *Streams) Merge(batches []Batch, now time.Time) {
	s.expire(now)
	for _, b := range batches {
		window := windowOf(b.Start)
		if s.expired(window, now) {
			if b.Host == s.host {
				s.ended = append(s.ended, Batch{Host: b.Host, Start: b.Start})
			}
			continue
		}
		for version, ids := range b.Streams {
			for _, id := range ids {
				if _, known := s.began[id]; !known {
					s.add(id, version, window)
				}
				if b.Host == s.host {
					s.keep(b, version, id)
				}
			}
		}
	}
}

// keep adds a stream of a recorded batch of this host to what it records.
func (s *Streams) keep(b Batch, version, id string) {
	window := windowOf(b.Start)
	before := s.unwritten[window]
	s.record(stream{id: id, version: version, at: b.Start})
	if !before {
		delete(s.unwritten, window)
	}
}

// NeedsWrite reports whether there are batches to write.
func (s *Streams) NeedsWrite(now time.Time) bool {
	s.expire(now)
	return len(s.unwritten) > 0 || len(s.batches) == 0 && len(s.ended) > 0
}

// Unwritten returns the batches to write, and treats them as written. Records of
// ended batches are removed together with other writes, or with the last of them.
func (s *Streams) Unwritten(now time.Time) []Batch {
	s.expire(now)
	var batches []Batch
	if len(s.unwritten) > 0 || len(s.batches) == 0 {
		batches, s.ended = s.ended, nil
	}
	for _, window := range slices.Sorted(maps.Keys(s.unwritten)) {
		b := s.batches[window]
		streams := make(map[string][]string, len(b.Streams))
		for version, ids := range b.Streams {
			streams[version] = slices.Clone(ids)
		}
		batches = append(batches, Batch{b.Host, b.Start, streams})
	}
	clear(s.unwritten)
	return batches
}

// Rewrite has batches written that could not be.
func (s *Streams) Rewrite(batches []Batch) {
	for _, b := range batches {
		if len(b.Streams) == 0 {
			s.ended = append(s.ended, b)
		} else if _, ok := s.batches[windowOf(b.Start)]; ok {
			s.unwritten[windowOf(b.Start)] = true
		}
	}
}

// RewriteAll has all batches written that the store may have lost.
func (s *Streams) RewriteAll() {
	for window := range s.batches {
		s.unwritten[window] = true
	}
}

func (s *Streams) add(id, version string, window int64) {
	s.began[id] = version
	s.byWindow[window] = append(s.byWindow[window], id)
}

// expired reports whether all streams of a window have ended.
func (s *Streams) expired(window int64, now time.Time) bool {
	return window < windowOf(now.Add(-s.lifetime))-1
}

// expire removes streams that have ended.
func (s *Streams) expire(now time.Time) {
	for window, ids := range s.byWindow {
		if !s.expired(window, now) {
			continue
		}
		for _, id := range ids {
			delete(s.began, id)
		}
		delete(s.byWindow, window)
		if b, recorded := s.batches[window]; recorded {
			s.ended = append(s.ended, Batch{Host: b.Host, Start: b.Start})
		}
		delete(s.batches, window)
		delete(s.unwritten, window)
	}
	ended := 0
	for ended < len(s.own) && s.expired(windowOf(s.own[ended].at), now) {
		ended++
	}
	s.own = s.own[ended:]
}

package crash

import (
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// soundCapacity bounds the requests that are remembered as answered: some
// 100 bytes each.
const soundCapacity = 2048

// soundRequests remembers requests that were answered lately, which tells an
// outage that takes a popular request with it from a request that ends
// engines.
type soundRequests struct {
	// mu guards the fields below.
	mu sync.Mutex
	// answered tells when each was last answered, order which was added first.
	answered map[quarantine.Fingerprint]time.Time
	order    []quarantine.Fingerprint
	oldest   int
}

func (s *soundRequests) add(f quarantine.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered == nil {
		s.answered = map[quarantine.Fingerprint]time.Time{}
	}
	_, known := s.answered[f]
	s.answered[f] = now
	switch {
	case known:
	case len(s.order) < soundCapacity:
		s.order = append(s.order, f)
	default:
		delete(s.answered, s.order[s.oldest])
		s.order[s.oldest] = f
		s.oldest = (s.oldest + 1) % soundCapacity
	}
}

// has tells whether a request was answered within the lifetime of a record.
func (s *soundRequests) has(f quarantine.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.answered[f]
	return known && now.Sub(at) < quarantine.Lifetime
}

// since tells whether a request was answered after a time.
func (s *soundRequests) since(f quarantine.Fingerprint, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered, known := s.answered[f]
	return known && answered.After(at)
}

package crash

import (
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// knownGoodCapacity bounds the remembered requests or parts, which take some 100
// bytes each.
const knownGoodCapacity = 2048

// knownGood remembers recently answered requests or parts. They distinguish an
// outage that hits something popular from something that crashes engines.
type knownGood struct {
	// mu guards the fields below.
	mu sync.Mutex
	// answered maps requests to the time of their last answer.
	answered map[quarantine.Fingerprint]time.Time
	// order is a ring buffer of the requests as they were added; oldest is the
	// index of the first.
	order  []quarantine.Fingerprint
	oldest int
}

func (k *knownGood) add(f quarantine.Fingerprint, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.answered == nil {
		k.answered = map[quarantine.Fingerprint]time.Time{}
	}
	_, known := k.answered[f]
	k.answered[f] = now
	switch {
	case known:
	case len(k.order) < knownGoodCapacity:
		k.order = append(k.order, f)
	default:
		delete(k.answered, k.order[k.oldest])
		k.order[k.oldest] = f
		k.oldest = (k.oldest + 1) % knownGoodCapacity
	}
}

// answeredRecently reports whether a request was answered within the lifetime
// of a record.
func (k *knownGood) answeredRecently(f quarantine.Fingerprint, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, known := k.answered[f]
	return known && now.Sub(at) < quarantine.Lifetime
}

// answeredAfter reports whether a request was answered after a time.
func (k *knownGood) answeredAfter(f quarantine.Fingerprint, at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	answered, known := k.answered[f]
	return known && answered.After(at)
}

package availability

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// brittleLifetime is how long an upstream counts as brittle without another answer.
const brittleLifetime = 10 * time.Second

// WithBrittle returns the status after an answer that says that the upstream falls
// over when it has to reject more than a few requests a second for want of room.
func (s Status) WithBrittle(now clock.Instant) Status {
	s.brittleAt = now
	return s
}

// WithoutBrittle returns the status after an answer that no longer says so.
func (s Status) WithoutBrittle() Status {
	s.brittleAt = 0
	return s
}

// Brittle reports whether the upstream falls over when it rejects a few requests.
func (s Status) Brittle(now clock.Instant) bool {
	return s.brittleAt != 0 && now.Sub(s.brittleAt) < brittleLifetime
}

// HasRoom reports whether a brittle upstream certainly has room for another request,
// so that none waits there: of this host, which has a number of requests there, and
// of all hosts, which have a total. While more than half of its slots are taken, each
// host keeps to its share, since reports of other hosts' requests are old.
func HasRoom(slots, own, total, hosts int) bool {
	share := max(1, slots/max(1, hosts))
	return total < slots && (2*total < slots || own < share)
}

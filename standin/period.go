package standin

import (
	"slices"
	"time"
)

// PlatformPeriod is a time in which a process worked, or was stopped; Until is zero while
// it lasts.
type PlatformPeriod struct{ From, Until time.Time }

// String describes the period.
func (p PlatformPeriod) String() string {
	const form = "15:04:05.000"
	if p.Until.IsZero() {
		return p.From.Format(form) + "-"
	}
	return p.From.Format(form) + "-" + p.Until.Format(form)
}

// Outside returns the parts of the period that lie in none of some others, in order.
func (p PlatformPeriod) Outside(others []PlatformPeriod) []PlatformPeriod {
	others = slices.SortedFunc(slices.Values(others), func(a, b PlatformPeriod) int { return a.From.Compare(b.From) })
	var parts []PlatformPeriod
	for _, o := range others {
		if !o.From.Before(p.Until) {
			break
		}
		if o.From.After(p.From) {
			parts = append(parts, PlatformPeriod{p.From, o.From})
		}
		if o.Until.IsZero() {
			return parts
		}
		if o.Until.After(p.From) {
			p.From = o.Until
		}
	}
	if p.Until.After(p.From) {
		parts = append(parts, p)
	}
	return parts
}

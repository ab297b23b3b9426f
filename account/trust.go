package account

import (
	"maps"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// failurePause is how long a coordinator isn't asked after it failed.
	failurePause = 3 * time.Second
	// maxFailed is the number of coordinators that may fail at a time; a host that finds
	// more of them unreachable is likely to be cut off, and keeps its part itself.
	maxFailed = 2
	// delegationFactor is how many times the interval between two renewals a delegation
	// holds.
	delegationFactor = 2
	// moveDelay is how long another coordinator must rank first until a host moves its
	// part there.
	moveDelay = time.Second
)

// Trust is a host's view of the coordinator to which it delegates its part of some
// accounts' limits. The zero value delegates to nobody. It is immutable.
type Trust struct {
	// holder may use the part until an instant.
	holder string
	until  clock.Instant
	// stamp is the last one that stamper sent, received at an instant.
	stamp    Stamp
	stamper  string
	received clock.Instant
	// failed holds until when coordinators are not asked.
	failed map[string]clock.Instant
	// preferred ranks before the holder since an instant; "" if none does.
	preferred string
	since     clock.Instant
}

// Coordinator returns the host to ask, given all of them by rank. Self is this host,
// which can always be asked. A holder that answers is asked until its delegation ends: no
// other coordinator may have the part before.
func (t Trust) Coordinator(ranked []string, self string, now clock.Instant) (Trust, string) {
	first := t.first(ranked, self, now)
	if first == t.holder || !now.Before(t.until) || now.Before(t.failed[t.holder]) {
		t.preferred = ""
		return t, first
	}
	if t.preferred != first {
		t.preferred, t.since = first, now
	}
	return t, t.holder
}

// moves reports whether the part is to be moved, so that the delegation to its holder is
// not renewed.
func (t Trust) moves(now clock.Instant) bool {
	return t.preferred != "" && now.Sub(t.since) >= moveDelay
}

// first returns the first host by rank that has not failed lately.
func (t Trust) first(ranked []string, self string, now clock.Instant) string {
	failed := 0
	for _, name := range ranked {
		switch {
		case name == self:
			return self
		case !now.Before(t.failed[name]):
			return name
		}
		if failed++; failed == maxFailed {
			break
		}
	}
	return self
}

// Delegate returns the delegation to send to a coordinator. Its share is 0 while another
// coordinator may still use the part, or before this one has sent a stamp.
func (t Trust) Delegate(coordinator string, share float64, interval time.Duration, now clock.Instant) (Trust, Delegation) {
	if t.holder == coordinator && t.moves(now) {
		return t, Delegation{}
	}
	d := Delegation{TTL: delegationFactor * interval}
	if t.stamper == coordinator {
		d.Stamp = t.stamp
	}
	end := t.received.Add(d.TTL)
	if share <= 0 || t.stamper != coordinator || !now.Before(end) || t.holder != coordinator && now.Before(t.until) {
		return t, d
	}
	if t.holder == coordinator {
		end = max(end, t.until)
	}
	d.Share, t.holder, t.until = share, coordinator, end
	return t, d
}

// NeedsDelegation reports whether a coordinator that was asked does not hold the part,
// though it may.
func (t Trust) NeedsDelegation(coordinator string, now clock.Instant) bool {
	return t.stamper == coordinator && (t.holder != coordinator && !now.Before(t.until))
}

// Answered records the stamp of a coordinator's answer.
func (t Trust) Answered(coordinator string, stamp Stamp, now clock.Instant) Trust {
	t.stamper, t.stamp, t.received = coordinator, stamp, now
	t.failed = maps.Clone(t.failed)
	delete(t.failed, coordinator)
	return t
}

// Failed records that a coordinator did not answer. If it is gone, it uses nothing any
// more: nothing listens at its address, or it said so.
func (t Trust) Failed(coordinator string, gone bool, now clock.Instant) Trust {
	t.failed = maps.Clone(t.failed)
	if t.failed == nil {
		t.failed = map[string]clock.Instant{}
	}
	maps.DeleteFunc(t.failed, func(_ string, until clock.Instant) bool { return !now.Before(until) })
	t.failed[coordinator] = now.Add(failurePause)
	if gone && t.holder == coordinator {
		t.holder, t.until = "", 0
	}
	return t
}

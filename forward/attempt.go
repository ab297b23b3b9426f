package forward

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/isolation"
	"github.com/kumquathoist/kumquathoist/retry"
)

// target is the upstream of one attempt.
type target struct {
	id, address string
	// software is the version of the upstream's software.
	software string
	send     call.UpstreamRequest
	// prefill is the number of prompt tokens that it must read, rank the rank
	// of the request there.
	prefill, rank int
	// wait is the expected time to the first event without correction, 0 if unknown.
	wait time.Duration
	// relay is set if the target is another host, which chooses the upstream.
	relay bool
	// group is the group of accounts whose parts the request may use there.
	group isolation.Group
}

// attempt is one attempt in progress.
type attempt struct {
	target

	exchange *http1.Exchange
	cancel   context.CancelFunc
	// release, if set, frees what else the attempt holds.
	release context.CancelFunc
	started clock.Instant
	// incarnation identifies this run of the upstream's process, if known.
	incarnation string
	// fate is committed or abandoned, whichever came first, or undecided.
	fate atomic.Int32
	// answering is set once the upstream has started to answer, events counts
	// the events that it has sent.
	answering bool
	events    int
	// counted is set once the attempt counts as one that may have run.
	counted bool
	// wasSilent is set if the upstream left the check unanswered when another was last
	// searched for.
	wasSilent bool
	// moving is set once the upstream was asked to stop the request and to move it.
	moving atomic.Bool
	// ended is set once the attempt has ended.
	ended atomic.Bool
	// place is what the request's progress was told.
	place *call.Place
}

// The fate of an attempt.
const (
	undecided int32 = iota
	// committed means that its answer is relayed.
	committed
	// abandoned means that this host cancels it, because of its timeout or of its old
	// weights.
	abandoned
)

// commit decides that the attempt's answer is relayed. It returns false if the attempt was
// abandoned.
func (a *attempt) commit() bool { return a.fate.CompareAndSwap(undecided, committed) }

// abandon cancels the attempt, unless its answer is relayed.
func (a *attempt) abandon() bool {
	if !a.fate.CompareAndSwap(undecided, abandoned) {
		return false
	}
	a.cancel()
	return true
}

// wasAbandoned reports whether this host cancelled the attempt.
func (a *attempt) wasAbandoned() bool { return a.fate.Load() == abandoned }

// errAbandoned is returned for an answer that began when its attempt had been abandoned.
var errAbandoned = errors.New("the answer began when the attempt had been abandoned")

// lostEarly reports whether the upstream closed the connection after no more
// than its early events, unless this host asked it to.
func (a *attempt) lostEarly(o retry.Outcome, err error) bool {
	return !a.moving.Load() && o == retry.Broken && http1.ClosedByUpstream(err) && a.events <= maxEarlyEvents
}

// outcome returns the outcome of an attempt that failed after it was sent.
func (a *attempt) outcome(err error) retry.Outcome {
	if a.wasAbandoned() || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return retry.Late
	}
	return retry.Broken
}

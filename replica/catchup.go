package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// catchUpTimeout limits how long CatchUp waits, catchUpPoll is the time between two
	// looks.
	catchUpTimeout = 1200 * time.Millisecond
	catchUpPoll    = 10 * time.Millisecond
	// spreadTime is how long it takes until what one host knows has come to all that it
	// reaches.
	spreadTime = 600 * time.Millisecond
	// checkTimeout limits the reads of the store for CatchUp.
	checkTimeout = 400 * time.Millisecond
	// checkInterval is the least time between two of these checks, each of which reads
	// every topic once. checkIntervalPerHost times the number of hosts is the same for
	// large systems, so that all hosts together start at most 333 a second.
	checkInterval        = 50 * time.Millisecond
	checkIntervalPerHost = 3 * time.Millisecond
)

// catchUpTopics are the topics that tell which software versions serve or have served.
var catchUpTopics = [...]Topic{Upstreams, Software}

// catchUp is what a Syncer knows of how current its catchUpTopics are.
type catchUp struct {
	// agreedAt is when another host was last asked that had the same records of all
	// topics, failedAt when the store was last asked in vain.
	agreedAt, failedAt atomic.Int64
	// failing means that the last check of a topic failed.
	failing [topicCount]atomic.Bool
	// trigger starts a check.
	trigger chan struct{}
}

// CatchUp waits until this host has all upstreams' entries and records of software
// versions that any host can have used before an instant, and reports whether it has
// them. If the store answers nobody, it is enough that the hosts agree.
func (s *Syncer) CatchUp(ctx context.Context, at clock.Instant) bool {
	giveUp := clock.Now().Add(catchUpTimeout)
	for !s.caughtUp(at) {
		cutOff := clock.Instant(s.catchUp.failedAt.Load()) >= at.Add(-checkTimeout) && !s.isConnected()
		if ctx.Err() != nil || cutOff || !clock.Now().Before(giveUp) {
			return false
		}
		select {
		case s.catchUp.trigger <- struct{}{}:
		default:
		}
		clock.Pause(ctx, catchUpPoll)
	}
	return true
}

func (s *Syncer) caughtUp(at clock.Instant) bool {
	agreedAt := clock.Instant(s.catchUp.agreedAt.Load())
	agreed := agreedAt >= at
	if clock.Instant(s.confirmedAt[Upstreams].Load()) >= at {
		return agreed || clock.Instant(s.confirmedAt[Software].Load()) >= at
	}
	// Without news for that long, or asked that much later, the other host has heard
	// what any other one knows.
	spread := s.staleness(Upstreams) >= spreadTime || agreedAt >= at.Add(spreadTime)
	return agreed && spread && clock.Instant(s.catchUp.failedAt.Load()) >= at && s.isConnected()
}

// isConnected reports whether this host hears most of the others.
func (s *Syncer) isConnected() bool { return s.Connected == nil || s.Connected() }

// check reads the store when CatchUp asks for it, until the context ends.
func (s *Syncer) check(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.catchUp.trigger:
		}
		requested := clock.Now()
		var reads sync.WaitGroup
		for _, t := range catchUpTopics {
			reads.Go(func() { s.checkTopic(ctx, t, requested) })
		}
		reads.Wait()
		interval := checkInterval
		if s.Hosts != nil {
			interval = max(interval, time.Duration(s.Hosts())*checkIntervalPerHost)
		}
		clock.Pause(ctx, interval-clock.Now().Sub(requested))
	}
}

// checkTopic reads what a topic has beyond the replica, without waiting for more.
func (s *Syncer) checkTopic(ctx context.Context, t Topic, requested clock.Instant) {
	state := s.State()
	if !state.Listed(t) {
		return // it is being listed
	}
	call, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	d, err := s.Store.Read(call, t, state.Position(t), 0)
	switch {
	case ctx.Err() != nil: // this host ends
	case errors.Is(err, ErrTrimmed), errors.Is(err, ErrRestored):
		s.listAnew(t, err)
	case err != nil:
		if !s.catchUp.failing[t].Swap(true) {
			event.StoreUnreachable.Error(err, "Topic", t, "WaitedMillis", clock.Now().Sub(requested).Milliseconds())
		}
		advance(&s.catchUp.failedAt, requested)
	default:
		if s.catchUp.failing[t].Swap(false) {
			event.StoreReachable.Info("Topic", t, "Position", d.Position, "AwayForAll", !s.Fresh())
		}
		s.merge(d, "Store", readPauses[t])
		s.confirm(t, requested)
	}
}

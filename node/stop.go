package node

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// leavePropagation is how long a host's departure takes to reach the
	// address answers of the other hosts.
	leavePropagation = time.Second
	// finalEventTimeout bounds the wait for streams to send their last event.
	finalEventTimeout = 3 * time.Second
	// openPollInterval is the interval at which the number of unanswered requests
	// is checked.
	openPollInterval = 10 * time.Millisecond
	// maxCutLines bounds the log lines on requests that end with the process.
	maxCutLines = 200
)

// stopper ends the requests that are still in flight at the end of a planned
// stop.
type stopper interface {
	// Stop ends each request in flight with an explicit failure.
	Stop()
}

// finish carries out a planned stop: it removes the host from the address
// answers, serves until callers have dropped every cached answer that lists the
// host, waits for the answers to its requests, and ends the remaining ones with an event that
// says how to resume at another host.
func (n *Node) finish(ctx context.Context) {
	defer n.cancel()
	defer close(n.stopped)
	select {
	case <-ctx.Done():
		return
	case <-n.stop:
	}
	began := clock.Now()
	event.Stopping.Info("Host", n.settings.Host.Name, "Open", n.gateway.OpenRequests())
	n.gateway.MarkStopping()
	n.directory.Leave()
	clock.Pause(ctx, n.settings.Stop.AddressTTL()+leavePropagation)
	n.awaitAnswers(ctx, n.settings.Stop.StreamTimeout())
	handedOver := n.gateway.OpenRequests()
	n.runner.Stop()
	n.awaitAnswers(ctx, finalEventTimeout)
	event.Stopped.Info("Host", n.settings.Host.Name, "HandedOver", handedOver, "Cut", n.recordCut(clock.Now().Sub(began)))
}

// recordCut logs the requests that are still open a time after the stop began, and returns
// their number.
func (n *Node) recordCut(sinceStop time.Duration) int {
	unanswered := n.gateway.Unanswered()
	for _, u := range unanswered[:min(len(unanswered), maxCutLines)] {
		event.RequestCut.Info("Request", u.Request, "Caller", u.Caller, "State", u.State,
			"Millis", u.Age.Milliseconds(), "ArrivedMillis", (sinceStop - u.Age).Milliseconds())
	}
	return len(unanswered)
}

// awaitAnswers blocks until all requests are answered, including those that are still
// arriving, or the timeout is over.
func (n *Node) awaitAnswers(ctx context.Context, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for n.gateway.CountUnanswered() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		clock.Pause(ctx, openPollInterval)
	}
}

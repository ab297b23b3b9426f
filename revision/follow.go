package revision

import (
	"context"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// readWait is how long one read of the log waits for a record.
	readWait = 5 * time.Second
	// readTimeout bounds a read of the log beyond its wait.
	readTimeout = 2 * time.Second
	// retryInterval is the mean pause after a failed read.
	retryInterval = 500 * time.Millisecond
	// startGrace is how long a starting host waits to know another one, and
	// startPause the time between two looks.
	startGrace = 500 * time.Millisecond
	startPause = 10 * time.Millisecond
	// partBytes is how much of the log is folded in one step.
	partBytes = 64 << 10
)

// greet asks peers before the first read of the log: what the log keeps may
// take long to fold, and a peer has done so.
func (k *Keeper) greet(ctx context.Context) {
	defer close(k.greeted)
	deadline := time.Now().Add(startGrace)
	for len(k.pick(1)) == 0 && ctx.Err() == nil {
		if time.Now().After(deadline) {
			return
		}
		pause(ctx, startPause)
	}
	k.askMany(ctx)
	if k.State().Position() < 0 {
		// Hosts that started together don't read the log together.
		pause(ctx, jitter(startInterval))
	}
}

// follow reads the log until the context ends.
func (k *Keeper) follow(ctx context.Context) {
	k.greet(ctx)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		err := k.read(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		k.noteLog(err)
		if err == nil {
			wait = readWait
			continue
		}
		pause(ctx, jitter(retryInterval))
	}
}

// noteLog remembers and logs whether the log answers.
func (k *Keeper) noteLog(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil && !k.logDown:
		event.LogUnreachable.Error(err, "Stream", registry.ConfigurationStream)
	case err == nil && k.logDown:
		event.LogReachable.Info("Stream", registry.ConfigurationStream)
	}
	k.logTried, k.logDown = true, err != nil
	k.settle()
}

// settle makes the host ready if the log was tried, can't serve it, and peers
// gave a configuration. A host that has seen that the log has more records
// than it or its peers could read waits. The caller holds mu.
func (k *Keeper) settle() {
	lost := k.gap || k.reset
	behind := k.replica.Position()+1 < k.page.Next
	if !k.told || !k.logTried || k.replica.Position() < 0 || k.replica.Halt != "" {
		return
	}
	if lost || k.logDown && !behind {
		k.ready.Store(true)
	}
}

// read folds what one read of the log gives.
func (k *Keeper) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	k.mu.Lock()
	from := k.replica.NextOffset()
	k.mu.Unlock()
	page, err := k.Log.Read(ctx, registry.ConfigurationStream, from, wait)
	if err != nil {
		k.Metrics.Counter("configuration_reads_failed").Inc(1)
		return trace.Wrap(err)
	}
	records := make([]document.Record, len(page.Records))
	for i, r := range page.Records {
		records[i] = document.Record(r)
	}
	for part := range parts(records) {
		k.update(func(r document.Replica) document.Replica {
			return r.Read(document.Page{Records: part, First: page.First, Next: page.Next})
		})
	}
	k.take(page, document.Page{First: page.First, Next: page.Next})
	return nil
}

// parts splits records, so that no step of folding holds others up for long.
func parts(records []document.Record) iter.Seq[[]document.Record] {
	return func(yield func([]document.Record) bool) {
		begin, bytes := 0, 0
		for i, r := range records {
			if bytes += len(r.Data); bytes < partBytes && i+1 < len(records) {
				continue
			}
			if !yield(records[begin : i+1]) {
				return
			}
			begin, bytes = i+1, 0
		}
	}
}

// take takes what a page tells beside its records.
func (k *Keeper) take(raw registry.Page, page document.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	raw.Records = nil
	k.page, k.pageAt = raw, time.Now()
	gap, reset := k.replica.Gap(page), k.replica.Reset(page)
	if gap && !k.gap {
		event.LogTrimmed.Info("Position", k.replica.Position(), "First", page.First)
	}
	if reset && !k.reset {
		event.LogReset.Info("Position", k.replica.Position(), "Next", page.Next)
	}
	k.gap, k.reset = gap, reset
	if !k.replica.CaughtUp(page) {
		return
	}
	k.current = time.Now()
	if k.replica.Position() >= 0 {
		k.ready.Store(true)
	}
}

// jitter returns a random duration around a mean, so that hosts that started
// together don't act together.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// pause waits for a duration or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/platform"
)

const (
	// readWait is how long one read of the log waits for a record.
	readWait = 5 * time.Second
	// readTimeout bounds a read of the log beyond its wait.
	readTimeout = 2 * time.Second
	// retryInterval is the mean pause after a failed read.
	retryInterval = 500 * time.Millisecond
)

// follow reads the log until the context ends.
func (k *Keeper) follow(ctx context.Context) {
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
		event.LogUnreachable.Error(err, "Stream", platform.ConfigurationStream)
	case err == nil && k.logDown:
		event.LogReachable.Info("Stream", platform.ConfigurationStream)
	}
	k.logTried, k.logDown = true, err != nil
}

// read folds what one read of the log gives.
func (k *Keeper) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	k.mu.Lock()
	from := k.replica.NextOffset()
	k.mu.Unlock()
	page, err := k.Log.Read(ctx, platform.ConfigurationStream, from, wait)
	if err != nil {
		k.Metrics.Counter("configuration_reads_failed").Inc(1)
		return trace.Wrap(err)
	}
	records := make([]document.Record, len(page.Records))
	for i, r := range page.Records {
		records[i] = document.Record(r)
	}
	k.take(page, document.Page{Records: records, First: page.First, Next: page.Next})
	return nil
}

// take applies one page of the log.
func (k *Keeper) take(raw platform.Page, page document.Page) {
	k.update(func(r document.Replica) document.Replica { return r.Read(page) })
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

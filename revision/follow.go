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
	// readWait is how long a read of the log waits for a record.
	readWait = 5 * time.Second
	// readTimeout limits a read of the log, in addition to its wait.
	readTimeout = 2 * time.Second
	// retryInterval is the mean delay after a failed read.
	retryInterval = 500 * time.Millisecond
	// peerDiscoveryTimeout is how long a starting host waits until it knows a
	// peer; it checks every peerDiscoveryInterval.
	peerDiscoveryTimeout  = 500 * time.Millisecond
	peerDiscoveryInterval = 10 * time.Millisecond
	// batchBytes is the size of the records folded in one batch.
	batchBytes = 64 << 10
)

// fetchInitial fetches from peers before the first read of the log: folding the
// whole log may take long, and a peer has already done it.
func (s *Syncer) fetchInitial(ctx context.Context) {
	defer close(s.initialFetchDone)
	deadline := time.Now().Add(peerDiscoveryTimeout)
	for len(s.pickPeers(1)) == 0 && ctx.Err() == nil {
		if time.Now().After(deadline) {
			return
		}
		sleep(ctx, peerDiscoveryInterval)
	}
	s.fetchFromPeers(ctx)
	if s.State().Position() < 0 {
		// Keeps hosts that started together from reading the log together.
		sleep(ctx, jitter(startupFetchInterval))
	}
}

// followLog reads the log until the context ends.
func (s *Syncer) followLog(ctx context.Context) {
	s.fetchInitial(ctx)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		err := s.readLog(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		s.recordLogStatus(err)
		if err == nil {
			wait = readWait
			continue
		}
		sleep(ctx, jitter(retryInterval))
	}
}

// recordLogStatus records whether the last read of the log succeeded, and logs
// changes.
func (s *Syncer) recordLogStatus(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil && !s.logDown:
		event.LogUnreachable.Error(err, "Stream", registry.ConfigurationStream)
	case err == nil && s.logDown:
		event.LogReachable.Info("Stream", registry.ConfigurationStream)
	}
	s.logTried, s.logDown = true, err != nil
	s.updateReady()
}

// updateReady makes the host ready with the state of its peers if it has tried
// the log and can't use it. A host stays unready if it knows that the log has
// more records than it and its peers have read, unless the log lost records
// that the host needs. The caller holds mu.
func (s *Syncer) updateReady() {
	recordsLost := s.logGap || s.logReset
	behind := s.replica.Position()+1 < s.lastPage.Next
	if !s.peersAnswered || !s.logTried || s.replica.Position() < 0 || s.replica.Halt != "" {
		return
	}
	if recordsLost || s.logDown && !behind {
		s.ready.Store(true)
	}
}

// readLog reads the log once and folds the records.
func (s *Syncer) readLog(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	s.mu.Lock()
	from := s.replica.NextOffset()
	s.mu.Unlock()
	page, err := s.Log.Read(ctx, registry.ConfigurationStream, from, wait)
	if err != nil {
		s.Metrics.Counter("configuration_reads_failed").Inc(1)
		return trace.Wrap(err)
	}
	records := make([]document.Record, len(page.Records))
	for i, r := range page.Records {
		records[i] = document.Record(r)
	}
	for batch := range batches(records) {
		s.update(func(r document.Replica) document.Replica {
			return r.Read(document.Page{Records: batch, First: page.First, Next: page.Next})
		})
	}
	s.recordPage(page, document.Page{First: page.First, Next: page.Next})
	return nil
}

// batches splits records into batches, so that folding does not hold the lock
// for long.
func batches(records []document.Record) iter.Seq[[]document.Record] {
	return func(yield func([]document.Record) bool) {
		begin, bytes := 0, 0
		for i, r := range records {
			if bytes += len(r.Data); bytes < batchBytes && i+1 < len(records) {
				continue
			}
			if !yield(records[begin : i+1]) {
				return
			}
			begin, bytes = i+1, 0
		}
	}
}

// recordPage updates the status of the log from a page, apart from its records.
func (s *Syncer) recordPage(raw registry.Page, page document.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw.Records = nil
	s.lastPage, s.lastPageAt = raw, time.Now()
	gap, reset := s.replica.Gap(page), s.replica.Reset(page)
	if gap && !s.logGap {
		event.LogTrimmed.Info("Position", s.replica.Position(), "First", page.First)
	}
	if reset && !s.logReset {
		event.LogReset.Info("Position", s.replica.Position(), "Next", page.Next)
	}
	s.logGap, s.logReset = gap, reset
	if !s.replica.CaughtUp(page) {
		return
	}
	s.currentAt = time.Now()
	if s.replica.Position() >= 0 {
		s.ready.Store(true)
	}
}

// jitter returns a random duration between 0.5 and 1.5 times the mean, so that
// hosts that started together don't act at the same time.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Package revision keeps the configuration document in force on this host:
// it follows the log's configuration stream and publishes edits.
package revision

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/platform"
)

const (
	// readWait is how long one read of the log waits for a record.
	readWait = 20 * time.Second
	// retryInterval is the pause after a failed read.
	retryInterval = 500 * time.Millisecond
)

// stream is the log service as this package uses it.
type stream interface {
	Append(ctx context.Context, stream string, data []byte) (platform.Appended, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (platform.Page, error)
}

// Keeper holds the configuration in force. Its state only moves forward.
type Keeper struct {
	log   stream
	state atomic.Pointer[document.State]
	// mu guards changed, which closes with the next change of state.
	mu      sync.Mutex
	changed chan struct{}
}

// New follows the configuration stream until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, log stream) *Keeper {
	k := &Keeper{log: log, changed: make(chan struct{})}
	initial := document.New()
	k.state.Store(&initial)
	wait.Go(func() { k.follow(ctx) })
	return k
}

// State returns the configuration in force.
func (k *Keeper) State() document.State { return *k.state.Load() }

// Ready tells whether any record was folded.
func (k *Keeper) Ready() bool { return k.State().Document.Position >= 0 }

// follow reads the log until the context ends.
func (k *Keeper) follow(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.read(ctx, readWait)
		if err == nil || ctx.Err() != nil {
			continue
		}
		event.LogUnreachable.Error(err, "Stream", platform.ConfigurationStream)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// read folds what one read of the log gives.
func (k *Keeper) read(ctx context.Context, wait time.Duration) error {
	page, err := k.log.Read(ctx, platform.ConfigurationStream, k.State().Document.Position+1, wait)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, r := range page.Records {
		k.fold(document.Record{Offset: r.Offset, AppendedMillis: r.AppendedMillis, Data: r.Data})
	}
	return nil
}

// fold applies one record and wakes those who wait for it.
func (k *Keeper) fold(r document.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.State().Fold(r)
	k.state.Store(&next)
	close(k.changed)
	k.changed = make(chan struct{})
	event.RevisionInForce.Info("Position", next.Document.Position)
}

// Publish appends an edit and returns its verdict once it was read back. An
// error of kind trace.ConnectionProblem leaves the verdict unknown; it can be
// asked for by the edit's ID.
func (k *Keeper) Publish(ctx context.Context, e document.Edit) (document.Verdict, error) {
	raw, err := document.EncodeEdit(e)
	if err != nil {
		return document.Verdict{}, trace.Wrap(err)
	}
	if _, err := k.log.Append(ctx, platform.ConfigurationStream, raw); err != nil {
		return document.Verdict{}, trace.Wrap(err, "the outcome of edit %s is unknown", e.ID)
	}
	return k.await(ctx, e.ID)
}

// await waits until the edit's record was folded.
func (k *Keeper) await(ctx context.Context, id string) (document.Verdict, error) {
	for {
		k.mu.Lock()
		changed := k.changed
		k.mu.Unlock()
		if v, ok := k.State().Verdict(id); ok {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return document.Verdict{}, trace.ConnectionProblem(ctx.Err(), "the outcome of edit %s is unknown", id)
		case <-changed:
		}
	}
}

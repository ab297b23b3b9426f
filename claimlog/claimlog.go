// Package claimlog agrees on claims through the platform's log.
package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/platform"
)

// streamName is the log's stream of claims.
const streamName = "claims"

// stream is the log service as this package uses it.
type stream interface {
	Append(ctx context.Context, stream string, data []byte) (platform.Appended, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (platform.Page, error)
}

// Keeper folds the stream of claims and appends to it.
type Keeper struct {
	log stream
	// mu guards table.
	mu    sync.Mutex
	table *claim.Table
}

// New returns a keeper that reads the stream when it is first asked.
func New(log stream) *Keeper {
	return &Keeper{log: log, table: claim.NewTable(0)}
}

// Take claims a key for an attempt and returns where the key stands.
func (k *Keeper) Take(ctx context.Context, r claim.Record) (claim.Standing, claim.Entry, error) {
	if err := k.append(ctx, r); err != nil {
		return claim.Free, claim.Entry{}, trace.Wrap(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	standing, entry := k.table.Standing(r.Account, r.Key, r.Attempt, r.Fingerprint)
	return standing, entry, nil
}

// End records how an attempt ended.
func (k *Keeper) End(ctx context.Context, r claim.Record) error {
	return k.append(ctx, r)
}

// append appends a record and folds the stream up to it.
func (k *Keeper) append(ctx context.Context, r claim.Record) error {
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	appended, err := k.log.Append(ctx, streamName, raw)
	if err != nil {
		return trace.Wrap(err)
	}
	return k.catchUp(ctx, appended.Offset)
}

// catchUp folds the stream up to an offset.
func (k *Keeper) catchUp(ctx context.Context, offset int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.table.Next() <= offset {
		page, err := k.log.Read(ctx, streamName, k.table.Next(), 0)
		if err != nil {
			return trace.Wrap(err)
		}
		if len(page.Records) == 0 {
			return trace.ConnectionProblem(nil, "the log does not show record %d", offset)
		}
		for _, record := range page.Records {
			k.table.Fold(record.Offset, record.AppendedMillis, record.Data)
		}
	}
	return nil
}

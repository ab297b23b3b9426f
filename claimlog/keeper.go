package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// retryWithin is how soon an append must have failed to be tried again at
	// once.
	retryWithin = 500 * time.Millisecond
	// retryPause is the time between the two tries.
	retryPause = 50 * time.Millisecond
	// maxQueue bounds the claims that wait for the log; ends may take as much
	// again.
	maxQueue = 16 * claim.MaxBatch
)

// stream is the log service as this package uses it.
type stream interface {
	Append(ctx context.Context, stream string, data []byte) (registry.Appended, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (registry.Page, error)
}

// waiting is a record that waits for its append.
type waiting struct {
	record claim.Record
	// done takes nil once the record was folded.
	done chan error
}

// keeper folds one stream of claims and appends to it in batches. Two
// keepers of the same stream cost appends, never a promise: the log decides.
type keeper struct {
	log  stream
	name string
	now  func() time.Time

	// readMu is held while the stream is read; it comes before mu.
	readMu sync.Mutex
	// mu guards the fields below.
	mu      sync.Mutex
	table   *claim.Table
	opened  bool
	pacer   claim.Pacer
	queue   []*waiting
	arrived chan struct{}
}

// newKeeper serves one stream until the context ends.
func newKeeper(ctx context.Context, wait *conc.WaitGroup, log stream, name string) *keeper {
	k := &keeper{
		log: log, name: name, now: time.Now, table: claim.NewTable(0),
		arrived: make(chan struct{}, 1),
	}
	wait.Go(func() { k.run(ctx) })
	return k
}

// run appends batches until the context ends.
func (k *keeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.arrived:
		}
		for k.appendNext(ctx) {
		}
	}
}

// appendNext appends one batch and tells whether more records wait.
func (k *keeper) appendNext(ctx context.Context) bool {
	k.mu.Lock()
	delay := k.pacer.Delay(k.now())
	k.mu.Unlock()
	if !pause(ctx, delay) {
		return false
	}
	batch := k.takeBatch()
	if len(batch) == 0 {
		return false
	}
	started := k.now()
	err := k.appendBatch(ctx, batch)
	if err != nil && k.now().Sub(started) < retryWithin && pause(ctx, retryPause) {
		started = k.now()
		err = k.appendBatch(ctx, batch)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.pacer = k.pacer.WithAppended(started)
		settle(batch, nil)
		return len(k.queue) > 0
	}
	k.pacer = k.pacer.WithFailed(k.now())
	k.requeue(batch, err)
	return len(k.queue) > 0
}

// takeBatch takes the oldest records off the queue.
func (k *keeper) takeBatch() []*waiting {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := min(len(k.queue), claim.MaxBatch)
	batch := k.queue[:n:n]
	k.queue = k.queue[n:]
	return batch
}

// appendBatch appends records and folds the stream up to them. A batch whose
// answer is lost may be appended again: folding is idempotent.
func (k *keeper) appendBatch(ctx context.Context, batch []*waiting) error {
	records := make([]claim.Record, len(batch))
	for i, w := range batch {
		records[i] = w.record
	}
	raw, err := claim.EncodeBatch(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	appended, err := k.log.Append(ctx, k.name, raw)
	if err != nil {
		return err
	}
	return k.catchUp(ctx, appended, raw)
}

// requeue fails the claims of a batch and keeps its ends, which must still be
// recorded. A failed claim may be on the log: only its claimant knows that it
// will never run, and releases it. The caller holds mu.
func (k *keeper) requeue(batch []*waiting, err error) {
	event.ClaimAppendFailed.Error(err, "Stream", k.name, "Records", len(batch))
	var ends []*waiting
	for _, w := range batch {
		if w.record.Kind == claim.Take {
			w.done <- err
			continue
		}
		ends = append(ends, w)
	}
	k.queue = append(ends, k.queue...)
}

// catchUp folds the stream up to an append. When nothing else came between,
// nothing has to be read.
func (k *keeper) catchUp(ctx context.Context, a registry.Appended, raw []byte) error {
	k.readMu.Lock()
	defer k.readMu.Unlock()
	k.mu.Lock()
	opened, next := k.opened, k.table.Next()
	k.mu.Unlock()
	if opened && next == a.Offset {
		k.fold([]registry.Record{{Offset: a.Offset, AppendedMillis: a.AppendedMillis, Data: raw}})
		return nil
	}
	for next <= a.Offset {
		page, err := k.readPage(ctx)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return trace.ConnectionProblem(nil, "the log does not show record %d of %s", a.Offset, k.name)
		}
		next = page.Records[len(page.Records)-1].Offset + 1
	}
	return nil
}

// refresh folds everything that the log has now.
func (k *keeper) refresh(ctx context.Context) (nowMillis int64, err error) {
	k.readMu.Lock()
	defer k.readMu.Unlock()
	for {
		page, err := k.readPage(ctx)
		if err != nil {
			return 0, err
		}
		if len(page.Records) == 0 {
			return page.NowMillis, nil
		}
	}
}

// readPage folds one page. The caller holds readMu.
func (k *keeper) readPage(ctx context.Context) (registry.Page, error) {
	k.mu.Lock()
	next := k.table.Next()
	k.mu.Unlock()
	page, err := k.log.Read(ctx, k.name, next, 0)
	if err == nil {
		k.fold(page.Records)
	}
	return page, err
}

// fold applies records.
func (k *keeper) fold(records []registry.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.opened = true
	for _, r := range records {
		k.table.Fold(r.Offset, r.AppendedMillis, r.Data)
	}
}

// settle tells those who wait how their append ended.
func settle(batch []*waiting, err error) {
	for _, w := range batch {
		w.done <- err
	}
}

// put queues a record and waits until it was folded. It returns
// trace.LimitExceeded when the record was not taken, and
// trace.ConnectionProblem when it may still reach the log.
func (k *keeper) put(ctx context.Context, r claim.Record) error {
	w, err := k.enqueue(r)
	if err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "no answer from the log in time")
	}
}

// enqueue queues a record.
func (k *keeper) enqueue(r claim.Record) (*waiting, error) {
	w := &waiting{record: r, done: make(chan error, 1)}
	k.mu.Lock()
	refuses := len(k.queue) >= 2*maxQueue ||
		r.Kind == claim.Take && (k.pacer.Refuses(k.now()) || len(k.queue) >= maxQueue)
	if !refuses {
		k.queue = append(k.queue, w)
	}
	k.mu.Unlock()
	if refuses {
		return nil, trace.LimitExceeded("the log does not answer for %s", k.name)
	}
	select {
	case k.arrived <- struct{}{}:
	default:
	}
	return w, nil
}

// standing returns where the key of a record stands as far as it was read.
func (k *keeper) standing(r claim.Record) (claim.Standing, claim.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Standing(r)
}

// take claims a key and returns where it stands.
func (k *keeper) take(ctx context.Context, r claim.Record) (claim.Standing, claim.Entry, error) {
	if err := k.put(ctx, r); err != nil {
		return claim.Free, claim.Entry{}, err
	}
	s, e := k.standing(r)
	return s, e, nil
}

// look tells where a key stands on the log now and claims nothing.
func (k *keeper) look(ctx context.Context, r claim.Record) (claim.Standing, claim.Entry, error) {
	if s, e := k.standing(r); s == claim.Finished || s == claim.Mismatch {
		return s, e, nil
	}
	nowMillis, err := k.refresh(ctx)
	if err != nil {
		return claim.Free, claim.Entry{}, err
	}
	s, e := k.standing(r)
	if s == claim.Free && !claim.Decidable(r.IssuedMillis, nowMillis) {
		return claim.Expired, claim.Entry{}, nil
	}
	return s, e, nil
}

// pause waits and tells whether the context still lives.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

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
	// retryWithin is the time within which a failed append is retried once
	// before the log counts as down.
	retryWithin = 500 * time.Millisecond
	// retryDelay is the time before that retry.
	retryDelay = 50 * time.Millisecond
	// maxQueue bounds the queue for claims; other records, which end attempts,
	// are queued up to twice that length.
	maxQueue = 16 * claim.MaxBatch
)

// logService is the part of the log service's client that this package uses.
type logService interface {
	Append(ctx context.Context, stream string, data []byte) (registry.AppendResult, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (registry.Page, error)
}

// queuedRecord is a record that waits for its append.
type queuedRecord struct {
	record claim.Record
	// done receives nil once the record is folded, or the error.
	done chan error
}

// streamOwner folds one stream of claims and appends to it in batches. A second
// owner of a stream costs more appends but breaks no guarantee, since the log's
// order decides.
type streamOwner struct {
	log  logService
	name string
	now  func() time.Time

	// readMu is held while the stream is read; it is locked before mu.
	readMu sync.Mutex
	// mu guards the fields below.
	mu      sync.Mutex
	table   *claim.Table
	hasRead bool
	pacer   claim.Pacer
	queue   []*queuedRecord
	queued  chan struct{}
}

// newStreamOwner returns the owner of one stream, which runs until the context
// ends.
func newStreamOwner(ctx context.Context, wait *conc.WaitGroup, log logService, name string) *streamOwner {
	o := &streamOwner{
		log: log, name: name, now: time.Now, table: claim.NewTable(0),
		queued: make(chan struct{}, 1),
	}
	wait.Go(func() { o.run(ctx) })
	return o
}

// run appends batches until the context ends.
func (o *streamOwner) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.queued:
		}
		for o.appendNext(ctx) {
		}
	}
}

// appendNext appends one batch and reports whether more records are queued.
func (o *streamOwner) appendNext(ctx context.Context) bool {
	o.mu.Lock()
	delay := o.pacer.Delay(o.now())
	o.mu.Unlock()
	if !sleep(ctx, delay) {
		return false
	}
	batch := o.takeBatch()
	if len(batch) == 0 {
		return false
	}
	started := o.now()
	err := o.appendBatch(ctx, batch)
	if err != nil && o.now().Sub(started) < retryWithin && sleep(ctx, retryDelay) {
		started = o.now()
		err = o.appendBatch(ctx, batch)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.pacer = o.pacer.WithAppended(started)
		complete(batch, nil)
		return len(o.queue) > 0
	}
	o.pacer = o.pacer.WithFailed(o.now())
	o.requeue(batch, err)
	return len(o.queue) > 0
}

// takeBatch removes the oldest records from the queue.
func (o *streamOwner) takeBatch() []*queuedRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.queue), claim.MaxBatch)
	batch := o.queue[:n:n]
	o.queue = o.queue[n:]
	return batch
}

// appendBatch appends records and folds the stream up to them. A batch whose
// answer was lost may be appended again, since folding is idempotent.
func (o *streamOwner) appendBatch(ctx context.Context, batch []*queuedRecord) error {
	records := make([]claim.Record, len(batch))
	for i, q := range batch {
		records[i] = q.record
	}
	raw, err := claim.EncodeBatch(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	appended, err := o.log.Append(ctx, o.name, raw)
	if err != nil {
		return err
	}
	return o.catchUp(ctx, appended, raw)
}

// requeue fails the claims of a batch and puts its other records, which end
// attempts, back on the queue, since they must still be appended. A failed claim may be on the log: only its
// claimant knows that it will never run, and releases it. The caller holds mu.
func (o *streamOwner) requeue(batch []*queuedRecord, err error) {
	event.ClaimAppendFailed.Error(err, "Stream", o.name, "Records", len(batch))
	var ends []*queuedRecord
	for _, q := range batch {
		if q.record.Kind == claim.Take {
			q.done <- err
			continue
		}
		ends = append(ends, q)
	}
	o.queue = append(ends, o.queue...)
}

// catchUp folds the stream up to an append. It reads nothing if the append
// directly follows the folded records.
func (o *streamOwner) catchUp(ctx context.Context, a registry.AppendResult, raw []byte) error {
	o.readMu.Lock()
	defer o.readMu.Unlock()
	o.mu.Lock()
	hasRead, next := o.hasRead, o.table.Next()
	o.mu.Unlock()
	if hasRead && next == a.Offset {
		o.fold([]registry.Record{{Offset: a.Offset, AppendedMillis: a.AppendedMillis, Data: raw}})
		return nil
	}
	for next <= a.Offset {
		page, err := o.readPage(ctx)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return trace.ConnectionProblem(nil, "the log did not return record %d of stream %s", a.Offset, o.name)
		}
		next = page.Records[len(page.Records)-1].Offset + 1
	}
	return nil
}

// refresh folds everything on the log and returns the log's time.
func (o *streamOwner) refresh(ctx context.Context) (nowMillis int64, err error) {
	o.readMu.Lock()
	defer o.readMu.Unlock()
	for {
		page, err := o.readPage(ctx)
		if err != nil {
			return 0, err
		}
		if len(page.Records) == 0 {
			return page.NowMillis, nil
		}
	}
}

// readPage folds one page. The caller holds readMu.
func (o *streamOwner) readPage(ctx context.Context) (registry.Page, error) {
	o.mu.Lock()
	next := o.table.Next()
	o.mu.Unlock()
	page, err := o.log.Read(ctx, o.name, next, 0)
	if err == nil {
		o.fold(page.Records)
	}
	return page, err
}

// fold applies records to the table.
func (o *streamOwner) fold(records []registry.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hasRead = true
	for _, r := range records {
		o.table.Fold(r.Offset, r.AppendedMillis, r.Data)
	}
}

// complete reports the result of an append to the waiters of its records.
func complete(batch []*queuedRecord, err error) {
	for _, q := range batch {
		q.done <- err
	}
}

// appendAndWait queues a record and waits until it is folded. It returns
// trace.LimitExceeded if the record was not queued, and
// trace.ConnectionProblem if it may still reach the log.
func (o *streamOwner) appendAndWait(ctx context.Context, r claim.Record) error {
	q, err := o.enqueue(r)
	if err != nil {
		return err
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "no answer from the log in time")
	}
}

// enqueue queues a record. It returns trace.LimitExceeded if the queue is full,
// or for a claim while the log is down.
func (o *streamOwner) enqueue(r claim.Record) (*queuedRecord, error) {
	q := &queuedRecord{record: r, done: make(chan error, 1)}
	o.mu.Lock()
	refused := len(o.queue) >= 2*maxQueue ||
		r.Kind == claim.Take && (o.pacer.Refuses(o.now()) || len(o.queue) >= maxQueue)
	if !refused {
		o.queue = append(o.queue, q)
	}
	o.mu.Unlock()
	if refused {
		return nil, trace.LimitExceeded("the log does not answer, or the queue of stream %s is full", o.name)
	}
	select {
	case o.queued <- struct{}{}:
	default:
	}
	return q, nil
}

// status returns the status of a record's key in the folded table.
func (o *streamOwner) status(r claim.Record) (claim.Status, claim.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Status(r)
}

// submit appends a record and returns the status of its key.
func (o *streamOwner) submit(ctx context.Context, r claim.Record) (claim.Status, claim.Entry, error) {
	if err := o.appendAndWait(ctx, r); err != nil {
		return claim.Free, claim.Entry{}, err
	}
	s, e := o.status(r)
	return s, e, nil
}

// query returns the status of a key on the log without claiming it.
func (o *streamOwner) query(ctx context.Context, r claim.Record) (claim.Status, claim.Entry, error) {
	if s, e := o.status(r); s == claim.Finished || s == claim.Mismatch {
		return s, e, nil
	}
	nowMillis, err := o.refresh(ctx)
	if err != nil {
		return claim.Free, claim.Entry{}, err
	}
	s, e := o.status(r)
	if s == claim.Free && !claim.WithinKeyLifetime(r.IssuedMillis, nowMillis) {
		return claim.Expired, claim.Entry{}, nil
	}
	return s, e, nil
}

// sleep waits and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

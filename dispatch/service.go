package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// endTimeout limits the wait until the outcome is recorded; if it takes longer,
// the record is appended in the background.
const endTimeout = 500 * time.Millisecond

// claims ensures that only one attempt runs a request that is not idempotent.
type claims interface {
	// Take claims a key for an attempt. After trace.LimitExceeded the claim is
	// not on the log; after any other error it may be.
	Take(ctx context.Context, r claim.Record) (claim.Status, claim.Entry, error)
	// Query returns the status of a key without claiming it.
	Query(ctx context.Context, r claim.Record) (claim.Status, claim.Entry, error)
	// Abandon records in the background that an attempt never ran and never
	// will.
	Abandon(r claim.Record)
	// End records the answer of the attempt, or that it never ran.
	End(ctx context.Context, r claim.Record) error
}

// Serve runs a call to a plain service.
func (d *Dispatcher) Serve(ctx context.Context, doc document.Document, r request.Request) (upstream.Answer, *request.Failure) {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	release, refused := d.admit.Admit(doc, r)
	if refused != nil {
		return d.refuseService(ctx, r, refused)
	}
	defer release()
	pool, _ := doc.Pool(r.Service)
	if r.Idempotent {
		return d.serveIdempotent(ctx, pool, r)
	}
	return d.serveAtMostOnce(ctx, pool, r)
}

// serveIdempotent tries endpoints until one answers.
func (d *Dispatcher) serveIdempotent(ctx context.Context, pool document.Pool, r request.Request) (upstream.Answer, *request.Failure) {
	sent := false
	for _, u := range d.endpoints(pool, r.ID) {
		answer, err := d.client.Run(ctx, serviceCall(u, r, uuid.NewString()))
		if err == nil {
			return answer, nil
		}
		var notStarted *upstream.NotStarted
		sent = sent || !errors.As(err, &notStarted)
		event.AttemptFailed.Error(err, "Request", r.ID, "Upstream", u.Name)
	}
	return upstream.Answer{}, unfinishedFailure(sent)
}

// newClaim returns the claim record of a new attempt.
func newClaim(r request.Request) claim.Record {
	return claim.Record{
		Kind: claim.Take, Account: r.Account, Key: r.Key, Attempt: uuid.NewString(),
		Fingerprint: fingerprint(r), IssuedMillis: r.KeyIssued.UnixMilli(),
	}
}

// serveAtMostOnce claims the key first and sends the call at most once. It
// carries out the decisions of package claim.
func (d *Dispatcher) serveAtMostOnce(ctx context.Context, pool document.Pool, r request.Request) (upstream.Answer, *request.Failure) {
	record := newClaim(r)
	endpoints := d.endpoints(pool, r.Key)
	e, action := d.claim(ctx, r, claim.NewExecution(record, len(endpoints)))
	for action.Send {
		e, action = d.sendOnce(ctx, endpoints[action.Endpoint], r, e)
	}
	if action.End != nil {
		d.recordEnd(ctx, r, *action.End)
	}
	if action.Abandon {
		d.claims.Abandon(record)
	}
	return callerAnswer(action.Reply)
}

// claim claims the key of an execution.
func (d *Dispatcher) claim(ctx context.Context, r request.Request, e claim.Execution) (claim.Execution, claim.Action) {
	status, entry, err := d.claims.Take(ctx, e.Record())
	if err != nil {
		event.ClaimFailed.Error(err, "Request", r.ID)
		return e.WithUnconfirmed(!trace.IsLimitExceeded(err))
	}
	return e.WithStatus(status, entry, ctx.Err() != nil)
}

// sendOnce sends the call to one endpoint and returns the next action.
func (d *Dispatcher) sendOnce(ctx context.Context, u document.Upstream, r request.Request, e claim.Execution) (claim.Execution, claim.Action) {
	answer, err := d.client.Run(ctx, serviceCall(u, r, e.Record().Attempt))
	if err == nil {
		return e.WithAnswer(answer.Status, answer.ContentType, answer.Body)
	}
	event.AttemptFailed.Error(err, "Request", r.ID, "Upstream", u.Name)
	var notStarted *upstream.NotStarted
	if errors.As(err, &notStarted) {
		return e.WithNotStarted()
	}
	return e.WithAnswerLost()
}

// callerAnswer converts a reply to the answer to the caller.
func callerAnswer(reply *claim.Reply) (upstream.Answer, *request.Failure) {
	a := reply.Answer
	return upstream.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, reply.Failure
}

// refuseService answers a call that was not admitted.
func (d *Dispatcher) refuseService(ctx context.Context, r request.Request, refused *request.Failure) (upstream.Answer, *request.Failure) {
	if r.Idempotent {
		return upstream.Answer{}, refused
	}
	status, entry, err := d.claims.Query(ctx, newClaim(r))
	return callerAnswer(claim.RefusalReply(refused, err == nil, status, entry))
}

// recordEnd records how an attempt ended. Without the record, a retry with the
// same key is answered with outcome Unknown.
func (d *Dispatcher) recordEnd(ctx context.Context, r request.Request, record claim.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if err := d.claims.End(ctx, record); err != nil {
		event.ClaimFailed.Error(err, "Request", r.ID, "Kind", record.Kind)
	}
}

// endpoints returns the available endpoints of a pool in the order in which to
// try them.
func (d *Dispatcher) endpoints(pool document.Pool, key string) []document.Upstream {
	byName := map[string]document.Upstream{}
	var names []string
	for _, u := range pool.Upstreams {
		if !d.leaving(u.Name) {
			byName[u.Name] = u
			names = append(names, u.Name)
		}
	}
	var ordered []document.Upstream
	for _, name := range placement.Rank(key, names) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

func serviceCall(u document.Upstream, r request.Request, attempt string) upstream.Call {
	return upstream.Call{
		Address: u.Address, Method: r.Method, Path: r.Path, Body: r.Body,
		Request: r.ID, Attempt: attempt, Priority: r.Priority, Remaining: r.Remaining, Key: r.Key,
		ContentType: r.ContentType, Accept: r.Accept,
	}
}

// fingerprint returns a hash of the request's service, method, path and body.
func fingerprint(r request.Request) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00", r.Service, r.Method, r.Path)
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

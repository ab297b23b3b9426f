package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// claims agrees on who may run a request that must not be repeated.
type claims interface {
	// Take claims a key for an attempt. An error means that the claim may be
	// on the log but was not confirmed.
	Take(ctx context.Context, r claim.Record) (claim.Standing, claim.Entry, error)
	// End records the answer of the attempt, or that it never ran.
	End(ctx context.Context, r claim.Record) error
}

// Serve runs a call of a plain service.
func (d *Dispatcher) Serve(ctx context.Context, doc document.Document, r request.Request) (upstream.Answer, *request.Failure) {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	release, refused := d.admit.Admit(doc, r)
	if refused != nil {
		return upstream.Answer{}, refused
	}
	defer release()
	pool, _ := doc.Pool(r.Service)
	if r.Repeatable {
		return d.serveRepeatable(ctx, pool, r)
	}
	return d.serveOnce(ctx, pool, r)
}

// serveRepeatable tries endpoints until one answers.
func (d *Dispatcher) serveRepeatable(ctx context.Context, pool document.Pool, r request.Request) (upstream.Answer, *request.Failure) {
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
	return upstream.Answer{}, failed(sent)
}

// serveOnce claims the key first and sends the call at most once.
func (d *Dispatcher) serveOnce(ctx context.Context, pool document.Pool, r request.Request) (upstream.Answer, *request.Failure) {
	record := claim.Record{
		Kind: claim.Take, Account: r.Account, Key: r.Key, Attempt: uuid.NewString(),
		Fingerprint: fingerprint(r), IssuedMillis: r.KeyIssued.UnixMilli(),
	}
	standing, entry, err := d.claims.Take(ctx, record)
	if err != nil {
		event.ClaimFailed.Error(err, "Request", r.ID)
		return upstream.Answer{}, request.Refuse(request.LogUnavailable, "the claim of the key was not confirmed").WithRetryAfter(retryAfter)
	}
	switch standing {
	case claim.Held:
		return d.runHeld(ctx, pool, r, record)
	case claim.Finished:
		return upstream.Answer{Status: entry.Status, ContentType: "application/json", Body: entry.Body}, nil
	case claim.Running:
		return upstream.Answer{}, request.Refuse(request.InProgress, "the same request was sent before and its outcome is not known").WithOutcome(request.Unknown).WithRetryAfter(retryAfter)
	case claim.Mismatch:
		return upstream.Answer{}, request.Refuse(request.KeyReused, "the key was used for another request")
	case claim.Expired:
		return upstream.Answer{}, request.Refuse(request.KeyExpired, "the key is too old to tell whether it ran").WithOutcome(request.Unknown)
	case claim.Free:
	}
	return upstream.Answer{}, request.Refuse(request.LogUnavailable, "the claim of the key was not confirmed").WithRetryAfter(retryAfter)
}

// runHeld sends the call of the attempt that holds the key.
func (d *Dispatcher) runHeld(ctx context.Context, pool document.Pool, r request.Request, record claim.Record) (upstream.Answer, *request.Failure) {
	for _, u := range d.endpoints(pool, r.Key) {
		answer, err := d.client.Run(ctx, serviceCall(u, r, record.Attempt))
		if err == nil {
			record.Kind, record.Status, record.Body = claim.Finish, answer.Status, answer.Body
			d.end(ctx, r, record)
			return answer, nil
		}
		event.AttemptFailed.Error(err, "Request", r.ID, "Upstream", u.Name)
		var notStarted *upstream.NotStarted
		if !errors.As(err, &notStarted) {
			return upstream.Answer{}, request.Refuse(request.UpstreamFailed, "the service did not answer").WithOutcome(request.Unknown)
		}
	}
	record.Kind = claim.Release
	d.end(ctx, r, record)
	return upstream.Answer{}, failed(false)
}

// end records how an attempt ended. Without the record a repeat of the key
// is answered as unknown.
func (d *Dispatcher) end(ctx context.Context, r request.Request, record claim.Record) {
	if err := d.claims.End(ctx, record); err != nil {
		event.ClaimFailed.Error(err, "Request", r.ID, "Kind", record.Kind)
	}
}

// endpoints returns the endpoints of a pool that take work, in the order to
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

// fingerprint identifies what a request asks for.
func fingerprint(r request.Request) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00", r.Service, r.Method, r.Path)
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

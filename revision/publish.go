package revision

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/platform"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// readBackWait is how long a publisher looks for its edit on the log
	// before it appends it again.
	readBackWait = time.Second
)

// Publish appends an edit and returns its verdict once it was read back. An
// edit whose ID has a verdict is not appended again. An error of kind
// trace.ConnectionProblem leaves the verdict unknown; it can be asked for by
// the edit's ID, and the same edit may be published again. Any other error
// means that nothing was appended.
func (k *Keeper) Publish(ctx context.Context, e document.Edit) (document.Verdict, error) {
	if e.ID == "" {
		return document.Verdict{}, trace.BadParameter("the edit has no ID")
	}
	state := k.State()
	if v, ok := state.Verdict(e.ID); ok {
		return v, nil
	}
	if state.Halt != "" {
		return document.Verdict{}, trace.BadParameter("this host can't judge edits: %s", state.Halt)
	}
	if _, err := state.Document.WithSection(e.Section, []byte(e.Body)); err != nil {
		return document.Verdict{}, trace.BadParameter("%s", err.Error())
	}
	raw, err := document.EncodeEdit(e)
	if err != nil {
		return document.Verdict{}, trace.Wrap(err)
	}
	return k.publish(ctx, e.ID, raw)
}

// publish appends a record until its verdict is read back.
func (k *Keeper) publish(ctx context.Context, id string, raw []byte) (document.Verdict, error) {
	mayStand := false
	for {
		err := k.append(ctx, raw)
		if err == nil {
			return k.await(ctx, id)
		}
		mayStand = mayStand || !neverSent(err)
		if !mayStand {
			return document.Verdict{}, trace.BadParameter("the log can't be reached, nothing was changed: %v", err)
		}
		wait, cancel := context.WithTimeout(ctx, jitter(readBackWait))
		v, awaitErr := k.await(wait, id)
		cancel()
		if awaitErr == nil {
			return v, nil
		}
		if ctx.Err() != nil {
			return document.Verdict{}, trace.ConnectionProblem(err, "the outcome of edit %s is unknown", id)
		}
	}
}

func (k *Keeper) append(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := k.Log.Append(ctx, platform.ConfigurationStream, raw)
	return trace.Wrap(err)
}

// neverSent tells whether a failed call did not reach the other side.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
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

// Body returns a revision of a section: from the state while that keeps it,
// else from the log.
func (k *Keeper) Body(ctx context.Context, section document.Section, revision int64) (document.Body, error) {
	state := k.State()
	if body, ok := state.BodyAt(section, revision); ok {
		return body, nil
	}
	gone := trace.NotFound("revision %d of section %s is not kept any more, or never was accepted", revision, section)
	for _, v := range state.Verdicts {
		if !v.Accepted || v.Section != section || v.Offset+1 != revision {
			continue
		}
		page, err := k.Log.Read(ctx, platform.ConfigurationStream, v.Offset, 0)
		if err != nil {
			return document.Body{}, trace.Wrap(err)
		}
		if len(page.Records) == 0 || page.Records[0].Offset != v.Offset {
			return document.Body{}, gone
		}
		if e, ok := document.DecodeEdit(page.Records[0].Data); ok {
			return document.Body{Section: section, Revision: revision, Text: e.Body}, nil
		}
	}
	return document.Body{}, gone
}

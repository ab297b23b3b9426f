package revision

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// readBackWait is how long a publisher looks for its edit on the log
	// before it appends it again.
	readBackWait = time.Second
	// confirmFanout is how many peers are asked to confirm an accepted edit.
	confirmFanout = 8
	// confirmInterval is the mean time between two rounds of asking.
	confirmInterval = 200 * time.Millisecond
)

// Publish appends an edit and returns its verdict once it was read back. An
// edit whose ID has a verdict is not appended again. An error of kind
// trace.ConnectionProblem leaves the verdict unknown; it can be asked for by
// the edit's ID, and the same edit may be published again. Any other error
// means that nothing was appended.
func (k *Keeper) Publish(ctx context.Context, e document.Edit) (document.EditResult, error) {
	if e.ID == "" {
		return document.EditResult{}, trace.BadParameter("the edit has no ID")
	}
	state := k.State()
	if v, ok := state.EditResult(e.ID); ok {
		if body, kept := state.BodyAt(v.Section, v.Offset+1); v.Section != e.Section || kept && body.Text != e.Body {
			return document.EditResult{}, trace.BadParameter("the id %s belongs to another edit, of section %s", e.ID, v.Section)
		}
		return k.Outcome(ctx, e.ID)
	}
	if state.Halt != "" {
		return document.EditResult{}, trace.BadParameter("this host can't judge edits: %s", state.Halt)
	}
	if _, err := state.Document.WithSection(e.Section, []byte(e.Body)); err != nil {
		return document.EditResult{}, trace.BadParameter("%s", err.Error())
	}
	raw, err := document.EncodeEdit(e)
	if err != nil {
		return document.EditResult{}, trace.Wrap(err)
	}
	if err := k.publish(ctx, e.ID, raw); err != nil {
		return document.EditResult{}, err
	}
	return k.Outcome(ctx, e.ID)
}

// Outcome returns the verdict of an edit. Acceptance is told only once another
// host has it too, so that it does not vanish if this host dies while the log
// is down for longer than it keeps records. An error of kind trace.NotFound
// means that this host knows no verdict, one of kind trace.ConnectionProblem
// that no other host has it yet.
func (k *Keeper) Outcome(ctx context.Context, id string) (document.EditResult, error) {
	v, ok := k.State().EditResult(id)
	if !ok {
		return v, trace.NotFound("edit %s is not on the log as far as this host has read, or its verdict is not kept any more; it is safe to publish it again with the same id", id)
	}
	if !v.Accepted {
		return v, nil
	}
	for ctx.Err() == nil {
		if have, asked := k.tell(ctx, confirmFanout, v.Offset); have > 0 || asked == 0 {
			return v, nil
		}
		pause(ctx, jitter(confirmInterval))
	}
	return document.EditResult{}, trace.ConnectionProblem(ctx.Err(), "edit %s stands on the log, but no other host has confirmed it yet", id)
}

// publish appends a record until its verdict is read back.
func (k *Keeper) publish(ctx context.Context, id string, raw []byte) error {
	mayStand := false
	for {
		err := k.append(ctx, raw)
		if err == nil {
			return k.await(ctx, id)
		}
		mayStand = mayStand || !neverSent(err)
		if !mayStand {
			return trace.BadParameter("the log can't be reached, nothing was changed: %v", err)
		}
		wait, cancel := context.WithTimeout(ctx, jitter(readBackWait))
		awaitErr := k.await(wait, id)
		cancel()
		if awaitErr == nil {
			return nil
		}
		if ctx.Err() != nil {
			return trace.ConnectionProblem(err, "the outcome of edit %s is unknown", id)
		}
	}
}

func (k *Keeper) append(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := k.Log.Append(ctx, registry.ConfigurationStream, raw)
	return trace.Wrap(err)
}

// neverSent tells whether a failed call did not reach the other side.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// await waits until the edit's record was folded.
func (k *Keeper) await(ctx context.Context, id string) error {
	for {
		k.mu.Lock()
		changed := k.changed
		k.mu.Unlock()
		if _, ok := k.State().EditResult(id); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "the outcome of edit %s is unknown", id)
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
		page, err := k.Log.Read(ctx, registry.ConfigurationStream, v.Offset, 0)
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

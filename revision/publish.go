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
	// appendTimeout limits one append.
	appendTimeout = 5 * time.Second
	// readBackTimeout is the mean time that a publisher waits for its edit to
	// appear on the log before it appends it again.
	readBackTimeout = time.Second
	// confirmFanout is the number of peers called to confirm an accepted edit.
	confirmFanout = 8
	// confirmInterval is the mean interval between rounds of these calls.
	confirmInterval = 200 * time.Millisecond
)

// Publish appends an edit and returns its result after reading it back. It is
// idempotent: an edit whose ID has a result is not appended again. After an
// error of kind trace.ConnectionProblem the result is unknown; Outcome returns
// it by the edit's ID, and the same edit may be published again. Any other
// error means that nothing was appended.
func (s *Syncer) Publish(ctx context.Context, e document.Edit) (document.EditResult, error) {
	if e.ID == "" {
		return document.EditResult{}, trace.BadParameter("the edit has no ID")
	}
	state := s.State()
	if result, ok := state.EditResult(e.ID); ok {
		if body, found := state.BodyAt(result.Section, result.Offset+1); result.Section != e.Section || found && body.Text != e.Body {
			return document.EditResult{}, trace.BadParameter("the id %s belongs to another edit, of section %s", e.ID, result.Section)
		}
		return s.Outcome(ctx, e.ID)
	}
	if state.Halt != "" {
		return document.EditResult{}, trace.BadParameter("this host can't decide on edits: %s", state.Halt)
	}
	if _, err := state.Document.WithSection(e.Section, []byte(e.Body)); err != nil {
		return document.EditResult{}, trace.BadParameter("%s", err.Error())
	}
	raw, err := document.EncodeEdit(e)
	if err != nil {
		return document.EditResult{}, trace.Wrap(err)
	}
	if err := s.appendUntilFolded(ctx, e.ID, raw); err != nil {
		return document.EditResult{}, err
	}
	return s.Outcome(ctx, e.ID)
}

// Outcome returns the result of an edit. An acceptance is returned only once
// another host has the edit too, so that it is not lost if this host fails while
// the log is down for longer than its retention. An error of kind
// trace.NotFound means that this host has no result, one of kind
// trace.ConnectionProblem that no other host has confirmed it yet.
func (s *Syncer) Outcome(ctx context.Context, id string) (document.EditResult, error) {
	result, ok := s.State().EditResult(id)
	if !ok {
		return result, trace.NotFound("edit %s is not on the log up to the position that this host has read, or its result is no longer kept; it is safe to publish it again with the same id", id)
	}
	if !result.Accepted {
		return result, nil
	}
	for ctx.Err() == nil {
		if reached, called := s.announceTo(ctx, confirmFanout, result.Offset); reached > 0 || called == 0 {
			return result, nil
		}
		sleep(ctx, jitter(confirmInterval))
	}
	return document.EditResult{}, trace.ConnectionProblem(ctx.Err(), "edit %s is on the log, but no other host has confirmed it yet", id)
}

// appendUntilFolded appends the record of an edit, with retries, until the edit
// is read back and has a result.
func (s *Syncer) appendUntilFolded(ctx context.Context, id string, raw []byte) error {
	maybeAppended := false
	for {
		err := s.append(ctx, raw)
		if err == nil {
			return s.awaitResult(ctx, id)
		}
		maybeAppended = maybeAppended || !isDialError(err)
		if !maybeAppended {
			return trace.BadParameter("the log can't be reached, nothing was changed: %v", err)
		}
		wait, cancel := context.WithTimeout(ctx, jitter(readBackTimeout))
		awaitErr := s.awaitResult(wait, id)
		cancel()
		if awaitErr == nil {
			return nil
		}
		if ctx.Err() != nil {
			return trace.ConnectionProblem(err, "the outcome of edit %s is unknown", id)
		}
	}
}

func (s *Syncer) append(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.Log.Append(ctx, registry.ConfigurationStream, raw)
	return trace.Wrap(err)
}

// isDialError reports whether a call failed to connect, so that nothing was
// sent.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// awaitResult waits until the edit is folded.
func (s *Syncer) awaitResult(ctx context.Context, id string) error {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if _, ok := s.State().EditResult(id); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "the outcome of edit %s is unknown", id)
		case <-changed:
		}
	}
}

// Body returns a revision of a section from the state, or from the log if the
// state no longer has it.
func (s *Syncer) Body(ctx context.Context, section document.Section, revision int64) (document.Body, error) {
	state := s.State()
	if body, ok := state.BodyAt(section, revision); ok {
		return body, nil
	}
	notFound := trace.NotFound("revision %d of section %s is no longer kept or was never accepted", revision, section)
	for _, v := range state.Verdicts {
		if !v.Accepted || v.Section != section || v.Offset+1 != revision {
			continue
		}
		page, err := s.Log.Read(ctx, registry.ConfigurationStream, v.Offset, 0)
		if err != nil {
			return document.Body{}, trace.Wrap(err)
		}
		if len(page.Records) == 0 || page.Records[0].Offset != v.Offset {
			return document.Body{}, notFound
		}
		if e, ok := document.DecodeEdit(page.Records[0].Data); ok {
			return document.Body{Section: section, Revision: revision, Text: e.Body}, nil
		}
	}
	return document.Body{}, notFound
}

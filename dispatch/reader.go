package dispatch

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/attempt"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// send starts an attempt and a reader of its answer.
func (c *completion) send(s attempt.Send) {
	call := upstream.Call{
		Address: c.choice.Upstream.Address, Method: c.request.Method, Path: c.request.Path, Body: c.request.Body,
		Request: c.request.ID, Attempt: s.Attempt, Salt: c.request.Account,
		Incarnation: s.Target.Incarnation, Weights: s.Weights,
		ResumeAfter: s.ResumeAfter, Priority: c.request.Priority, Remaining: s.Remaining,
	}
	ctx, abandon := context.WithCancel(context.Background())
	c.attempt, c.abandon = s.Attempt, abandon
	ended := c.engines.Started(c.choice)
	c.background.Go(func() {
		defer abandon()
		ended(c.read(ctx, call))
	})
}

// read posts what an engine answers until the attempt has ended or was
// abandoned, and returns what the engine reported.
func (c *completion) read(ctx context.Context, call upstream.Call) engine.Report {
	stream, err := c.client.Open(ctx, call)
	if err != nil {
		c.post(ctx, received{input: attempt.Failed{Attempt: call.Attempt, Cause: causeOf(err)}})
		return engine.Report{}
	}
	defer stream.Close()
	report := engine.Report{Answered: true, Incarnation: stream.Incarnation, Weights: stream.Weights, CachedTokens: stream.CachedTokens}
	going := c.post(ctx, received{input: attempt.Opened{
		Attempt: call.Attempt, Echo: stream.Attempt, Incarnation: stream.Incarnation, Weights: stream.Weights,
	}})
	for going {
		chunk, err := stream.Next()
		going = c.post(ctx, received{input: inputOf(call.Attempt, chunk, err), chunk: chunk}) && err == nil
		if err == nil && chunk.End {
			stream.SkipRest()
			break
		}
	}
	return report
}

// post hands an input to the goroutine that runs the completion. It returns
// false when the attempt was abandoned.
func (c *completion) post(ctx context.Context, r received) bool {
	select {
	case c.received <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

// inputOf returns the input that an event of a stream stands for.
func inputOf(id string, chunk upstream.Chunk, err error) attempt.Input {
	switch {
	case err != nil:
		return attempt.Failed{Attempt: id, Cause: causeOf(err)}
	case chunk.End:
		return attempt.End{Attempt: id}
	}
	return attempt.Token{Attempt: id, Position: chunk.Position}
}

// causeOf sorts the errors of package upstream.
func causeOf(err error) attempt.Cause {
	var notStarted *upstream.NotStarted
	var rejected *upstream.Rejected
	switch {
	case errors.As(err, &notStarted):
		return attempt.NotStarted
	case errors.As(err, &rejected):
		return attempt.Rejected
	case errors.Is(err, upstream.ErrMissingEnd):
		return attempt.MissingEnd
	case errors.Is(err, upstream.ErrReported):
		return attempt.ErrorEvent
	case trace.IsBadParameter(err):
		return attempt.Malformed
	}
	return attempt.Cut
}

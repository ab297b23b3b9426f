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
	ctx, cancel := context.WithCancel(context.Background())
	c.attempt, c.stopReader = s.Attempt, cancel
	ended := c.engines.Started(c.choice)
	c.background.Go(func() {
		defer cancel()
		ended(c.read(ctx, call))
	})
}

// read posts the engine's answer until the attempt has ended or was abandoned,
// and returns the engine's report.
func (c *completion) read(ctx context.Context, call upstream.Call) engine.Report {
	stream, err := c.client.Open(ctx, call)
	if err != nil {
		c.post(ctx, engineInput{input: attempt.Failed{Attempt: call.Attempt, Cause: causeOf(err)}})
		return engine.Report{}
	}
	defer stream.Close()
	report := engine.Report{Answered: true, Incarnation: stream.Incarnation, Weights: stream.Weights, CachedTokens: stream.CachedTokens}
	active := c.post(ctx, engineInput{input: attempt.Opened{
		Attempt: call.Attempt, Echo: stream.Attempt, Incarnation: stream.Incarnation, Weights: stream.Weights,
	}})
	for active {
		chunk, err := stream.Next()
		active = c.post(ctx, engineInput{input: streamInput(call.Attempt, chunk, err), chunk: chunk}) && err == nil
		if err == nil && chunk.End {
			stream.SkipRest()
			break
		}
	}
	return report
}

// post sends an input to the goroutine that runs the completion, and reports
// whether it was received; it isn't if the attempt was abandoned.
func (c *completion) post(ctx context.Context, r engineInput) bool {
	select {
	case c.received <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

// streamInput converts the result of reading a stream to an input.
func streamInput(id string, chunk upstream.Chunk, err error) attempt.Input {
	switch {
	case err != nil:
		return attempt.Failed{Attempt: id, Cause: causeOf(err)}
	case chunk.End:
		return attempt.End{Attempt: id}
	}
	return attempt.Token{Attempt: id, Position: chunk.Position}
}

// causeOf classifies an error of package upstream.
func causeOf(err error) attempt.Cause {
	var notStarted *upstream.NotStarted
	var rejected *upstream.Rejected
	switch {
	case errors.As(err, &notStarted):
		return attempt.NotStarted
	case errors.As(err, &rejected):
		return attempt.Rejected
	case errors.Is(err, upstream.ErrWrongAttempt):
		return attempt.WrongAttempt
	case errors.Is(err, upstream.ErrMissingEnd):
		return attempt.MissingEnd
	case errors.Is(err, upstream.ErrReported):
		return attempt.ErrorEvent
	case trace.IsBadParameter(err):
		return attempt.Malformed
	}
	return attempt.ConnectionFailed
}

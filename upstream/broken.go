package upstream

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
)

// brokenError is the error of a connection that ended before the head of an answer.
type brokenError struct{ error }

// Unwrap returns the transport's error.
func (b brokenError) Unwrap() error { return b.error }

// isBroken reports whether a call failed with its connection, and not since it was cancelled.
func isBroken(ctx context.Context, err error) bool {
	var broken brokenError
	return errors.As(err, &broken) && ctx.Err() == nil
}

// answerBody is the body of an answer that tells when its connection breaks.
type answerBody struct {
	io.ReadCloser

	ctx      context.Context
	closed   atomic.Bool
	onBroken func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.closed.Load() && b.ctx.Err() == nil {
		b.onBroken()
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.closed.Store(true)
	return b.ReadCloser.Close()
}

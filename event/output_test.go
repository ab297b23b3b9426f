package event_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(b)
}

func (g *gate) lines(part string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Count(g.b.String(), part)
}

// TestBlockedOutput checks that logging never blocks while the output is blocked,
// and that few of the lines are queued.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	defer event.Discard()
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	g := &gate{open: make(chan struct{})}
	event.WriteTo(ctx, &wait, g)
	const flood = 20_000
	for i := range flood {
		event.CallEnded.Info("Request", i)
	}
	close(g.open)
	cancel()
	wait.Wait()
	written := g.lines("call ended")
	is.True(written > 0)
	is.True(written < flood/5)
}

// TestErrorLine checks that an error is written once.
func TestErrorLine(t *testing.T) {
	is := is.New(t)
	defer event.Discard()
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	g := &gate{open: make(chan struct{})}
	close(g.open)
	event.WriteTo(ctx, &wait, g)
	event.StoreUnreachable.Error(errors.New("no answer"), "Topic", "Operator")
	cancel()
	wait.Wait()
	is.Equal(g.lines("store lost"), 1)
}

// TestLineIsBounded checks that an error that quotes a long input gives a short line.
func TestLineIsBounded(t *testing.T) {
	is.New(t).True(len(event.Line(errors.New(strings.Repeat("9", 1<<20)))) <= 1000)
}

package gateway_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/settings"
)

// TestUnanswered brings a request to each state and lets it end.
func TestUnanswered(t *testing.T) {
	stream := post(chat, `{"model":"matcher","stream":true,"messages":[{"role":"user","content":"pair"}]}`, "X-Request-Id: one")
	for _, tt := range []struct {
		name       string
		sent, rest string
		state      gateway.State
		request    string
	}{
		{"first byte", stream[:1], stream[1:], gateway.Arriving, ""},
		{"part of the body", stream[:len(stream)-1], stream[len(stream)-1:], gateway.Arriving, ""},
		{"call", post("/services/approvals/a", "{}", "X-Request-Id: one", "X-Repeatable: true"), "", gateway.Running, "one"},
		{"stream", stream, "", gateway.Streaming, "one"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newRunner()
			f.hold = make(chan struct{})
			g := startGateway(t, f)
			is.Equal(g.CountUnanswered(), 0)
			conn, err := net.Dial("tcp", g.Address())
			is.NoErr(err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, tt.sent)
			is.NoErr(err)
			awaitUnanswered(t, g, func(list []gateway.Unanswered) bool { return len(list) == 1 && list[0].State == tt.state })
			u := g.Unanswered()[0]
			is.Equal(u.Request, tt.request)
			is.Equal(u.Caller, conn.LocalAddr().String())
			is.Equal(g.CountUnanswered(), 1)
			_, err = io.WriteString(conn, tt.rest)
			is.NoErr(err)
			close(f.hold)
			awaitUnanswered(t, g, func(list []gateway.Unanswered) bool { return len(list) == 0 })
		})
	}
}

// startGateway is like start and returns the gateway.
func startGateway(t *testing.T, f *fakeRunner) *gateway.Gateway {
	t.Helper()
	s := settings.Default()
	s.Listen.Callers = "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	g, err := gateway.New(ctx, &wait, gateway.Options{
		Allotment: machine, Bodies: newBodies(),
		Settings: s, Runner: f, Directory: f, Metrics: tally.NoopScope,
		Document: func() (document.Document, bool) { return testDocument, true },
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return g
}

// awaitUnanswered waits until the gateway's unanswered requests meet a condition.
func awaitUnanswered(t *testing.T, g *gateway.Gateway, holds func([]gateway.Unanswered) bool) {
	t.Helper()
	for deadline := time.Now().Add(answerLimit); !holds(g.Unanswered()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("unanswered: %v", g.Unanswered())
		}
	}
}

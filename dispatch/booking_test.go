package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/claimlog"
	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// noPeers makes each router own every claim stream.
type noPeers struct{}

func (noPeers) Entries() []registry.Host                    { return nil }
func (noPeers) Conn(context.Context, string) drpc.Conn      { return nil }
func (noPeers) Context(ctx context.Context) context.Context { return ctx }

// bookingSession records the messages of a caller, a plain service and the log.
type bookingSession struct {
	t       *testing.T
	log     *standin.Log
	callers []string
	caller  strings.Builder
	// mu guards the fields below.
	mu      sync.Mutex
	service strings.Builder
	// breakNext makes the service break the next connection after it has run
	// the request.
	breakNext bool
}

// newBookingSession starts routers with a service and a log behind them.
func newBookingSession(t *testing.T, routers int) *bookingSession {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	b := &bookingSession{t: t}
	var wait conc.WaitGroup
	var err error
	b.log, err = standin.NewLog(ctx, "127.0.0.1:0")
	is.NoErr(err)
	service := httptest.NewServer(http.HandlerFunc(b.serve))
	doc := document.Document{
		Capacity: document.Capacity{Pools: []document.Pool{{Name: "desk", Kind: document.ServicePool, Upstreams: []document.Upstream{
			{Name: "desk-1", Address: strings.TrimPrefix(service.URL, "http://")},
		}}}},
		Accounts: document.Accounts{Accounts: []document.Account{{Name: "mill", KeyHash: document.HashKey("key")}}},
	}
	conf := settings.Default()
	conf.Listen.Callers = "127.0.0.1:0"
	for i := range routers {
		claims := claimlog.New(ctx, &wait, claimlog.Options{
			Host: fmt.Sprint("host-", i+1), Log: registry.NewLog(b.log.URL()), Directory: noPeers{}, Peers: noPeers{},
		})
		runner := dispatch.New(dispatch.Options{
			Client: upstream.NewClient(), Admit: admission.New(admission.Options{}), Claims: claims,
			Leaving: func(string) bool { return false },
		})
		g, err := gateway.New(ctx, &wait, gateway.Options{
			Allotment: machine, Bodies: newBodies(),
			Settings: conf, Runner: runner, Metrics: tally.NoopScope,
			Document: func() (document.Document, bool) { return doc, true },
		})
		is.NoErr(err)
		b.callers = append(b.callers, "http://"+g.Address())
	}
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
		service.Close()
		wait.Wait()
	})
	return b
}

// serve handles the requests to the plain service.
func (b *bookingSession) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(&b.service, "> %s %s\n> Idempotency-Key: %s\n> X-Attempt-Id: %s\n> %s\n", r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), r.Header.Get("X-Attempt-Id"), body)
	if b.breakNext {
		b.breakNext = false
		b.service.WriteString("(runs; the connection breaks)\n\n")
		panic(http.ErrAbortHandler)
	}
	b.service.WriteString("< 200 OK\n< {\"Seat\":7}\n\n")
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, `{"Seat":7}`)
}

// send sends a booking to a router and records the answer.
func (b *bookingSession) send(router int, key, body string) {
	b.t.Helper()
	is := is.New(b.t)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.callers[router]+"/services/desk/book", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Idempotency-Key", key)
	fmt.Fprintf(&b.caller, "(to host-%d)\n> POST /services/desk/book\n> Idempotency-Key: %s\n> %s\n", router+1, key, body)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	answer, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	fmt.Fprintf(&b.caller, "< %s\n< %s\n\n", resp.Status, answer)
}

var (
	uuidPattern   = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	issuedPattern = regexp.MustCompile(`"IssuedMillis":\d+`)
)

// compare compares the session with its golden file.
func (b *bookingSession) compare(name string) {
	b.t.Helper()
	is := is.New(b.t)
	b.mu.Lock()
	defer b.mu.Unlock()
	all := "# The caller\n\n" + b.caller.String() + "# The service\n\n" + b.service.String() + "# The log\n\n"
	for stream := range claimlog.Streams {
		page, err := registry.NewLog(b.log.URL()).Read(context.Background(), fmt.Sprint("claims-", stream), 0, 0)
		is.NoErr(err)
		for _, r := range page.Records {
			all += fmt.Sprintf("%d %s\n", r.Offset, r.Data)
		}
	}
	ids := map[string]string{}
	got := uuidPattern.ReplaceAllStringFunc(all, func(id string) string {
		if ids[id] == "" {
			ids[id] = fmt.Sprint("id-", len(ids)+1)
		}
		return ids[id]
	})
	got = issuedPattern.ReplaceAllString(got, `"IssuedMillis":0`)
	path := "testdata/" + name + ".golden"
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// TestBookingSessions compares bookings that are retried at another router with
// golden files.
func TestBookingSessions(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	t.Run("repeated", func(t *testing.T) {
		b := newBookingSession(t, 2)
		b.send(0, key, `{"Row":1}`)
		b.send(1, key, `{"Row":1}`)
		b.send(1, key, `{"Row":2}`)
		b.compare("booking_repeated")
	})
	t.Run("answer lost", func(t *testing.T) {
		b := newBookingSession(t, 2)
		b.breakNext = true
		b.send(0, key, `{"Row":1}`)
		b.send(1, key, `{"Row":1}`)
		b.compare("booking_lost")
	})
}

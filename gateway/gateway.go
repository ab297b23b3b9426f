// Package gateway is the door for callers: an OpenAI-style HTTP interface,
// plain services under their own path, and the address answer.
package gateway

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// requestIDHeader names the request in the answer.
const requestIDHeader = "X-Request-Id"

// runner carries requests to their outcome.
type runner interface {
	Complete(ctx context.Context, doc document.Document, r request.Request, sink dispatch.Sink) *request.Failure
	Serve(ctx context.Context, doc document.Document, r request.Request) (upstream.Answer, *request.Failure)
}

// engines knows which weights engines serve.
type engines interface {
	// Ready returns how many engines of a pool serve a version.
	Ready(pool document.Pool, version string) int
}

// Options is what a gateway needs.
type Options struct {
	Settings settings.Settings
	// Document returns the configuration in force and whether there is one.
	Document  func() (document.Document, bool)
	Runner    runner
	Directory hosts
	Engines   engines
	Metrics   tally.Scope
}

// Gateway serves callers.
type Gateway struct {
	Options

	app      *fiber.App
	limited  *limitedListener
	stopping atomic.Bool
	open     atomic.Int64
}

// New listens for callers and serves them until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) (*Gateway, error) {
	plain, err := net.Listen("tcp", o.Settings.Listen.Callers)
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers")
	}
	limits := o.Settings.Limits
	idle := time.Duration(limits.IdleSeconds) * time.Second
	g := &Gateway{Options: o, limited: newLimitedListener(plain, wait, limits.Connections, idle)}
	g.app = fiber.New(fiber.Config{
		BodyLimit:      limits.BodyBytes,
		ReadBufferSize: limits.HeaderBytes,
		IdleTimeout:    idle,
		ReadTimeout:    idle,
		ErrorHandler:   g.handleError,
		// Values outlive the handler: streams go on after it returned.
		Immutable: true,
	})
	g.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	g.app.Get("/readyz", g.ready)
	g.app.Get("/v1/addresses", g.addresses)
	g.app.Get("/v1/models", g.models)
	g.app.Post("/v1/chat/completions", g.complete)
	g.app.Post("/v1/completions", g.complete)
	for _, method := range serviceMethods {
		g.app.Add([]string{method}, servicesPath+":service/*", g.serve)
	}
	server := g.app.Server()
	server.Handler = checkHeads(server.Handler)
	wait.Go(func() { _ = g.app.Listener(g.limited, fiber.ListenConfig{DisableStartupMessage: true}) })
	wait.Go(func() { g.measure(ctx) })
	wait.Go(func() {
		<-ctx.Done()
		_ = g.app.Shutdown()
	})
	return g, nil
}

// Address returns the IP:port that callers connect to.
func (g *Gateway) Address() string { return g.limited.Addr().String() }

// Stop makes the host leave the address answers; it still serves.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Open returns the number of requests that have not ended.
func (g *Gateway) Open() int64 { return g.open.Load() }

// ready tells whether callers should use this host.
func (g *Gateway) ready(c fiber.Ctx) error {
	if _, ok := g.Document(); !ok || g.stopping.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// identify names the request in its answer: by the caller's id if it can be
// logged, else by a new one.
func (g *Gateway) identify(c fiber.Ctx) {
	id := c.Get(requestIDHeader)
	if id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		id = uuid.NewString()
	}
	c.Set(requestIDHeader, id)
}

// begin authenticates a caller and returns the configuration that the
// request uses from start to end.
func (g *Gateway) begin(c fiber.Ctx) (document.Document, document.Account, *request.Failure) {
	g.identify(c)
	doc, ok := g.Document()
	if !ok {
		return doc, document.Account{}, request.Refuse(request.NotReady, "this host has no configuration yet").WithRetryAfter(time.Second)
	}
	account, failure := authenticate(doc, c.Get(fiber.HeaderAuthorization))
	return doc, account, failure
}

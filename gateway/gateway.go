// Package gateway is the HTTP server for callers. It serves an OpenAI-style
// interface, plain services under their own path, and the list of hosts to
// connect to.
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
	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/intake"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// RequestIDHeader carries the request ID in requests and answers.
const RequestIDHeader = "X-Request-Id"

// BodyCopies is how many copies of its body a request holds at most: as it came, as it is
// sent to engines, and as text.
const BodyCopies = 3

// minBacklog is the least number of connections that may wait to be accepted.
const minBacklog = 32

// runner executes requests.
type runner interface {
	Complete(ctx context.Context, doc document.Document, r request.Request, sink dispatch.Sink) *request.Failure
	Serve(ctx context.Context, doc document.Document, r request.Request) (upstream.Answer, *request.Failure)
}

// readyCounter counts the engines that serve a weights version.
type readyCounter interface {
	// Ready returns how many engines of a pool serve a weights version.
	Ready(pool document.Pool, version string) int
}

// Options configures a gateway.
type Options struct {
	Settings settings.Settings
	// Document returns the current configuration and whether there is one.
	Document  func() (document.Document, bool)
	Runner    runner
	Directory hostDirectory
	Engines   readyCounter
	// Allotment is what clients may make the host hold.
	Allotment intake.Allotment
	// Bodies takes in the bodies of requests.
	Bodies  *ingress.Bodies
	Metrics tally.Scope
}

// Gateway serves callers.
type Gateway struct {
	Options

	app          *fiber.App
	listener     *ingress.Listener
	stopping     atomic.Bool
	openRequests atomic.Int64
	unanswered   requestTable
}

// New listens for callers and serves them until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) (*Gateway, error) {
	limits := o.Settings.Limits
	idle := time.Duration(limits.IdleSeconds) * time.Second
	connections := min(limits.Connections, o.Allotment.Connections)
	listener, err := ingress.Listen(ingress.Options{
		Address: o.Settings.Listen.Callers, Connections: connections, ReceiveBytes: o.Allotment.ReceiveBytes, Backlog: max(minBacklog, connections/intake.BacklogDivisor),
		Refusal: connectionRefusal(), WriteTimeout: idle, Metrics: o.Metrics,
	})
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers")
	}
	g := &Gateway{Options: o, listener: listener, unanswered: requestTable{entries: map[net.Conn]entry{}}}
	g.app = fiber.New(fiber.Config{
		BodyLimit:         ingress.PrefetchBytes,
		StreamRequestBody: true,
		ReduceMemoryUsage: true,
		Concurrency:       connections + closingConnections,
		ReadBufferSize:    limits.HeaderBytes,
		IdleTimeout:       idle,
		ReadTimeout:       idle,
		ErrorHandler:      g.handleError,
		// Values outlive the handler, since streams continue after it returns.
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
	server.Handler = g.closeWhileStopping(g.Bodies.Handler(limits.BodyBytes, checkHeaders(server.Handler), g.refuseBody))
	server.HeaderReceived = ingress.LimitHead(func() int { return limits.BodyBytes })
	server.ConnState = g.recordState
	wait.Go(func() { _ = g.app.Listener(g.listener, fiber.ListenConfig{DisableStartupMessage: true}) })
	wait.Go(func() { g.updateGauges(ctx) })
	wait.Go(func() {
		<-ctx.Done()
		_ = g.app.Shutdown()
	})
	return g, nil
}

// Address returns the IP:port that callers connect to.
func (g *Gateway) Address() string { return g.listener.Addr().String() }

// MarkStopping makes the host report not ready and close each connection with its
// next answer, so that callers choose other hosts. The gateway still serves requests.
func (g *Gateway) MarkStopping() { g.stopping.Store(true) }

// OpenRequests returns the number of requests that have arrived and have not ended.
func (g *Gateway) OpenRequests() int64 { return g.openRequests.Load() }

// CountUnanswered returns the number of requests of which something was read and that have
// no whole answer yet. It includes those that are still arriving.
func (g *Gateway) CountUnanswered() int { return g.unanswered.count() }

// Unanswered returns the requests that CountUnanswered counts, the oldest one first.
func (g *Gateway) Unanswered() []Unanswered { return g.unanswered.list() }

// ready reports whether callers should use this host.
func (g *Gateway) ready(c fiber.Ctx) error {
	if _, ok := g.Document(); !ok || g.stopping.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// identify sets the request ID of the answer: the caller's ID if it is safe to
// log, otherwise a new one.
func (g *Gateway) identify(c fiber.Ctx) {
	c.Set(RequestIDHeader, requestID(c.Get(RequestIDHeader)))
}

// requestID returns the caller's ID of a request if it is safe to log, otherwise a new one.
func requestID(id string) string {
	if id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return uuid.NewString()
	}
	return strings.Clone(id)
}

// authenticateCaller authenticates the caller and returns its account and the
// configuration that the request uses from start to end.
func (g *Gateway) authenticateCaller(c fiber.Ctx) (document.Document, document.Account, *request.Failure) {
	g.identify(c)
	doc, ok := g.Document()
	if !ok {
		return doc, document.Account{}, request.Refuse(request.NotReady, "this host has no configuration yet").WithRetryAfter(time.Second)
	}
	account, failure := authenticate(doc, c.Get(fiber.HeaderAuthorization))
	return doc, account, failure
}

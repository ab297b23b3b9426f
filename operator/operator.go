// Package operator serves operators over HTTP: configuration, audit trail,
// status, metrics and planned stops.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/intake"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/revision"
	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/settings"
)

// editorTimeout bounds a call of the editor, such as the wait for an edit's
// result.
const editorTimeout = 10 * time.Second

const (
	// minConnections is the least limit of open connections; closingConnections may be closing
	// when the server counts them, but not the listener.
	minConnections, closingConnections = 16, 64
	// readTimeout limits reading one call, idleTimeout how long an idle connection stays open,
	// and each write.
	readTimeout, idleTimeout = 30 * time.Second, time.Minute
)

// editor publishes edits and returns the configuration in force.
type editor interface {
	State() document.State
	Publish(ctx context.Context, e document.Edit) (document.EditResult, error)
	Outcome(ctx context.Context, id string) (document.EditResult, error)
	Body(ctx context.Context, section document.Section, revision int64) (document.Body, error)
	Status() revision.Status
}

// directory lists the entry hosts.
type directory interface {
	Entries() []registry.Host
}

// statusSource returns the statuses of engines.
type statusSource interface {
	Status(name string) engine.Status
}

// Options configures a Server.
type Options struct {
	Settings  settings.Settings
	Secret    settings.Secret
	Editor    editor
	Directory directory
	Engines   statusSource
	// Allotment is what clients may make the host hold.
	Allotment intake.Allotment
	// Bodies takes in the bodies of calls.
	Bodies *ingress.Bodies
	// Scope receives the metrics of the listener.
	Scope tally.Scope
	// Metrics serves the metrics endpoint.
	Metrics http.Handler
	// Rollouts returns the progress of the orders to each pool.
	Rollouts func() []rollout.Progress
	// Stop begins a planned stop of this host.
	Stop func()
}

// Server is the HTTP server for operators.
type Server struct {
	Options

	app      *fiber.App
	listener *ingress.Listener
}

// New listens for operators and serves them until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) (*Server, error) {
	connections := max(minConnections, o.Allotment.Connections/intake.ChecksDivisor)
	listener, err := ingress.Listen(ingress.Options{
		Address: o.Settings.Listen.Operators, Connections: connections, ReceiveBytes: o.Allotment.ReceiveBytes, Backlog: max(minConnections, connections/intake.BacklogDivisor),
		Refusal: connectionRefusal(), WriteTimeout: idleTimeout, Metrics: o.Scope,
	})
	if err != nil {
		return nil, trace.Wrap(err, "listening for operators")
	}
	s := &Server{Options: o, listener: listener, app: fiber.New(fiber.Config{
		ErrorHandler: handleError, Immutable: true, BodyLimit: ingress.PrefetchBytes, StreamRequestBody: true, ReduceMemoryUsage: true,
		Concurrency: connections + closingConnections, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	})}
	s.app.Get("/metrics", adaptor.HTTPHandler(o.Metrics))
	api := s.app.Group("/operator", s.authenticate)
	api.Get("/sections/:section", s.show)
	api.Post("/edits", s.publish)
	api.Get("/edits/:id", s.editResult)
	api.Get("/audit", s.audit)
	api.Get("/status", s.status)
	api.Post("/drain", s.drain)
	server := s.app.Server()
	server.Handler = s.Bodies.Handler(maxBodyBytes, server.Handler, refuseBody)
	server.HeaderReceived = ingress.LimitHead(func() int { return maxBodyBytes })
	server.ConnState = ingress.RecordState
	wait.Go(func() { _ = s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) })
	wait.Go(func() {
		<-ctx.Done()
		_ = s.app.Shutdown()
	})
	return s, nil
}

// Address returns the IP:port that operators connect to.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Problem is the JSON body of an error response.
type Problem struct {
	Message string
	// Unknown reports whether the call may have taken effect.
	Unknown bool
}

func handleError(c fiber.Ctx, err error) error {
	status := trace.ErrorToCode(err)
	if e, ok := err.(*fiber.Error); ok { //nolint:errorlint // fiber returns it unwrapped.
		status = e.Code
	}
	return c.Status(status).JSON(Problem{Message: trace.UserMessage(err), Unknown: trace.IsConnectionProblem(err)})
}

// authenticate rejects requests without the operators' secret.
func (s *Server) authenticate(c fiber.Ctx) error {
	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.Secret.Reveal())) != 1 {
		return trace.AccessDenied("the operator's secret is wrong")
	}
	return c.Next()
}

// SectionAnswer holds a section's body and its revision.
type SectionAnswer struct {
	Section  document.Section
	Revision int64
	Body     string
}

// show returns the section in force, or the accepted revision given by the query
// parameter Revision.
func (s *Server) show(c fiber.Ctx) error {
	state := s.Editor.State()
	section := document.Section(c.Params("section"))
	if !slices.Contains(document.Sections(), section) {
		return trace.NotFound("there is no section %q", section)
	}
	body, _ := state.Body(section)
	if requested := c.Query("Revision"); requested != "" {
		number, err := strconv.ParseInt(requested, 10, 64)
		if err != nil {
			return trace.BadParameter("revision %q is not a number", requested)
		}
		ctx, cancel := context.WithTimeout(context.Background(), editorTimeout)
		defer cancel()
		if body, err = s.Editor.Body(ctx, section, number); err != nil {
			return trace.NotFound("%s", trace.UserMessage(err))
		}
	}
	return c.JSON(SectionAnswer{section, body.Revision, body.Text})
}

func (s *Server) publish(c fiber.Ctx) error {
	var e document.Edit
	if err := c.Bind().JSON(&e); err != nil {
		return trace.BadParameter("the edit can't be read: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), editorTimeout)
	defer cancel()
	result, err := s.Editor.Publish(ctx, e)
	if err != nil {
		return err
	}
	return c.JSON(result)
}

func (s *Server) editResult(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), editorTimeout)
	defer cancel()
	result, err := s.Editor.Outcome(ctx, c.Params("id"))
	if err != nil {
		return err
	}
	return c.JSON(result)
}

func (s *Server) audit(c fiber.Ctx) error {
	return c.JSON(struct{ Verdicts []document.EditResult }{s.Editor.State().Verdicts})
}

// StatusAnswer is the state of the system as this host sees it.
type StatusAnswer struct {
	Host     string
	Position int64
	// Configuration reports whether the position is known to be current.
	Configuration revision.Status
	Hosts         []registry.Host
	Engines       []EngineStatus
	Rollouts      []rollout.Progress
}

// EngineStatus is the status of an engine as this host sees it.
type EngineStatus struct {
	Pool string
	Name string
	engine.Status
}

func (s *Server) status(c fiber.Ctx) error {
	doc := s.Editor.State().Document
	answer := StatusAnswer{Host: s.Settings.Host.Name, Position: doc.Position, Configuration: s.Editor.Status(), Hosts: s.Directory.Entries(), Rollouts: s.Rollouts()}
	for _, p := range doc.Capacity.Pools {
		if p.Kind != document.EnginePool {
			continue
		}
		for _, u := range p.Upstreams {
			answer.Engines = append(answer.Engines, EngineStatus{p.Name, u.Name, s.Engines.Status(u.Name)})
		}
	}
	return c.JSON(answer)
}

func (s *Server) drain(c fiber.Ctx) error {
	s.Stop()
	return c.JSON(struct{ Stopping bool }{true})
}

// Package standin implements small stand-ins for parts of the platform, such as
// engines, plain services, stores and the host list. They speak the same HTTP
// interfaces as the real ones and support fault injection, over HTTP or from
// Go.
package standin

import (
	"context"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
)

// Server is a stand-in's HTTP server.
type Server struct {
	app      *fiber.App
	listener net.Listener
	wait     conc.WaitGroup
	served   chan struct{}
}

// newServer serves an app on an address until the context ends.
func newServer(ctx context.Context, address string, app *fiber.App) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	s := &Server{app: app, listener: listener, served: make(chan struct{})}
	s.wait.Go(func() {
		defer close(s.served)
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	s.wait.Go(func() {
		select {
		case <-ctx.Done():
		case <-s.served:
		}
		_ = listener.Close()
	})
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Wait returns when the server has stopped.
func (s *Server) Wait() { s.wait.Wait() }

// callHeader holds the ID of a call, which its answer repeats.
const callHeader = "X-Call-Id"

// newApp returns an app that accepts large bodies and repeats the ID of a call in its
// answer. Its values are immutable, since the stand-ins retain them after a call has ended.
func newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: 64 << 20, Immutable: true})
	app.Use(func(c fiber.Ctx) error {
		if id := c.Get(callHeader); id != "" {
			c.Set(callHeader, id)
		}
		return c.Next()
	})
	return app
}

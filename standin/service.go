package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// ServiceFaults are the faults that a test or a person injects into a plain
// service.
type ServiceFaults struct {
	// SlowMillis delays every answer.
	SlowMillis int
	// CutAnswers is how many of the next calls are executed without being
	// answered.
	CutAnswers int
	// Leaving rejects new calls as not started.
	Leaving bool
}

// Service stands in for a plain service, for example one for bookings or
// approvals. It counts the executions of each idempotency key.
type Service struct {
	*Server

	name string
	// mu guards the fields below.
	mu     sync.Mutex
	runs   map[string]int
	total  int
	faults ServiceFaults
}

// NewService serves a plain service on an address until the context ends.
func NewService(ctx context.Context, address, name string) (*Service, error) {
	s := &Service{name: name, runs: map[string]int{}}
	app := newApp()
	app.Post("/faults", s.setFaults)
	app.Get("/counts", s.counts)
	app.All("/*", s.run)
	var err error
	s.Server, err = newServer(ctx, address, app)
	return s, err
}

// Runs returns how often each idempotency key was executed.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

func (s *Service) setFaults(c fiber.Ctx) error {
	var f ServiceFaults
	if err := c.Bind().JSON(&f); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	return c.JSON(f)
}

func (s *Service) counts(c fiber.Ctx) error {
	return c.JSON(struct{ Runs map[string]int }{s.Runs()})
}

func (s *Service) run(c fiber.Ctx) error {
	f := s.takeFaults()
	c.Set("X-Attempt-Id", c.Get("X-Attempt-Id"))
	if f.Leaving {
		c.Set("X-Not-Started", "true")
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	key := c.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	s.total++
	number := s.total
	s.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if f.CutAnswers > 0 {
		return c.RequestCtx().Conn().Close()
	}
	return c.JSON(struct {
		Service string
		Number  int
		Path    string
	}{s.name, number, c.Path()})
}

// takeFaults returns the faults for one call and counts CutAnswers down.
func (s *Service) takeFaults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.faults.CutAnswers > 0 {
		s.faults.CutAnswers--
	}
	return f
}

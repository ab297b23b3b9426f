package forward

import (
	"context"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

const (
	// moveTimeout bounds moving one run; the memory of a long prompt takes
	// some 30 ms, behind those of other runs of the engine.
	moveTimeout = 1500 * time.Millisecond
	// leastMoved is how many tokens an answer may still have at least to be
	// worth moving: about a second of work.
	leastMoved = 200
	// maxMoves bounds the moves of one run.
	maxMoves = 3
)

// mover moves running requests between engines.
type mover interface {
	// Move stops the run of a call at an engine and copies its memory to
	// another. An error means that the run may have been stopped.
	Move(ctx context.Context, address, instance, id, target string) (call.Migration, error)
}

// move is one run on its way from one engine to another.
type move struct {
	from, to target
	// done closes when moved and err are set.
	done  chan struct{}
	moved call.Migration
	err   error
}

// Clear moves what runs at an engine to others, so that it can load weights
// soon without waiting for long answers to end.
func (r *Router) Clear(engine string) {
	r.mu.Lock()
	streams := make([]*stream, 0, len(r.streams[engine]))
	for s := range r.streams[engine] {
		streams = append(streams, s)
	}
	r.mu.Unlock()
	for _, s := range streams {
		s.clear()
	}
}

// enter notes that a stream runs at an engine.
func (r *Router) enter(engine string, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[engine] == nil {
		r.streams[engine] = map[*stream]struct{}{}
	}
	r.streams[engine][s] = struct{}{}
}

// leave notes that a stream no longer runs at an engine.
func (r *Router) leave(engine string, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams[engine], s)
	if len(r.streams[engine]) == 0 {
		delete(r.streams, engine)
	}
}

// attach sets the attempt whose answer the stream passes on; nil for none.
func (s *stream) attach(a *attempt) {
	s.lock.Lock()
	before := s.attempt
	s.attempt = a
	s.lock.Unlock()
	if before != nil {
		s.leave(before.id, s)
	}
	if a != nil {
		s.enter(a.id, s)
	}
}

// clear begins to move the stream's run elsewhere, if that is worth it.
func (s *stream) clear() {
	if s.service.Engine == nil || !s.service.Engine.Moves || s.call.Prompt.MaxOutput < leastMoved {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.move != nil || s.attempt == nil || s.moves >= maxMoves {
		return
	}
	to, ok := s.another(s.attempt.target)
	if !ok {
		return
	}
	s.moves++
	m := &move{from: s.attempt.target, to: to, done: make(chan struct{})}
	s.move = m
	s.Background.Go(func() { s.carry(m) })
}

// carry moves the run.
func (s *stream) carry(m *move) {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(s.ctx, moveTimeout)
	defer cancel()
	began, reason := clock.Now(), ""
	if m.moved, m.err = s.Mover.Move(ctx, m.from.address, m.from.id, s.call.ID, m.to.address); m.err != nil {
		reason = m.err.Error()
	}
	event.RunMoved.Info("Request", s.call.ID, "From", m.from.id, "To", m.to.id, "Stopped", m.moved.MemoryHandle != "", "Arrived", m.moved.Transferred,
		"Millis", clock.Now().Sub(began).Milliseconds(), "Reason", reason)
}

// another chooses the engine that a run moves to: one with the same weights
// that has least to do.
func (s *stream) another(from target) (target, bool) {
	book := s.Knowledge.Book()
	sites := slices.DeleteFunc(s.usable(book, s.service, s.call.Prompt.Model, func(id string) bool { return id == from.id }), func(o site) bool {
		return o.weights != from.send.Weights
	})
	source, _ := book.Roster.Entry(from.id)
	prompt := s.call.Prompt
	candidates := make([]allocation.Candidate, len(sites))
	for i, o := range sites {
		candidates[i] = allocation.Candidate{
			ID: o.ID, Running: o.load.Running, Ahead: o.load.Ahead(from.rank), Waiting: o.load.Ahead(loadreport.Ranks), Slots: o.Slots, Connected: s.Sender.Idle(o.Address),
			Near: o.FailureDomain == source.FailureDomain,
		}
	}
	need := allocation.Need{Objective: s.route.Gap, Output: prompt.MaxOutput, Worth: allocation.Worth(prompt.Input, prompt.MaxOutput), Bytes: tokenBytes * prompt.MaxOutput}
	i := allocation.Choose(candidates, need, s.call.ID)
	if i < 0 {
		return target{}, false
	}
	to := target{id: sites[i].ID, address: sites[i].Address, rank: from.rank, send: from.send}
	to.send.Instance, to.send.FetchFrom, to.send.SaveTo = to.id, "", ""
	return to, true
}

// moved waits for the end of a move, and returns where the run goes on; false
// if it was not moved.
func (s *stream) moved() (target, bool) {
	s.lock.Lock()
	m := s.move
	s.move = nil
	s.lock.Unlock()
	if m == nil {
		return target{}, false
	}
	select {
	case <-m.done:
	case <-s.ctx.Done():
		return target{}, false
	}
	if m.err != nil || m.moved.MemoryHandle == "" {
		return target{}, false
	}
	to := m.to
	if !m.moved.Transferred {
		to = m.from
	}
	to.send.MemoryHandle = m.moved.MemoryHandle
	return to, true
}

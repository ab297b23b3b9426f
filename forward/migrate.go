package forward

import (
	"cmp"
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

const (
	// migrationTimeout bounds how long a stream whose engine has stopped it waits for
	// its memory, from the start of the migration, before it is read in elsewhere.
	// Copying the memory of a long prompt takes some 30 ms, and waits for the copies
	// of other requests of the engine.
	migrationTimeout = 1500 * time.Millisecond
	// lateMigrationTimeout is the least such wait: an engine that was silent carries
	// the migration out when it wakes.
	lateMigrationTimeout = 500 * time.Millisecond
	// orphanTimeout is how long a host waits, after the end of a stream, for the
	// result of its migration, to free the copy. Sound engines fall silent for a
	// second or so.
	orphanTimeout = 3 * time.Second
	// freeTimeout bounds the call that frees a copy.
	freeTimeout = 2 * time.Second
	// copyTimeout bounds the copies that are made before a request stops. Sound engines fall
	// silent for a second or so.
	copyTimeout = 3 * time.Second
	// idleCheck is how long a check whether an engine is silent takes.
	idleCheck = time.Millisecond
	// minMigratedTokens is the answer limit in tokens from which a request is
	// worth a migration: about a second of work.
	minMigratedTokens = 200
	// maxMigrations bounds the migrations of one request, maxMigrationTargets the
	// engines that one migration tries: some have no room.
	maxMigrations       = 3
	maxMigrationTargets = 3
)

// migrator moves running requests between engines.
type migrator interface {
	// Copy copies the memory of a call at an engine to another, while the call goes on.
	Copy(ctx context.Context, address, instance, id, target string) (call.Migration, error)
	// Move stops a call at an engine and copies its memory to another. After an
	// error, the call may have been stopped.
	Move(ctx context.Context, address, instance, id, target string) (call.Migration, error)
	// Free frees the memory that a call left, at both engines.
	Free(ctx context.Context, instance string, m call.Migration) error
}

// migration is a move of a running request from one engine to another. An engine that is
// silent carries it out when it wakes, however much later: it is never given up as long
// as the request may still run there.
type migration struct {
	source  *attempt
	started clock.Instant
	// to is the engine that has a copy of the memory, copied names that.
	to     target
	copied call.Migration
	// done closes when moved and err are set.
	done  chan struct{}
	moved call.Migration
	err   error
	// settled closes once another attempt serves the stream; used is set before if that
	// goes on with the copy of the memory.
	settled chan struct{}
	used    bool
}

// Evacuate migrates the requests that run at an engine to others, so that it
// can load weights soon without waiting for long answers to end.
func (r *Router) Evacuate(engine string) {
	r.mu.Lock()
	streams := make([]*stream, 0, len(r.streams[engine]))
	for s := range r.streams[engine] {
		streams = append(streams, s)
	}
	r.mu.Unlock()
	for _, s := range streams {
		s.evacuate()
	}
}

// addStream records that a stream runs at an engine.
func (r *Router) addStream(engine string, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[engine] == nil {
		r.streams[engine] = map[*stream]struct{}{}
	}
	r.streams[engine][s] = struct{}{}
}

// removeStream records that a stream no longer runs at an engine.
func (r *Router) removeStream(engine string, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams[engine], s)
	if len(r.streams[engine]) == 0 {
		delete(r.streams, engine)
	}
}

// setAttempt sets the attempt whose answer the stream relays; nil for none.
func (s *stream) setAttempt(a *attempt) {
	s.lock.Lock()
	previous := s.attempt
	s.attempt = a
	if m := s.migration; m != nil && a != nil && a != m.source {
		// At the source, a request does not go on with the copy that was made elsewhere.
		m.used = a.send.MemoryHandle != "" && (a.id == m.to.id || !m.moved.Transferred)
		close(m.settled)
		s.migration = nil
	}
	s.lock.Unlock()
	if previous != nil {
		s.removeStream(previous.id, s)
	}
	if a != nil {
		s.addStream(a.id, s)
	}
}

// evacuate starts to migrate the stream's request, if it is worth a migration.
func (s *stream) evacuate() {
	if s.service.Engine == nil || !s.service.Engine.SupportsMigration || s.call.Prompt.MaxOutput < minMigratedTokens {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.copying || s.migration != nil || s.attempt == nil || s.migrations >= maxMigrations || !s.hasTimeToMove(s.attempt) {
		return
	}
	s.copying = true
	source := s.attempt
	s.Background.Go(func() { s.migrate(source) })
}

// hasTimeToMove reports whether the memory of an attempt can arrive in time. A stream that
// may not be resumed could not go on if it arrived too late.
func (s *stream) hasTimeToMove(source *attempt) bool {
	return s.Stop().HasTime(migrationTimeout, clock.Now()) && (s.route.Resumable || s.timeToBegin(source.target) >= migrationTimeout)
}

// migrate moves the request. It goes on at its engine until another one has its memory: what
// has stopped can't be given back if its engine loads meanwhile.
func (s *stream) migrate(source *attempt) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	defer cancel()
	defer context.AfterFunc(s.ctx, func() { time.AfterFunc(orphanTimeout, cancel) })()
	defer context.AfterFunc(s.Lifetime, cancel)()
	to, copied, ok := s.copySomewhere(ctx, source)
	if !ok {
		s.endCopying()
		return
	}
	// Requests on their way to an engine count as running there, so that those which leave an
	// engine together spread.
	defer s.countArriving(to.id, -1)
	m, ok := s.beginMove(source, to, copied)
	if !ok {
		s.free(source, to, copied)
		return
	}
	s.move(ctx, m)
	close(m.done)
	if m.err == nil {
		select {
		case <-m.settled:
		case <-s.ctx.Done():
		}
	}
	if !s.endMove(m) {
		s.free(source, to, cmp.Or(m.moved, copied))
	}
}

// endCopying ends the copying before a migration.
func (s *stream) endCopying() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.copying = false
}

// endMove reports whether the stream went on with the memory of a migration that has ended.
// One whose run went on at its engine may migrate again.
func (s *stream) endMove(m *migration) (used bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.migration == m && m.err != nil {
		s.migration = nil
	}
	return m.used
}

// copySomewhere copies the memory of an attempt to an engine that has room for it. The engine
// counts as one to which the request is on its way.
func (s *stream) copySomewhere(ctx context.Context, source *attempt) (to target, copied call.Migration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	full := map[string]bool{}
	for len(full) < maxMigrationTargets && !source.ended.Load() && ctx.Err() == nil {
		if to, ok = s.migrationTarget(source.target, full); !ok {
			break
		}
		s.countArriving(to.id, 1)
		started := clock.Now()
		var err error
		if copied, err = s.Migrator.Copy(ctx, source.address, source.id, s.call.ID, to.address); err == nil {
			return to, copied, true
		}
		s.countArriving(to.id, -1)
		event.RequestMigrated.Info("Request", s.call.ID, "From", source.id, "To", to.id, "Stopped", false, "Arrived", false,
			"Millis", clock.Now().Sub(started).Milliseconds(), "Reason", event.Line(err))
		full[to.id] = true
	}
	return target{}, call.Migration{}, false
}

// beginMove begins the migration of an attempt whose memory was copied, if it still runs and
// the other engine takes requests. Another attempt may be in progress beside it.
func (s *stream) beginMove(source *attempt, to target, copied call.Migration) (m *migration, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.copying = false
	replaced := s.attempt != nil && s.attempt != source
	if replaced || source.ended.Load() || !s.hasTimeToMove(source) || !s.accepts(to) {
		return nil, false
	}
	s.migrations++
	m = &migration{source: source, started: clock.Now(), to: to, copied: copied, done: make(chan struct{}), settled: make(chan struct{})}
	s.migration = m
	source.moving.Store(true)
	return m, true
}

// accepts reports whether an engine that has a copy of the memory goes on with the request,
// as far as is known. Failures of other requests don't matter: the copy has a slot there.
func (s *stream) accepts(to target) bool {
	now, state := clock.Now(), s.Tracker.State(to.id)
	entry, known := s.Replica.State().Upstreams.Entry(to.id)
	return known && !entry.Leaving && !state.Leaving(now) && !now.Before(state.LoadingUntil) && !s.Liveness.Silent()[to.id]
}

// move asks the engine to stop the request and to copy what its copy lacks. If that fails,
// the copy still has what was sent before.
func (s *stream) move(ctx context.Context, m *migration) {
	reason := ""
	if m.moved, m.err = s.Migrator.Move(ctx, m.source.address, m.source.id, s.call.ID, m.to.address); m.err != nil {
		reason = event.Line(m.err)
	}
	event.RequestMigrated.Info("Request", s.call.ID, "From", m.source.id, "To", m.to.id, "Stopped", m.moved.MemoryHandle != "", "Arrived", m.moved.Transferred,
		"Millis", clock.Now().Sub(m.started).Milliseconds(), "Reason", reason)
	switch {
	case trace.IsNotFound(m.err):
		m.source.moving.Store(false) // the engine has said that the run goes on
	case m.err != nil:
		m.moved, m.err = m.copied, nil
	default:
		m.moved.Transferred = true
	}
}

// free frees memory that nobody will use: it takes room and a slot of the other engine.
func (s *stream) free(source *attempt, to target, copied call.Migration) {
	ctx, cancel := context.WithTimeout(s.Lifetime, freeTimeout)
	defer cancel()
	s.Metrics.Counter("memory_freed").Inc(1)
	reason := ""
	if err := s.Migrator.Free(ctx, source.id, copied); err != nil {
		reason = err.Error()
	}
	event.MemoryFreed.Info("Request", s.call.ID, "From", source.id, "To", to.id, "Arrived", copied.Transferred, "Reason", reason)
}

// countArriving adds to the requests that are on their way to an engine.
func (r *Router) countArriving(engine string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arriving[engine] += n; r.arriving[engine] == 0 {
		delete(r.arriving, engine)
	}
}

// arrivingAt returns how many requests of this host are on their way to an engine.
func (r *Router) arrivingAt(engine string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arriving[engine]
}

// migrationTarget chooses the engine to migrate to: the least loaded one with
// the same weights and software that isn't full and, if possible, not silent.
func (s *stream) migrationTarget(from target, full map[string]bool) (target, bool) {
	snapshot := s.Replica.State()
	upstreams := slices.DeleteFunc(s.usable(snapshot, s.service, s.call.Prompt.Model, func(e discovery.Entry) bool { return e.ID == from.id || full[e.ID] || e.Software != from.software }), func(u upstream) bool {
		return u.weights != from.send.Weights
	})
	if answering := s.withoutSilent(upstreams); len(answering) > 0 {
		upstreams = answering
	}
	source, _ := snapshot.Upstreams.Entry(from.id)
	prompt := s.call.Prompt
	candidates := make([]allocation.Candidate, len(upstreams))
	for i, u := range upstreams {
		candidates[i] = allocation.Candidate{
			ID: u.ID, Running: u.load.Running + s.arrivingAt(u.ID), QueuedAhead: u.load.QueuedAhead(from.rank), Waiting: u.load.QueuedAhead(loadreport.Ranks), Slots: u.Slots, Connected: s.Sender.HasIdle(u.Address),
			SameDomain: u.FailureDomain == source.FailureDomain,
		}
	}
	requirements := allocation.Requirements{Objective: s.route.EventGap, Output: prompt.MaxOutput, Value: allocation.Value(prompt.Input, prompt.MaxOutput), Bytes: tokenBytes * prompt.MaxOutput}
	i := allocation.Choose(candidates, requirements, s.call.ID)
	if i < 0 {
		return target{}, false
	}
	to := target{id: upstreams[i].ID, address: upstreams[i].Address, software: from.software, rank: from.rank, send: from.send}
	to.send.Instance, to.send.FetchFrom, to.send.SaveTo = to.id, "", ""
	to.group = snapshot.Group(prompt.Model, from.send.Weights)
	to.send.Salt = to.group.Salt(from.send.Weights, s.account.Name)
	return to, true
}

// awaitMigration waits for the end of a started migration, and reports whether the stream
// can go on with its memory. It returns false, too, if that isn't known yet.
func (s *stream) awaitMigration() bool {
	s.lock.Lock()
	m := s.migration
	s.lock.Unlock()
	return m != nil && s.isMigrated(m) && s.hasMemory(m) && s.timeToBegin(m.source.target) > 0
}

// hasMemory reports whether a migration that has ended left the memory of the request.
func (s *stream) hasMemory(m *migration) bool {
	if m.err == nil && m.moved.MemoryHandle != "" {
		return true
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.migration = nil
	return false
}

// awaitMemory waits for the memory of a run that its engine may have stopped, until a
// second attempt has finished. It reports whether there is memory, or may still be.
func (s *stream) awaitMemory(finished <-chan struct{}) (found, pending bool) {
	s.lock.Lock()
	m := s.migration
	s.lock.Unlock()
	if m == nil {
		return false, false
	}
	select {
	case <-m.done:
		return m.moved.MemoryHandle != "", false
	case <-finished:
		return false, true
	}
}

// isMigrated waits for the end of a migration as long as the stream has nothing better to
// do, and reports whether it has ended. A stream that may be resumed goes elsewhere at
// once if its engine is silent, and some time after its engine stopped it if the memory
// is still missing. Any other can go on with the memory only.
func (s *stream) isMigrated(m *migration) bool {
	limit := s.timeLeft()
	if s.route.Resumable {
		limit = max(migrationTimeout-clock.Now().Sub(m.started), lateMigrationTimeout)
		if errors.Is(m.source.exchange.AwaitData(idleCheck), os.ErrDeadlineExceeded) {
			limit = 0
		}
	}
	select {
	case <-m.done:
		return true
	default:
	}
	timer := time.NewTimer(min(limit, s.timeToBegin(m.source.target)))
	defer timer.Stop()
	select {
	case <-m.done:
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}

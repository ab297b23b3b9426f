package forward

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/retry"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

const (
	// streamReadBytes is the size of one read of a stream.
	streamReadBytes = 4096
	// maxEventBytes bounds one event; events of the users' engines hold a few
	// tokens.
	maxEventBytes = 256 << 10
)

// stream relays the events of an answer, each as soon as it is complete. It
// resumes at another upstream if the route allows that.
type stream struct {
	*handler

	// lock guards attempt, copying, migration and migrations. Only the reader sets the
	// attempt; Evacuate reads it.
	lock    sync.Mutex
	attempt *attempt
	// copying is set while the memory of the request is copied before a migration.
	copying bool
	// migration is a migration that has started, or nil; migrations counts
	// them.
	migration  *migration
	migrations int
	// partial holds bytes of an incomplete event, ready complete events.
	partial, ready []byte
	// lastID is the id of the last complete event.
	lastID string
	done   bool
	events int
	// waitsForever disables the resume timeout for the next event; searching means that
	// the upstream is idle and no other that answers could take over so far.
	waitsForever, searching bool
	// detached is when the stream last ceased to be served by an upstream, and phase what
	// it has been waiting for since.
	detached clock.Instant
	phase    phase
	// lacks is what kept it last from going on, or "".
	lacks denial
}

// beginStream waits for the first event, since the request can be retried
// until an event is relayed.
func (h *handler) beginStream(a *attempt) (*call.Answer, retry.Outcome) {
	s := &stream{handler: h, attempt: a, lastID: a.send.ResumeAfter}
	err := s.fill()
	if err == nil && !a.commit() && !s.done {
		err = errAbandoned
	}
	if err != nil {
		return nil, h.failAttempt(a, a.outcome(err), err)
	}
	return &call.Answer{Status: a.exchange.Status, Fields: a.exchange.Fields, Stream: s}, retry.Answered
}

// fill reads until at least one event is complete or the answer ends.
func (s *stream) fill() error {
	x := s.attempt.exchange
	for len(s.ready) == 0 && !s.done {
		if len(s.partial) > maxEventBytes {
			return errors.New("an event exceeds the size limit")
		}
		if s.attempt.answering && s.route.Resumable && !s.waitsForever && !s.attempt.relay {
			if err := s.awaitEvent(); err != nil {
				return err
			}
		}
		start := len(s.partial)
		s.partial = append(s.partial, make([]byte, streamReadBytes)...)
		n, err := x.Read(s.partial[start:])
		s.partial = s.partial[:start+n]
		if end := completeLength(s.partial); end > 0 {
			s.ready, s.partial = s.partial[:end:end], bytes.Clone(s.partial[end:])
			s.recordIDs(s.ready)
			s.waitsForever, s.searching = false, false
			s.recordAnswerStart(s.attempt)
			s.recordOrigin()
		}
		switch {
		case errors.Is(err, io.EOF) && s.wasBrokenOff():
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			s.done = true
		case err != nil:
			return err
		}
	}
	return nil
}

// wasBrokenOff reports whether an answer that has ended is incomplete: it ended
// inside an event, or without framing before its first event, as after a crash.
func (s *stream) wasBrokenOff() bool {
	return len(s.partial) > 0 || s.attempt.exchange.EndsWithConnection() && s.attempt.events == 0
}

// completeLength returns the length of the complete events at the start of b.
func completeLength(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// recordIDs counts the events with an id and stores the last id.
func (s *stream) recordIDs(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
			s.events++
			s.attempt.events++
			if s.attempt.events == maxEarlyEvents+1 {
				s.Guard.Started(s.call.ID, s.content)
			}
		}
	}
}

// Read returns the next bytes of complete events.
func (s *stream) Read(b []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.done {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil && len(s.ready) == 0 {
			if err := s.resume(err); err != nil {
				return 0, err
			}
		}
	}
	n := copy(b, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// resume continues the stream at another upstream after it failed or its
// upstream was idle for too long.
func (s *stream) resume(cause error) error {
	broken := s.attempt
	s.setAttempt(nil)
	s.stage = retrybudget.Streaming
	s.detached, s.phase, s.denied, s.lacks = clock.Now(), atUpstream, "", ""
	found := s.awaitMigration()
	if !found && errors.Is(cause, os.ErrDeadlineExceeded) && s.timeLeft() > 0 {
		return s.takeOver(broken, cause)
	}
	if found {
		broken.exchange.Discard()
		s.endAttempt(broken)
	} else {
		s.count(broken, s.failAttempt(broken, retry.Broken, cause))
	}
	return s.reattach(broken, cause)
}

// recordReplaced records that the run at an upstream ended because another serves the
// stream; the second of the two attempts was sent at an instant.
func (s *stream) recordReplaced(ended, serves string, sent clock.Instant, firstSilent bool) {
	beside := clock.Now().Sub(sent)
	s.Metrics.Histogram("attempts_beside_time", timeBuckets).RecordDuration(beside)
	event.AttemptReplaced.Info("Request", s.call.ID, "Upstream", ended, "Serves", serves, "BesideMillis", beside.Milliseconds(), "FirstSilent", firstSilent)
}

// count records the outcome of an attempt, once.
func (s *stream) count(a *attempt, o retry.Outcome) {
	if !a.counted {
		a.counted = true
		s.recordRun(a)
		s.retryState = s.retryState.With(o)
	}
}

// switchTo continues with the answer of another upstream.
func (s *stream) switchTo(t target, answer *call.Answer) error {
	next, ok := answer.Stream.(*stream)
	if !ok {
		return errors.New("the answer of the next upstream is not a stream")
	}
	event.StreamResumed.Info("Request", s.call.ID, "Upstream", t.id, "Software", t.software, "After", s.lastID, "Events", s.events, "Moved", t.send.MemoryHandle != "")
	s.setAttempt(next.attempt)
	s.partial, s.ready, s.done, s.lastID, s.waitsForever, s.searching = next.partial, next.ready, next.done, next.lastID, false, false
	s.events += next.events
	return nil
}

// Close ends the stream, and returns the connection to the pool if the answer
// was read to its end.
func (s *stream) Close() error {
	answer := call.Answer{Status: 200}
	switch {
	case s.attempt == nil:
		answer.Reason = call.Unknown
	case s.done && len(s.ready) == 0:
		s.attempt.exchange.Finish()
		s.endAttempt(s.attempt)
		if s.attempt.events > 0 {
			// An engine that sent no event had nothing left to run.
			s.Guard.Answered(s.call.ID, s.content)
		}
	default:
		answer.Reason = call.CallerLeft
		s.attempt.exchange.Discard()
		s.endAttempt(s.attempt)
	}
	s.setAttempt(nil)
	s.release()
	s.recordEnd(answer)
	event.StreamEnded.Info("Request", s.call.ID, "Events", s.events, "Millis", clock.Now().Sub(s.call.Arrived).Milliseconds())
	return nil
}

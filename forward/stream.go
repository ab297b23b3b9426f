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
	// eventBytes is the size of one read of a stream.
	eventBytes = 4096
	// maxEventBytes bounds one event; those of the users' engines hold a few
	// tokens.
	maxEventBytes = 256 << 10
)

// stream passes on the events of an answer, each as soon as it is complete.
// It goes on at another upstream where the route allows that.
type stream struct {
	*run

	// lock guards attempt, move and moves: the attempt is set by the reader
	// alone, and read by what moves the run.
	lock    sync.Mutex
	attempt *attempt
	// move is a move of the run that has begun, or nil; moves counts them.
	move  *move
	moves int
	// in holds bytes of an event that is not complete, ready whole events.
	in, ready []byte
	// last is the id of the last complete event.
	last   string
	done   bool
	events int
	// patient tells that the upstream is waited for however long it is silent.
	patient bool
}

// beginStream waits for the first event, so that until then the request can
// be tried elsewhere.
func (d *run) beginStream(a *attempt) (*call.Answer, retry.Outcome) {
	s := &stream{run: d, attempt: a, last: a.send.ResumeAfter}
	err := s.fill()
	if err != nil {
		return nil, d.failed(a, a.outcome(err), err)
	}
	return &call.Answer{Status: a.exchange.Status, Fields: a.exchange.Fields, Stream: s}, retry.Answered
}

// fill reads until at least one event is complete or the answer has ended.
func (s *stream) fill() error {
	x := s.attempt.exchange
	for len(s.ready) == 0 && !s.done {
		if len(s.in) > maxEventBytes {
			return errors.New("an event is too long")
		}
		if s.attempt.begun && s.route.Resumable && !s.patient {
			if err := x.Await(min(s.eventWait(), s.left())); err != nil {
				return err
			}
		}
		start := len(s.in)
		s.in = append(s.in, make([]byte, eventBytes)...)
		n, err := x.Read(s.in[start:])
		s.in = s.in[:start+n]
		if end := lastEnd(s.in); end > 0 {
			s.ready, s.in = s.in[:end:end], bytes.Clone(s.in[end:])
			s.remember(s.ready)
			s.patient = false
			s.begun(s.attempt)
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.in) == 0:
			s.done = true
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// lastEnd returns the length of the complete events at the beginning.
func lastEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// remember keeps the id of the last event.
func (s *stream) remember(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.last = string(bytes.TrimSpace(id))
			s.events++
			s.attempt.events++
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

// resume goes on at another upstream after a broken stream, or where an
// upstream has been silent for long. A silent one is kept until another has
// answered.
func (s *stream) resume(cause error) error {
	broken := s.attempt
	s.attach(nil)
	s.stage = retrybudget.Begun
	t, goesOn := s.moved()
	silent := !goesOn && errors.Is(cause, os.ErrDeadlineExceeded) && s.left() > leastLeft
	var outcome retry.Outcome
	switch {
	case goesOn:
		broken.exchange.Discard()
		s.ended(broken)
	case silent:
		outcome = s.note(broken, retry.Broken, cause)
	default:
		outcome = s.failed(broken, retry.Broken, cause)
	}
	if !goesOn && s.again(s.ctx, outcome) {
		t, goesOn = s.place(s.ctx)
	}
	for goesOn {
		var answer *call.Answer
		if answer, outcome = s.try(s.ctx, t, s.last); outcome == retry.Answered {
			if silent {
				broken.exchange.Discard()
				s.ended(broken)
			}
			return s.goOn(t, answer)
		}
		if t.send.MemoryHandle != "" && outcome != retry.Broken && outcome != retry.Late {
			// The run that was moved has run, whatever became of its memory.
			s.state = s.state.With(retry.Broken)
		}
		if !s.again(s.ctx, outcome) {
			break
		}
		t, goesOn = s.place(s.ctx)
	}
	if silent {
		s.waitFor(broken)
		return nil
	}
	return s.broke(cause)
}

// waitFor goes back to a silent upstream, since no other could take over.
func (s *stream) waitFor(silent *attempt) {
	event.StreamAwaited.Info("Request", s.call.ID, "Upstream", silent.id, "After", s.last, "Events", s.events)
	s.attach(silent)
	s.patient = true
}

// goOn goes on with the answer of another upstream.
func (s *stream) goOn(t target, answer *call.Answer) error {
	next, ok := answer.Stream.(*stream)
	if !ok {
		return errors.New("the stream did not go on")
	}
	event.StreamResumed.Info("Request", s.call.ID, "Upstream", t.id, "After", s.last, "Events", s.events, "Moved", t.send.MemoryHandle != "")
	s.attach(next.attempt)
	s.in, s.ready, s.done, s.last, s.patient = next.in, next.ready, next.done, next.last, false
	s.events += next.events
	return nil
}

// broke notes that the stream can't go on.
func (s *stream) broke(cause error) error {
	event.StreamBroken.Info("Request", s.call.ID, "After", s.last, "Events", s.events, "Reason", event.Line(cause))
	return cause
}

// Close ends the stream and keeps the connection if it was read whole.
func (s *stream) Close() error {
	answer := call.Answer{Status: 200}
	switch {
	case s.attempt == nil:
		answer.Reason = call.Unknown
	case s.done && len(s.ready) == 0:
		s.attempt.exchange.Finish()
		s.ended(s.attempt)
		if s.attempt.events > 0 {
			// Nothing was left to run for an engine that sent no event.
			s.Guard.Answered(s.call.ID, s.fingerprint)
		}
	default:
		answer.Reason = call.CallerLeft
		s.attempt.exchange.Discard()
		s.ended(s.attempt)
	}
	s.attach(nil)
	s.release()
	s.finish(answer)
	event.StreamEnded.Info("Request", s.call.ID, "Events", s.events, "Millis", clock.Now().Sub(s.call.Arrived).Milliseconds())
	return nil
}

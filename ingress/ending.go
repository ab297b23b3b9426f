package ingress

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

// maxEndingLines bounds the log lines a second on connections that end without an answer.
const maxEndingLines = 20

// The reasons for which a connection ends that owes its client an answer.
const (
	// endedByClient means that the client has closed or reset it.
	endedByClient = "ClientLeft"
	// endedUnread means that the request could not be read to its end, and that nothing was
	// answered.
	endedUnread = "Unread"
	// endedUnanswered means that nothing was answered to a whole request.
	endedUnanswered = "NoAnswer"
	// endedBroken means that the answer failed after it had begun.
	endedBroken = "AnswerBroken"
	// endedUntaken means that the client did not take the answer in time.
	endedUntaken = "AnswerNotTaken"
)

// ending is what is known of the end of a connection. The connection's mu guards it.
type ending struct {
	// answered is set once a byte of the answer has been written.
	answered bool
	// left is set once the client has closed or reset the connection, timedOut once it has
	// not taken an answer in time.
	left, timedOut bool
	// recorded is set once the end has been recorded.
	recorded bool
}

// noteRead records an error of a read.
func (e *ending) noteRead(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		e.left = true
	}
}

// interimPrefix begins the answers that come before the final one.
var interimPrefix = []byte("HTTP/1.1 1")

// noteWrite records what was written, and why no more.
func (e *ending) noteWrite(written []byte, err error) {
	e.answered = e.answered || len(written) > 0 && !bytes.HasPrefix(written, interimPrefix)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.timedOut = true
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		e.left = true
	}
}

// reason returns why the connection ends that has a request, or "" if the request has
// its answer.
func (e *ending) reason(r OpenRequest) string {
	switch {
	case e.left || r.Left:
		return endedByClient
	case e.timedOut:
		return endedUntaken
	case r.Broken:
		return endedBroken
	case e.answered:
		return ""
	case r.Whole || r.ID != "":
		return endedUnanswered
	}
	return endedUnread
}

// recordEnding counts a connection that ends and owes its client an answer, and logs a
// bounded number of those that this host ends.
func (c *Conn) recordEnding() {
	c.mu.Lock()
	r, reason, due := c.request, c.ending.reason(c.request), c.open && !c.ending.recorded
	c.ending.recorded = true // a connection may be closed twice
	c.mu.Unlock()
	if !due || reason == "" {
		return
	}
	state := r.State()
	if r.Broken {
		state = r.BrokenIn
	}
	l := c.listener
	l.Metrics.Tagged(map[string]string{"reason": reason, "state": state.String()}).Counter("connections_ended_owing").Inc(1)
	if reason == endedByClient {
		return
	}
	count, ok := l.owing.next(time.Now())
	if !ok {
		return
	}
	now, place := clock.Now(), r.Progress.LastPlace()
	event.ConnectionEnded.Info("Listener", l.Addr().String(), "Request", r.ID, "Caller", c.RemoteAddr().String(), "State", state.String(), "Reason", reason, "Upstream", place.Upstream,
		"Millis", now.Sub(r.Began).Milliseconds(), "LeftMillis", r.Progress.TimeLeft(now).Milliseconds(), "Count", count)
}

// lineLimit limits log lines to a number a second.
type lineLimit struct {
	// mu guards the fields below.
	mu sync.Mutex
	// second is the one in which lines were written last, unlogged counts the events
	// without a line since the last one.
	second          int64
	lines, unlogged int
}

// next reports whether a line may be written now, and for how many events it stands.
func (l *lineLimit) next(now time.Time) (count int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.unlogged++
	if l.lines == maxEndingLines {
		return 0, false
	}
	count, l.unlogged = l.unlogged, 0
	l.lines++
	return count, true
}

// Break records that the answer to a request has failed after it began.
func (r *OpenRequest) Break() {
	if !r.Broken {
		r.Broken, r.BrokenIn = true, r.State()
	}
}

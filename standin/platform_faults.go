package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PlatformFault is a fault that an engine applies to its next requests.
type PlatformFault int

// The faults.
const (
	// NoFault answers normally.
	NoFault PlatformFault = iota
	// ResetFault executes the request, then closes the connection without an
	// answer.
	ResetFault
	// CutFault closes a stream in the middle of its second event.
	CutFault
	// FullFault rejects the request with status 503.
	FullFault
	// ErrorFault answers with status 500.
	ErrorFault
	// ExtraFault sends a second answer after the first.
	ExtraFault
	// SilentFault executes the request and never answers.
	SilentFault
	// UncertifiedFault answers without a signature.
	UncertifiedFault
	// LostOrderFault carries out an order without answering it.
	LostOrderFault
	// LostMoveFault carries out a move without answering it.
	LostMoveFault
	// OtherInstanceFault rejects the request as another engine at the same
	// address would.
	OtherInstanceFault
	// PauseFault pauses for streamPause after the first event of a stream.
	PauseFault
	// NoRoomFault copies no memory to another engine. A run that must migrate stops, and
	// its memory stays here.
	NoRoomFault
	// UnframedFault answers with neither a length nor chunks; the answer ends with
	// its connection.
	UnframedFault
	// UnframedCutFault does the same and ends in the middle of the second event.
	UnframedCutFault
	// UnframedEmptyFault does the same and ends before the first event.
	UnframedEmptyFault
	// RanTimeoutFault, RanLimitedFault and RanFullFault execute the request and answer with
	// status 408, 429 and 503, without a promise that it did not run.
	RanTimeoutFault
	RanLimitedFault
	RanFullFault
	// InvalidHeadFault executes the request and sends a whole answer in whose head the name of
	// a field holds a blank.
	InvalidHeadFault
	// LateNoRoomFault does the same as NoRoomFault once a first copy has been made.
	LateNoRoomFault
)

// concernsCalls reports whether a fault is one of control calls, not of requests.
func (f PlatformFault) concernsCalls() bool {
	switch f {
	case LostOrderFault, LostMoveFault, NoRoomFault, LateNoRoomFault:
		return true
	}
	return false
}

// PlatformTrouble is a way in which an upstream goes wrong from now on; zero fields change
// nothing.
type PlatformTrouble struct {
	// Copies are the copies of its refusals; a Count of 0 ends them.
	Copies *RefusalCopies
	// Times is the number of requests to which Fault applies.
	Fault PlatformFault
	Times int
	// RejectFor is how long it rejects requests, and asks for as long a pause.
	RejectFor time.Duration
}

// Trouble makes the engine go wrong.
func (e *PlatformEngine) Trouble(t PlatformTrouble) {
	if t.Copies != nil {
		e.CopyRefusals(*t.Copies)
	}
	if t.Times > 0 {
		e.Fail(t.Fault, t.Times)
	}
	if t.RejectFor > 0 {
		e.RejectWithRetryAfter(strconv.FormatFloat(t.RejectFor.Seconds(), 'f', 3, 64), t.RejectFor)
	}
}

// ranStatuses are the statuses of requests that were executed.
var ranStatuses = map[PlatformFault]int{
	ErrorFault: http.StatusInternalServerError, RanTimeoutFault: http.StatusRequestTimeout, RanLimitedFault: http.StatusTooManyRequests, RanFullFault: http.StatusServiceUnavailable,
}

// sendTwoAnswers sends two answers on one connection.
func (e *PlatformEngine) sendTwoAnswers(w http.ResponseWriter, id, body string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, text := range []string{body, "more"} {
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.ID, id, len(text), text)
	}
	_ = buffered.Flush()
	time.Sleep(100 * time.Millisecond)
}

// sendUnframed sends an answer that ends with its connection, or one whose head is broken.
func (e *PlatformEngine) sendUnframed(w http.ResponseWriter, r *http.Request, fault PlatformFault, body string) {
	id, weights := r.Header.Get("X-Attempt-Id"), e.Weights()
	if e.Model != "" {
		var events bytes.Buffer
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= eventsPerStream && fault != UnframedEmptyFault; i++ {
			if fault == UnframedCutFault && i == after+2 {
				events.WriteString("id: " + strconv.Itoa(i) + "\nda")
				break
			}
			e.writeEvent(&events, i)
		}
		body = events.String()
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	line := ""
	if fault == InvalidHeadFault {
		line = fmt.Sprintf("X A: v\r\nContent-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nX-Weight-Versions: %d\r\nContent-Type: text/event-stream\r\n%s\r\n%s", id, e.ID, id, weights, line, body)
	_ = buffered.Flush()
}

// AnswerResumed makes all further answers to resumed streams be a raw text, in which
// ID stands for the attempt ID; "" ends that.
func (e *PlatformEngine) AnswerResumed(raw string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumedAnswer = raw
}

// sendResumedAnswer sends the answer to a resumed stream, if one is set.
func (e *PlatformEngine) sendResumedAnswer(w http.ResponseWriter, id string) bool {
	e.mu.Lock()
	raw := e.resumedAnswer
	e.mu.Unlock()
	if raw == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", id))
	_ = conn.Close()
	return true
}

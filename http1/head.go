package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/httpheader"
)

const (
	// maxBlankBytes bounds the blank lines before a status line.
	maxBlankBytes = 4
	// maxErrorBytes bounds the error text for an unreadable head.
	maxErrorBytes = 256
)

// readHead reads answers until one belongs to the call.
func (e *Exchange) readHead(id, method string) error {
	closes := false
	for skipped, informational := 0, 0; ; skipped++ {
		// The parser of heads reports any end of the connection as EOF.
		if _, err := e.conn.buffer.Peek(1); err != nil {
			return unreadableHead{err}
		}
		if err := checkStatusLine(e.conn.buffer); err != nil {
			return unreadableHead{err}
		}
		if err := checkNames(e.conn.buffer); err != nil {
			return unreadableHead{err}
		}
		var h fasthttp.ResponseHeader
		if err := h.Read(e.conn.buffer); err != nil {
			return unreadableHead{err}
		}
		if isJoined(&h) {
			return trace.BadParameter("the head holds the start of another answer")
		}
		if h.StatusCode() < 200 {
			skipped--
			if informational++; informational > httpheader.MaxInformational {
				return trace.LimitExceeded("more than %d informational heads", httpheader.MaxInformational)
			}
			continue
		}
		e.Head = e.pool.decoder.DecodeHead(&h)
		e.body = e.newBody(&h, method)
		closes = closes || e.Close
		if e.CallID == id {
			e.Close = closes
			return nil
		}
		if skipped == maxStrays || e.EndsWithConnection() {
			return trace.BadParameter("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(e.body, maxStrayBytes)); err != nil || !e.complete {
			return trace.BadParameter("an answer to another request is too long or incomplete")
		}
		e.complete = false
		e.skipped++
	}
}

// checkStatusLine checks the start of the status line that follows. The library takes
// statuses that the protocol doesn't allow, some of them for 200.
func checkStatusLine(in *bufio.Reader) error {
	line, err := in.Peek(len(statusLineForm))
	for range maxBlankBytes {
		if len(line) == 0 || line[0] != '\r' && line[0] != '\n' {
			break
		}
		_, _ = in.Discard(1)
		line, err = in.Peek(len(statusLineForm))
	}
	if err != nil {
		return err
	}
	version, status := line[:len("HTTP/1.1 ")], line[len("HTTP/1.1 "):]
	code := 0
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return trace.BadParameter("the status %q is not a number", status)
		}
		code = 10*code + int(digit-'0')
	}
	if !bytes.Equal(version, []byte("HTTP/1.1 ")) && !bytes.Equal(version, []byte("HTTP/1.0 ")) || !httpheader.IsStatus(code) {
		return trace.BadParameter("%q begins no answer", line)
	}
	return nil
}

// checkNames checks the names of the fields in the head that follows. The error for a head
// that is incomplete is left to its parser.
func checkNames(in *bufio.Reader) error {
	for size := 1; ; size = in.Buffered() + 1 {
		_, readErr := in.Peek(size)
		head, _ := in.Peek(in.Buffered()) // no more than is buffered
		if isComplete, err := httpheader.CheckNames(head); isComplete || err != nil || readErr != nil {
			return err
		}
	}
}

// isJoined reports whether a head was cut within a line and that of another answer follows,
// so that neither its status nor its fields are those of one answer.
func isJoined(h *fasthttp.ResponseHeader) bool {
	if holdsStatusLine(h.StatusMessage()) {
		return true
	}
	for _, value := range h.All() {
		if holdsStatusLine(value) {
			return true
		}
	}
	return false
}

// statusLineForm is the form of the start of a status line.
const statusLineForm = "HTTP/1.1 200"

// holdsStatusLine reports whether a status line begins somewhere in a text.
func holdsStatusLine(text []byte) bool {
	const form = statusLineForm
	for {
		start := bytes.Index(text, []byte(form[:len("HTTP/1.")]))
		if start < 0 || len(text)-start < len(form) {
			return false
		}
		line := text[start:]
		isDigit := func(i int) bool { return line[i] >= '0' && line[i] <= '9' }
		if isDigit(7) && line[8] == ' ' && isDigit(9) && isDigit(10) && isDigit(11) {
			return true
		}
		text = line[1:]
	}
}

// unreadableHead is the error for a head that can't be parsed. Its text is
// truncated, since it quotes what the upstream sent.
type unreadableHead struct{ cause error }

func (u unreadableHead) Error() string {
	text := u.cause.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// Unwrap returns the cause, which distinguishes a closed connection from a
// malformed head.
func (u unreadableHead) Unwrap() error { return u.cause }

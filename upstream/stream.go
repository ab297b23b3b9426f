package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

// maxLineBytes bounds one line of an engine's stream, and with it the memory
// of the events that wait for a slow caller.
const maxLineBytes = 64 << 10

var (
	// ErrMissingEnd tells that a stream stopped without its end marker.
	ErrMissingEnd = errors.New("the stream stopped without its end marker")
	// ErrReported tells that the engine ended its stream with an error event.
	ErrReported = errors.New("the engine reported an error")
)

// Chunk is one event of an engine's stream.
type Chunk struct {
	// Position counts the tokens of the answer from 1.
	Position int
	// Data is the event's JSON.
	Data []byte
	// End marks the end of a whole answer.
	End bool
}

// Decoder reads the events of an engine's stream.
type Decoder struct {
	scanner *bufio.Scanner
}

// NewDecoder returns a decoder of server-sent events.
func NewDecoder(r io.Reader) *Decoder {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &Decoder{scanner: scanner}
}

// Next returns the next event. A stream that stops without its end marker
// gives ErrMissingEnd, an error event ErrReported, a broken connection
// trace.ConnectionProblem, and an event that makes no sense
// trace.BadParameter.
func (d *Decoder) Next() (Chunk, error) {
	var c Chunk
	for d.scanner.Scan() {
		line := d.scanner.Bytes()
		switch {
		case len(line) == 0 && c.Data != nil:
			return c.finished()
		case bytes.HasPrefix(line, []byte("id:")):
			position, err := strconv.Atoi(string(bytes.TrimSpace(line[3:])))
			if err != nil {
				return Chunk{}, trace.BadParameter("the event's position is not a number")
			}
			c.Position = position
		case bytes.HasPrefix(line, []byte("data:")):
			c = c.withData(bytes.TrimSpace(line[5:]))
		case bytes.HasPrefix(line, []byte("event:")) && string(bytes.TrimSpace(line[6:])) == "error":
			return Chunk{}, ErrReported
		}
	}
	if err := d.scanner.Err(); err != nil {
		return Chunk{}, trace.ConnectionProblem(err, "the stream was cut")
	}
	return Chunk{}, ErrMissingEnd
}

// withData returns the event with one more line of data. Lines of JSON are
// joined by a space: a raw line break can only stand between its tokens.
func (c Chunk) withData(line []byte) Chunk {
	if c.Data != nil {
		c.Data = append(c.Data, ' ')
	}
	c.Data = append(c.Data, line...)
	return c
}

// finished returns a whole event.
func (c Chunk) finished() (Chunk, error) {
	if string(c.Data) == "[DONE]" {
		return Chunk{End: true}, nil
	}
	if c.Position < 1 {
		return Chunk{}, trace.BadParameter("an event has no position")
	}
	return c, nil
}

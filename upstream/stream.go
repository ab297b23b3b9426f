package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

// maxLineBytes bounds one line of an engine's stream, and thereby the memory of
// the events buffered for a slow caller.
const maxLineBytes = 64 << 10

// maxEventBytes bounds the data of one event, which may have several lines.
const maxEventBytes = 256 << 10

var (
	// ErrMissingEnd is returned when a stream ends without its end marker.
	ErrMissingEnd = errors.New("the stream ended without its end marker")
	// ErrReported is returned when the engine ends its stream with an error
	// event.
	ErrReported = errors.New("the engine reported an error")
)

// Chunk is one event of an engine's stream.
type Chunk struct {
	// Position is the position of the token in the answer, from 1.
	Position int
	// Data is the event's JSON.
	Data []byte
	// Weights is the weights version that generated the token.
	Weights string
	// End marks the end of a complete answer.
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

// Next returns the next event. It returns ErrMissingEnd if the stream ends
// without its end marker, ErrReported for an error event,
// trace.ConnectionProblem for a broken connection or a line that is too long,
// and trace.BadParameter for a malformed event.
func (d *Decoder) Next() (Chunk, error) {
	var c Chunk
	for d.scanner.Scan() {
		line := d.scanner.Bytes()
		switch {
		case len(line) == 0 && c.Data != nil:
			return c.validated()
		case bytes.HasPrefix(line, []byte("id:")):
			position, err := strconv.Atoi(string(bytes.TrimSpace(line[3:])))
			if err != nil {
				return Chunk{}, trace.BadParameter("the event's position is not a number")
			}
			c.Position = position
		case bytes.HasPrefix(line, []byte("data:")):
			if c = c.withData(bytes.TrimSpace(line[5:])); len(c.Data) > maxEventBytes {
				return Chunk{}, trace.ConnectionProblem(nil, "an event has more than %d bytes", maxEventBytes)
			}
		case bytes.HasPrefix(line, []byte("event:")) && string(bytes.TrimSpace(line[6:])) == "error":
			return Chunk{}, ErrReported
		}
	}
	if err := d.scanner.Err(); err != nil {
		return Chunk{}, trace.ConnectionProblem(err, "the stream was interrupted")
	}
	return Chunk{}, ErrMissingEnd
}

// withData returns the event with one more line of data. Lines are joined with a
// space, which is valid since JSON has raw line breaks only between tokens.
func (c Chunk) withData(line []byte) Chunk {
	if c.Data != nil {
		c.Data = append(c.Data, ' ')
	}
	c.Data = append(c.Data, line...)
	return c
}

// validated returns a complete event, or an error if it has no position.
func (c Chunk) validated() (Chunk, error) {
	if string(c.Data) == "[DONE]" {
		return Chunk{End: true}, nil
	}
	if c.Position < 1 {
		return Chunk{}, trace.BadParameter("an event has no position")
	}
	return c, nil
}

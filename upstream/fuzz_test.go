package upstream_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/upstream"
)

// FuzzDecoder decodes each stream in one piece and byte by byte. Both must return the same
// events. Events before the end have positions and data, and a stream ends only
// with its end marker or an error.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n",
		"id: 1\r\ndata: {}\r\n\r\ndata: [DONE]\r\n\r\n",
		"id: 1\ndata: {}\n\n",
		"data: {}\n\n",
		"id: x\ndata: {}\n\n",
		"id: 99999999999999999999\ndata: {}\n\n",
		"event: error\ndata: {}\n\n",
		": comment\n\nid:1\ndata:{}\n\n",
		"id: 1\ndata: {}\ndata: {}\n\ndata: [DONE]",
		"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		is := is.New(t)
		whole, wholeErr := readAll(bytes.NewReader(stream))
		bytewise, bytewiseErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		is.Equal(whole, bytewise)
		is.Equal(wholeErr == nil, bytewiseErr == nil)
		ended := len(whole) > 0 && whole[len(whole)-1].End
		is.Equal(ended, wholeErr == nil) // a stream without an end marker returns an error
		for i, c := range whole {
			is.Equal(c.End, ended && i == len(whole)-1)
			is.True(c.End || c.Position >= 1 && len(c.Data) > 0)
		}
	})
}

// TestMultilineData checks that no data line of an event is lost.
func TestMultilineData(t *testing.T) {
	is := is.New(t)
	chunks, err := readAll(strings.NewReader("id: 1\ndata: {\"a\":\ndata: 1}\n\ndata: [DONE]\n\n"))
	is.NoErr(err)
	is.Equal(string(chunks[0].Data), `{"a": 1}`)
}

// readAll reads events until the end or an error.
func readAll(r io.Reader) ([]upstream.Chunk, error) {
	decoder := upstream.NewDecoder(r)
	var chunks []upstream.Chunk
	for {
		c, err := decoder.Next()
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, c)
		if c.End {
			return chunks, nil
		}
	}
}

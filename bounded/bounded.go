// Package bounded reads what other processes send without trusting its size.
package bounded

import (
	"io"

	"github.com/gravitational/trace"
)

// MaxHeadBytes bounds the head of an HTTP answer. Heads hold a few short
// fields; net/http would take 10 MiB.
const MaxHeadBytes = 64 << 10

// ReadAll reads to the end, or returns trace.LimitExceeded when there are more
// than some bytes.
func ReadAll(r io.Reader, most int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(raw)) > most {
		return nil, trace.LimitExceeded("more than %d bytes", most)
	}
	return raw, nil
}

// Package bounded reads data of other processes up to a size limit.
package bounded

import (
	"io"

	"github.com/gravitational/trace"
)

// MaxHeadBytes limits the size of an HTTP response's header block. Responses
// carry a few short fields; net/http would accept 10 MiB.
const MaxHeadBytes = 64 << 10

// ReadAll reads until EOF. It returns trace.LimitExceeded if there are more than
// limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(raw)) > limit {
		return nil, trace.LimitExceeded("more than %d bytes", limit)
	}
	return raw, nil
}

// Package bounded reads data of other processes up to a size limit.
package bounded

import (
	"errors"
	"io"
	"sync/atomic"

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

// blockBytes is the size of one read within a budget.
const blockBytes = 32 << 10

// Budget limits the bytes that are being read together.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// ReadAll reads until EOF, like the function ReadAll. It also returns
// trace.LimitExceeded if all reads in progress together exceed the budget.
func (b *Budget) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var raw []byte
	defer func() { b.used.Add(-int64(len(raw))) }()
	for block := make([]byte, blockBytes); ; {
		n, err := r.Read(block)
		raw = append(raw, block[:n]...)
		used := b.used.Add(int64(n))
		switch {
		case int64(len(raw)) > limit:
			return nil, trace.LimitExceeded("more than %d bytes", limit)
		case used > b.limit:
			return nil, trace.LimitExceeded("more than %d bytes are being read together", b.limit)
		case errors.Is(err, io.EOF):
			return raw, nil
		case err != nil:
			return nil, trace.Wrap(err)
		}
	}
}

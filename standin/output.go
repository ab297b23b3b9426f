package standin

import (
	"bytes"
	"sync"
)

// Output is a buffer that is safe for concurrent use. The zero value is ready
// to use.
type Output struct {
	// mu guards buffer.
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(b)
}

// String returns what was written.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

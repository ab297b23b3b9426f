package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	start time.Time
	// mu guards out.
	mu  sync.Mutex
	out io.Writer
}

func newRecord(out io.Writer) *record { return &record{start: time.Now(), out: out} }

// logf writes one line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

package event

import (
	"context"
	"io"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the volume; a busy host writes about 100.
	maxLinesPerSecond = 600
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
	// flushTimeout bounds the wait for the output at the end; a stop must end
	// within seconds.
	flushTimeout = time.Second
)

// boundedWriter is a writer that never blocks: it drops lines that don't fit
// into its queue.
type boundedWriter struct {
	lines   chan []byte
	dropped chan struct{}
}

// Write implements io.Writer.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append(make([]byte, 0, len(line)), line...):
	default:
		select {
		case w.dropped <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// WriteTo directs log lines to a writer until the context ends, at a bounded
// volume and without ever blocking the caller. Lines that are queued at the end
// are written if the output accepts them within a second.
func WriteTo(ctx context.Context, wait *conc.WaitGroup, out io.Writer) {
	w := &boundedWriter{lines: make(chan []byte, maxQueuedLines), dropped: make(chan struct{}, maxQueuedLines*64)}
	klog.LogToStderr(false)
	// klog writes a line to the outputs of its severity and of all lower ones.
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", w)
	wait.Go(func() {
		done := make(chan struct{})
		// A blocked output blocks this goroutine forever.
		go func() {
			defer close(done)
			w.writeLines(ctx, out)
		}()
		<-ctx.Done()
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	})
}

// writeLines writes queued lines, up to a budget per second.
func (w *boundedWriter) writeLines(ctx context.Context, out io.Writer) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	remaining, dropped := maxLinesPerSecond, 0
	for {
		select {
		case <-ctx.Done():
			w.flush(out)
			return
		case line := <-w.lines:
			if remaining == 0 {
				dropped++
				continue
			}
			remaining--
			_, _ = out.Write(line)
		case <-ticker.C:
			remaining = maxLinesPerSecond
			for ; len(w.dropped) > 0; dropped++ {
				<-w.dropped
			}
			if dropped > 0 {
				LinesDropped.Info("Lines", dropped)
				dropped = 0
			}
		}
	}
}

// flush writes the lines that are still queued at the end.
func (w *boundedWriter) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

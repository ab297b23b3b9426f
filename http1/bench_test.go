package http1_test

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// threadTime returns the CPU time of the calling thread.
func threadTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkEndlessAnswer measures the cost of an answer without end until reading
// it fails: CPU time of the reader, memory of both sides, and body bytes read.
// A body that may be long is read up to 32 MiB.
func BenchmarkEndlessAnswer(b *testing.B) {
	const maxRead = 32 << 20
	bodies := []struct{ name, first, repeated string }{
		{"a body without a length", okHead + "\r\n", "a"},
		{"a chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "20\r\n" + strings.Repeat("a", 32) + "\r\n"},
	}
	for _, tt := range slices.Concat(endlessAnswers, bodies) {
		b.Run(tt.name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			address := startEndless(b, tt.first, tt.repeated).Address()
			pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
			buffer := make([]byte, 4096)
			total := 0
			b.ReportAllocs()
			start := threadTime(b)
			for b.Loop() {
				read := 0
				x, err := pool.Send(context.Background(), address, "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
				for err == nil && read < maxRead {
					var n int
					n, err = x.Read(buffer)
					read += n
				}
				if x != nil {
					x.Discard()
				}
				total += read
			}
			b.ReportMetric(float64((threadTime(b)-start).Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(total)/float64(b.N), "body-bytes/op")
		})
	}
}

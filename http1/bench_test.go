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

// threadTime returns the processor time of the calling thread.
func threadTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkEndlessAnswer measures what an answer without end costs until it is
// given up: processor time of the reader, memory (of both sides), bytes of the
// body that were passed on. A body that is allowed to be long is read for
// 32 MiB.
func BenchmarkEndlessAnswer(b *testing.B) {
	const longest = 32 << 20
	bodies := []struct{ name, begin, again string }{
		{"a body without a length", okHead + "\r\n", "a"},
		{"a body in chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "20\r\n" + strings.Repeat("a", 32) + "\r\n"},
	}
	for _, tt := range slices.Concat(endlessAnswers, bodies) {
		b.Run(tt.name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			address := endless(b, tt.begin, tt.again).Address()
			pool := http1.NewPool(platform.Wire{})
			buffer := make([]byte, 4096)
			total := 0
			b.ReportAllocs()
			begun := threadTime(b)
			for b.Loop() {
				read := 0
				x, err := pool.Send(context.Background(), address, "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
				for err == nil && read < longest {
					var n int
					n, err = x.Read(buffer)
					read += n
				}
				if x != nil {
					x.Discard()
				}
				total += read
			}
			b.ReportMetric(float64((threadTime(b)-begun).Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(total)/float64(b.N), "body-bytes/op")
		})
	}
}

package local_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/local"
	"github.com/kumquathoist/kumquathoist/standin"
)

// BenchmarkCompletion compares streamed completions sent straight to a stand-in
// engine with completions sent through a router. The client allocates nothing,
// so that the difference in allocations is due to the router.
func BenchmarkCompletion(b *testing.B) {
	is := is.New(b)
	event.Discard()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	system, err := local.New(ctx, local.Options{Routers: 1, Engines: 1, Engine: func(o *standin.EngineOptions) {
		o.TokenMillis, o.AnswerTokens, o.PrefillTokensPerSecond = 0, 16, 1e9
	}})
	is.NoErr(err)
	for _, size := range []int{2_000, 65_536} {
		body := fmt.Sprintf(`{"model":"matcher","stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", size))
		raw := fmt.Appendf(nil, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			system.Key, len(body), body)
		for name, address := range map[string]string{"straight": system.Engines[0].Address(), "router": system.Routers[0].Callers()} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { sendRepeatedly(b, address, raw) })
		}
	}
}

// sendRepeatedly sends a request repeatedly on one connection and reads each answer.
func sendRepeatedly(b *testing.B, address string, raw []byte) {
	is := is.New(b)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	lastChunk := []byte("0\r\n")
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		_, err := conn.Write(raw)
		is.NoErr(err)
		for {
			line, err := reader.ReadSlice('\n')
			is.NoErr(err)
			if bytes.Equal(line, lastChunk) {
				break
			}
		}
		_, err = reader.ReadSlice('\n')
		is.NoErr(err)
	}
}

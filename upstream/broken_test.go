package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/upstream"
)

// TestServiceAnswerThatBreaksOffIsAnError ends the connection after each byte of a
// service's answer.
func TestServiceAnswerThatBreaksOffIsAnError(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for end := range len(answer) {
			if strings.HasSuffix(answer[:end], "0\r\n\r") || strings.HasSuffix(answer[:end], "0\r\n") {
				continue // only the empty trailer is missing; the body is whole
			}
			t.Run(answer[:end], func(t *testing.T) {
				is := is.New(t)
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				defer func() { _ = listener.Close() }()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = conn.Write([]byte(answer[:end]))
					}
				}()
				_, err = upstream.NewClient().Run(context.Background(), upstream.Call{Address: listener.Addr().String(), Method: http.MethodGet, Path: "/"})
				is.True(trace.IsConnectionProblem(err))
			})
		}
	}
}

package http1_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestUnframedAnswerWithResetUploadIsNotWhole resets the connection of an upload whose
// answer would end with the connection. Whichever side of the connection is told of the
// reset, the part that arrived is not the answer.
func TestUnframedAnswerWithResetUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Stamp: s\r\n\r\n"
	body := bytes.Repeat([]byte("b"), 8<<20)
	for _, row := range []struct{ beforeReset, beforeRead time.Duration }{
		{0, 0}, {0, 200 * time.Millisecond}, {30 * time.Millisecond, 0}, {30 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("reset after %v, read after %v", row.beforeReset, row.beforeRead), func(t *testing.T) {
			checked := 0
			for range 10 {
				is := is.New(t)
				l := listen(t, smallBytes)
				go func() {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Read(make([]byte, 64))
					_, _ = io.WriteString(conn, head+"a part")
					time.Sleep(row.beforeReset)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}()
				request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
				e, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), l.Addr().String(), "a", "POST", request, body)
				if err != nil {
					continue // the reset overtook the head
				}
				time.Sleep(row.beforeRead)
				_, err = io.ReadAll(e)
				is.True(err != nil)
				is.True(!errors.Is(err, io.EOF))
				is.True(!e.Complete())
				e.Discard()
				checked++
			}
			if row.beforeReset > 0 && checked == 0 {
				t.Error("each reset overtook the head")
			}
		})
	}
}

// TestUnframedAnswerThatEndsInOrderIsWhole closes the upstream's side of a connection in
// order while it still reads the upload.
func TestUnframedAnswerThatEndsInOrderIsWhole(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("b"), 8<<20)
	l := listen(t, smallBytes)
	read := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Large\r\nX-Attempt-Id: a\r\nX-Response-Stamp: s\r\n\r\nall")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-read
		_, _ = io.Copy(io.Discard, conn)
	}()
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	e, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), l.Addr().String(), "a", "POST", request, body)
	is.NoErr(err)
	got, err := io.ReadAll(e)
	is.NoErr(err)
	is.Equal(string(got), "all")
	is.True(e.Complete())
	close(read)
	e.Discard()
}

// TestUnframedAnswerToWholeUploadIsWhole ends the connection in order after an upload was
// read.
func TestUnframedAnswerToWholeUploadIsWhole(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("b"), 1<<20)
	l := listen(t, largeBytes)
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, conn, int64(len(request)+len(body)))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Stamp: s\r\n\r\nall")
		_ = conn.Close()
	}()
	e, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), l.Addr().String(), "a", "POST", request, body)
	is.NoErr(err)
	got, err := io.ReadAll(e)
	is.NoErr(err)
	is.Equal(string(got), "all")
	is.True(e.Complete())
}

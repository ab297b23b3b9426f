package socket_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/socket"
)

// answerWith starts a server that answers one request on each connection, after it has
// read some of it.
func answerWith(t *testing.T, answer func(conn net.Conn)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				answer(conn)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestOnlyStatusesOfTheProtocolAreAnswers checks that an upstream that sends any other
// status has failed.
func TestOnlyStatusesOfTheProtocolAreAnswers(t *testing.T) {
	for status, valid := range map[string]bool{"200": true, "404": true, "599": true, "000": false, "001": false, "099": false, "600": false, "999": false} {
		url := answerWith(t, func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 4\r\n\r\nbody", status)
		})
		resp, err := socket.NewHTTPClient(&http.Transport{}).Get(url)
		if (err == nil) != valid {
			t.Errorf("%s: %v", status, err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// TestUnframedAnswerWithResetUploadIsNotWhole resets the connection of an upload whose
// answer would end with the connection, before or after the reader awaits its end.
func TestUnframedAnswerWithResetUploadIsNotWhole(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 16<<20)
	for _, beforeReset := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
		for _, beforeRead := range []time.Duration{0, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("reset after %v, read after %v", beforeReset, beforeRead), func(t *testing.T) {
				url := answerWith(t, func(conn net.Conn) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
					time.Sleep(beforeReset)
					_ = conn.(*net.TCPConn).SetLinger(0)
				})
				checked := 0
				for range 5 {
					resp, err := socket.NewHTTPClient(&http.Transport{}).Post(url, "text/plain", io.NopCloser(bytes.NewReader(body)))
					if err != nil {
						continue // the reset overtook the head
					}
					time.Sleep(beforeRead)
					_, err = io.ReadAll(resp.Body)
					is.New(t).True(err != nil)
					_ = resp.Body.Close()
					checked++
				}
				if beforeReset > time.Millisecond && checked == 0 {
					t.Error("each reset overtook the head")
				}
			})
		}
	}
}

// TestUnframedAnswerThatEndsInOrderIsWhole closes the server's side of a connection in order
// while it still reads the upload.
func TestUnframedAnswerThatEndsInOrderIsWhole(t *testing.T) {
	is := is.New(t)
	url := answerWith(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Large\r\n\r\nall")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, conn)
	})
	resp, err := socket.NewHTTPClient(&http.Transport{}).Post(url, "text/plain", bytes.NewReader(bytes.Repeat([]byte("b"), 16<<20)))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(got), "all")
}

// TestUnframedAnswerToWholeUploadIsWhole ends the connection in order after the request was
// read.
func TestUnframedAnswerToWholeUploadIsWhole(t *testing.T) {
	is := is.New(t)
	url := answerWith(t, func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall") })
	resp, err := socket.NewHTTPClient(&http.Transport{}).Post(url, "text/plain", bytes.NewReader([]byte("body")))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(got), "all")
}

package storenode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRequestDoesNotArriveAfterDeparture sends a request to a service that takes only a
// part of it from the network, and removes the service's entry.
func TestRequestDoesNotArriveAfterDeparture(t *testing.T) {
	is := is.New(t)
	limited := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1024) })
	}}
	listener, err := limited.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	d := newDeployment(t, 1, 1, 0)
	service, err := standin.NewPlatformEngine("desk", "desk", "north", "")
	is.NoErr(err)
	defer service.Close()
	service.Advertised = listener.Addr().String()
	d.store.Register(service)

	body := strings.Repeat("x", 7000)
	started := make(chan net.Conn, 1)
	go func() {
		for {
			upstream, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := upstream.Read(make([]byte, 1)); err == nil {
				started <- upstream // not a check whether the address accepts connections
			}
		}
	}()
	statuses := make(chan int, 1)
	send := func() {
		c := d.client(d.hosts[0])
		c.write(http.MethodPost, serviceHost, "/post/a", fmt.Sprint("p", time.Now().UnixNano()), map[string]string{"X-Deadline-Ms": "60000"}, body)
		statuses <- c.read().status
	}
	var upstream net.Conn
	go send()
	for upstream == nil {
		select {
		case upstream = <-started:
		case status := <-statuses:
			is.Equal(status, http.StatusServiceUnavailable) // the host doesn't know the service yet
			go send()
		}
	}
	defer func() { _ = upstream.Close() }()
	d.store.Put("keyed.servers", service.ID, nil)
	is.Equal(<-statuses, http.StatusBadGateway)  // it may have run
	received, _ := io.Copy(io.Discard, upstream) // fails when the connection was reset
	is.True(received < int64(len(body)))
}

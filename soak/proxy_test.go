package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// TestLateConnectionIsNoLostRequest guards against a proxy that closes a caller's
// connection, as a host that loses requests would, when its own to the host opens late.
func TestLateConnectionIsNoLostRequest(t *testing.T) {
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0)) // one connection fills it
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	is.NoErr(err)
	is.NoErr(file.Close())
	first, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = first.Close() }()

	var wait conc.WaitGroup
	defer wait.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p, err := newProxy(ctx, &wait, "127.0.0.1", listener.Addr().String())
	is.NoErr(err)
	caller, err := net.Dial("tcp4", p.address())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "request\n")
	is.NoErr(err)
	answer := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(caller).ReadString('\n')
		answer <- line
		_ = listener.Close() // nothing more arrives once the caller's connection has ended
	}()
	time.Sleep(1500 * time.Millisecond)
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	late, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = late.Close() }()
	line, err := bufio.NewReader(late).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "request\n")
	_, err = io.WriteString(late, "answer\n")
	is.NoErr(err)
	is.Equal(<-answer, "answer\n")
}

package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// upstreamArgument makes the test's program stand in for an upstream.
const upstreamArgument = "upstream"

func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == upstreamArgument {
		serveUpstream()
		return
	}
	os.Exit(m.Run())
}

// serveUpstream answers each request with the length of its body, until its input ends.
func serveUpstream() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	server := &http.Server{IdleTimeout: upstreamIdle, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Stamp", "s")
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(upstreamIdle.Seconds())))
		fmt.Fprint(w, n)
	})}
	go func() { _ = server.Serve(l) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// upstreamProcess is an upstream in a process of its own.
type upstreamProcess struct {
	address string
	process *os.Process
}

func startUpstream(t *testing.T) upstreamProcess {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(os.Args[0], upstreamArgument)
	in, err := cmd.StdinPipe()
	is.NoErr(err)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = in.Close()
		_ = cmd.Wait()
	})
	address, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	return upstreamProcess{strings.TrimSpace(address), cmd.Process}
}

// pauseFor stops the process for a time.
func (u upstreamProcess) pauseFor(t *testing.T, d time.Duration) {
	t.Helper()
	is.New(t).NoErr(u.process.Signal(syscall.SIGSTOP))
	time.AfterFunc(d, func() { _ = u.process.Signal(syscall.SIGCONT) })
}

// TestLongBodiesToASilentUpstream sends bodies that don't fit into the buffers of an
// upstream that is silent.
func TestLongBodiesToASilentUpstream(t *testing.T) {
	for _, size := range []int{72 << 10, 4 << 20} {
		for _, d := range []time.Duration{silence, 2500 * time.Millisecond} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprint(size, d, kept), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					u, pool := startUpstream(t), http1.NewPool(platform.Wire{}, http1.NewDialer())
					if kept {
						_, _, err := post(t, pool, u.address, "a", 10)
						is.NoErr(err)
					}
					u.pauseFor(t, d)
					began := time.Now()
					body, first, err := post(t, pool, u.address, "b", size)
					t.Logf("after %v, on a new connection %v, error %v", time.Since(began), first, err)
					is.NoErr(err)
					is.Equal(body, fmt.Sprint(size))
				})
			}
		}
	}
}

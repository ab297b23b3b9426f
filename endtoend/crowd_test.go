package endtoend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// crowdSize clients connect to the host.
	crowdSize = 400
	// crowdMemoryMB and crowdDescriptors are those of the host.
	crowdMemoryMB, crowdDescriptors = 128, 1000
	// crowdBodyBytes is the limit of a body.
	crowdBodyBytes = 1 << 20
	// crowdPatience ends the writes and reads of a client that the host keeps waiting.
	crowdPatience = 20 * time.Second
	// ordinaryTries is how often an ordinary caller sends a request that is refused.
	ordinaryTries = 3
)

// crowd is a number of clients that the operators of a host don't control.
type crowd struct {
	name string
	// address returns the address that the clients connect to.
	address func(r *router) string
	// begin is sent first, and then repeated a number of times.
	begin, repeated string
	times           int
}

// crowds returns all crowds.
func crowds() []crowd {
	const (
		own     = "Host: h\r\nAuthorization: Bearer " + accountKey + "\r\nContent-Type: application/json\r\n"
		head    = "POST /v1/completions HTTP/1.1\r\n" + own
		service = "POST /services/approvals/approve HTTP/1.1\r\n" + own + "Idempotency-Key: k\r\nIdempotency-Key-Issued: 1\r\n"
		edit    = "POST /operator/edits HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
		length  = "Content-Length: 1048576\r\n\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	callers := func(r *router) string { return r.callers }
	operators := func(r *router) string { return r.operators }
	peers := func(r *router) string { return r.peers }
	most := strings.Repeat("b", crowdBodyBytes-16)
	chunk := "10000\r\n" + strings.Repeat("c", 64<<10) + "\r\n"
	prompt := `{"model":"matcher","max_tokens":1,"prompt":"` + strings.Repeat("p", crowdBodyBytes-46) + `"}`
	return []crowd{
		{"a length, all but the end", callers, head + length, most, 1},
		{"a call of a service, all but the end", callers, service + length, most, 1},
		{"large chunks, all but the last", callers, head + chunked, chunk, 15},
		{"chunks of one byte", callers, head + chunked, strings.Repeat("1\r\nc\r\n", 1<<10), 64},
		{"chunks without an end", callers, head + chunked, chunk, 256},
		{"a length over the limit", callers, head + "Content-Length: 900000000\r\n\r\n", most, 1},
		{"heads without an end", callers, head + "X-Long: ", strings.Repeat("h", 15<<10), 1},
		{"whole prompts", callers, head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(prompt)), prompt, 1},
		{"half a head", callers, "GET / HTTP/1.1\r\nHost: ", "", 0},
		{"pipelined requests, unread answers", callers, "", strings.Repeat("GET /v1/models HTTP/1.1\r\n"+own+"\r\n", 400), 8},
		{"operators: a length, all but the end", operators, edit + length, most, 1},
		{"operators: chunks without an end", operators, edit + chunked, chunk, 256},
		{"peers: bytes without an end", peers, "", chunk, 256},
	}
}

// join connects the clients and returns once each has sent all, or has failed. The returned
// function ends their connections.
func (c crowd) join(address string) (leave func()) {
	var sending conc.WaitGroup
	connections := make(chan net.Conn, crowdSize)
	for range crowdSize {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, crowdPatience)
			if err != nil {
				return // the host may refuse it
			}
			connections <- conn
			_ = conn.SetDeadline(time.Now().Add(crowdPatience))
			_, err = io.WriteString(conn, c.begin)
			for i := 0; i < c.times && err == nil; i++ {
				_, err = io.WriteString(conn, c.repeated)
			}
		})
	}
	sending.Wait()
	close(connections)
	return func() {
		for conn := range connections {
			_ = conn.Close()
		}
	}
}

// sendAgain sends a request, and again when its caller may, and returns the last status.
func (r *router) sendAgain(body string) int {
	status := 0
	for try := 0; try < ordinaryTries && status != http.StatusOK; try++ {
		resp, err := r.open(http.MethodPost, "/v1/completions", map[string]string{"Connection": "close"}, body)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		if pause, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil && status != http.StatusOK {
			time.Sleep(pause)
		}
	}
	return status
}

// TestCrowdsFitIntoTheMachine guards against hosts that run out of memory or descriptors
// since many clients send what the limits allow, or more, and leave it unfinished, to any
// listener.
func TestCrowdsFitIntoTheMachine(t *testing.T) {
	// The race detector takes a multiple of the memory.
	plain := filepath.Join(t.TempDir(), "kumquathoist")
	if out, err := exec.Command("go", "build", "-o", plain, "..").CombinedOutput(); err != nil {
		t.Fatalf("building the router: %v\n%s", err, out)
	}
	for _, tt := range crowds() {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, options{routers: 1, engines: 1, program: plain, configure: func(_ *system, conf *settings.Settings) {
				conf.Machine = settings.Machine{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
				conf.Limits.BodyBytes = crowdBodyBytes
			}})
			r := s.routers[0]
			held := standin.NewHeldBytes(r.cmd.Process.Pid, r.callers, r.operators, r.peers)
			leave := tt.join(tt.address(r))
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
			is.NoErr(err)
			status := r.sendAgain(`{"model":"matcher","prompt":"ordinary","max_tokens":1}`)
			leave()
			select {
			case <-r.done:
				t.Fatal("the host has ended")
			default:
			}
			sum, resident, unread := held.Stop()
			t.Logf("peak of %d MB (%d + %d unread), %d descriptors; status of an ordinary request: %d", sum>>20, resident>>20, unread>>20, len(open), status)
			if sum > crowdMemoryMB<<20 {
				t.Errorf("the host took %d MB of %d MB", sum>>20, crowdMemoryMB)
			}
			if len(open) >= crowdDescriptors {
				t.Errorf("the host has %d descriptors open, of %d", len(open), crowdDescriptors)
			}
			is.Equal(status, http.StatusOK)
		})
	}
}

package storenode_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// smallMemoryMB and smallDescriptors are those of the smallest machine of the platform.
	smallMemoryMB    = 88
	smallDescriptors = 4100
	// smallCrowdSize clients connect to the host.
	smallCrowdSize = 1900
	// comebacks is how often a client whose connection ends comes back.
	comebacks = 8
)

// smallCrowd is a crowd that meets the smallest machine.
type smallCrowd struct {
	crowd

	// prepare changes the deployment before the clients connect; nil changes nothing.
	prepare func(d *deployment)
	// service has the ordinary request go to a service instead of an engine.
	service bool
	// manyAddresses has each client come from an address of its own.
	manyAddresses bool
}

// dial opens the connection of a client.
func (c smallCrowd) dial(client int, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: crowdPatience}
	if c.manyAddresses {
		d.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 1, byte(client>>8), byte(client))}
	}
	return d.Dial("tcp4", address)
}

// silenceServices has the services accept connections and read nothing.
func silenceServices(d *deployment) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	d.is.NoErr(err)
	d.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	for _, s := range d.services {
		entry := s.Entry()
		entry["address"] = l.Addr().String()
		d.store.Put("keyed.servers", s.ID, entry)
	}
}

// endlessEvents has the engines send events without an end.
var endlessEvents = endlessAnswer{
	service: "models", begin: "HTTP/1.1 200 OK\r\nOWNContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	repeat: "400\r\ndata: " + strings.Repeat("e", 1016) + "\n\n\r\n",
}

// sendUnread sends a text on a connection that takes little of the answer.
func sendUnread(text string) func(net.Conn) error {
	return func(c net.Conn) error {
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		_, err := io.WriteString(c, text)
		return err
	}
}

// comeBack sends a text on a connection, and again on new ones each time that the host ends
// one.
func comeBack(text string) func(net.Conn) error {
	return func(c net.Conn) error {
		for range comebacks {
			_, err := io.WriteString(c, text)
			if err == nil {
				_, err = io.Copy(io.Discard, c)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			_ = c.Close()
			if c, err = net.DialTimeout("tcp4", c.RemoteAddr().String(), crowdPatience); err != nil {
				return err
			}
			_ = c.SetDeadline(time.Now().Add(crowdPatience))
		}
		return c.Close()
	}
}

// smallCrowds returns the crowds that meet the smallest machine.
func smallCrowds() []smallCrowd {
	const (
		head    = "POST /post/a HTTP/1.1\r\nHost: " + serviceHost + "\r\nX-Attempt-Id: a\r\nX-Api-Key: " + goodKey + "\r\n"
		length  = head + "Content-Length: 1048576\r\n\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		whole   = "POST /full/a HTTP/1.1\r\nHost: " + modelHost + "\r\nX-Attempt-Id: w\r\nX-Api-Key: " + goodKey +
			"\r\nX-Model: m1\r\nX-Token-Usage: 1000,20\r\nX-Prompt-Prefix: aa:300\r\nContent-Length: 1048576\r\n\r\n"
		stream = "POST /full/a HTTP/1.1\r\nHost: " + modelHost + "\r\nX-Attempt-Id: s\r\nX-Api-Key: " + goodKey +
			"\r\nX-Model: m1\r\nX-Token-Usage: 1000,20\r\nX-Prompt-Prefix: aa:300\r\nTransfer-Encoding: chunked\r\n\r\n"
		get = "GET /read/a HTTP/1.1\r\nHost: " + serviceHost + "\r\nX-Attempt-Id: g\r\nX-Api-Key: " + goodKey + "\r\n\r\n"
	)
	chunk := "10000\r\n" + strings.Repeat("c", 64<<10) + "\r\n"
	unfinished := length + strings.Repeat("b", crowdBodyBytes-16)
	paceEngines := func(d *deployment) {
		for _, e := range d.engines {
			e.Pace(100 * time.Millisecond)
		}
	}
	return []smallCrowd{
		{crowd: crowd{"a length, all but the end", callersOnly, sendText(unfinished), 0}},
		{crowd: crowd{"a length, all but the end, from many addresses", callersOnly, sendText(unfinished), 0}, manyAddresses: true},
		{crowd: crowd{"refused clients come back", callersOnly, comeBack(unfinished), 0}},
		{crowd: crowd{"large chunks, all but the last", callersOnly, sendRepeated(chunked, chunk, 15, 0), 0}},
		{crowd: crowd{"chunks of one byte", callersOnly, sendRepeated(chunked, strings.Repeat("1\r\nc\r\n", 1<<10), 16, 0), 0}},
		{crowd: crowd{"trickles", callersOnly, sendRepeated(length, strings.Repeat("t", 4<<10), 40, 50*time.Millisecond), 0}},
		{crowd: crowd{"small bodies, all but the end", callersOnly, sendText(head + "Content-Length: 12000\r\n\r\n" + strings.Repeat("s", 11990)), 0}},
		{crowd: crowd{"bodies of 60 KiB, all but the end", callersOnly, sendText(head + "Content-Length: 61440\r\n\r\n" + strings.Repeat("s", 61430)), 0}},
		{crowd: crowd{"whole prompts", callersOnly, sendText(whole + strings.Repeat("p", crowdBodyBytes)), 0}, prepare: paceEngines},
		{crowd: crowd{"whole bodies, a silent service", callersOnly, sendText(length + strings.Repeat("b", crowdBodyBytes)), 0}, prepare: silenceServices},
		{crowd: crowd{"large heads, then bodies", callersOnly, sendText(head + "X-Long: " + strings.Repeat("h", 15<<10) + "\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("b", crowdBodyBytes-16)), 0}},
		{crowd: crowd{"idle connections", callersOnly, keepIdle, 0}},
		{crowd: crowd{"pipelined requests, unread answers", callersOnly, sendRepeated("", strings.Repeat(get, 400), 8, 0), 64 << 10}},
		{crowd: crowd{"unread answers", callersOnly, sendText(get), 1 << 20}},
		{crowd: crowd{"streams that nobody reads", callersOnly, sendUnread(stream + "4\r\nbody\r\n0\r\n\r\n"), 0}, prepare: endlessEvents.start, service: true},
		{crowd: crowd{"half a head to all listeners", func(l settings.Listen) []string {
			return []string{l.Callers, l.Addresses, l.Readiness, l.Relays}
		}, sendText("GET / HTTP/1.1\r\nHost: "), 0}},
	}
}

// TestCrowdsFitIntoTheSmallestMachine guards against hosts that run out of memory since
// bytes that nobody has read, and connections, count toward it. A host with little memory
// has as many descriptors as a large one.
func TestCrowdsFitIntoTheSmallestMachine(t *testing.T) {
	program := buildDaemon(t)
	for _, tt := range smallCrowds() {
		t.Run(tt.name, func(t *testing.T) {
			d := newDeployment(t, 0, 2, 2)
			d.memoryMB, d.descriptors = smallMemoryMB, smallDescriptors
			h := d.process(program)
			if tt.answerBytes > 0 {
				d.largeAnswers(tt.answerBytes)
			}
			if tt.prepare != nil {
				tt.prepare(d)
			}
			listen := h.settings.Listen
			held := standin.NewHeldBytes(h.pid, listen.Callers, listen.Addresses, listen.Readiness, listen.Relays, listen.Peers)
			leave := tt.join(h, smallCrowdSize, tt.dial)
			open := h.descriptors(t)
			status := d.ordinary(h, tt.service)
			select {
			case err := <-h.ended:
				t.Fatalf("the host has ended: %v", err)
			default:
			}
			d.is.NoErr(syscall.Kill(h.pid, syscall.SIGTERM))
			select {
			case err := <-h.ended: // a planned stop ends beside the crowd
				t.Logf("the end of the process: %v", err)
			case <-time.After(awaitTimeout):
				t.Error("the host did not stop")
			}
			leave()
			sum, resident, unread := held.Stop()
			t.Logf("peak of %d MB (%d + %d unread), %d descriptors; status of an ordinary request: %d", sum>>20, resident>>20, unread>>20, open, status)
			if limit := int64(smallMemoryMB << 20); sum > limit {
				t.Errorf("the host took %d MB of %d MB", sum>>20, smallMemoryMB)
			}
			if open >= smallDescriptors {
				t.Errorf("the host has %d descriptors open, of %d", open, smallDescriptors)
			}
			d.is.Equal(status, http.StatusOK)
		})
	}
}

// ordinary sends an ordinary request, and again when its caller may, and returns the last
// status.
func (d *deployment) ordinary(h *hostProcess, service bool) int {
	status, host, path := 0, modelHost, "/full/b"
	if service {
		host, path = serviceHost, "/post/b"
	}
	for try := 0; try < ordinaryTries && status != http.StatusOK; try++ {
		a := d.do(h.testHost, http.MethodPost, host, path, fmt.Sprint("o", time.Now().UnixNano()), prompt, "body")
		status = a.status
		if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil && status != http.StatusOK {
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		}
	}
	return status
}

package storenode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// crowdSize clients connect to each listener that they use.
	crowdSize = 400
	// crowdDescriptors is the number of descriptors of the host.
	crowdDescriptors = 1000
	// crowdBodyBytes is the operators' limit of a body.
	crowdBodyBytes = 1 << 20
	// crowdPatience ends the writes and reads of a client that the host keeps waiting.
	crowdPatience = 20 * time.Second
	// ordinaryTries is how often an ordinary caller sends a request that is refused.
	ordinaryTries = 3
)

// crowd is a number of clients that the operators of a host don't control.
type crowd struct {
	name string
	// listeners returns the addresses that the clients connect to.
	listeners func(l settings.Listen) []string
	// send is what each client does on its connection, which stays open afterwards.
	send func(c net.Conn) error
	// answerBytes is the size of the answers of the service "desk"; 0 means that the
	// stand-in answers.
	answerBytes int
}

// callersOnly returns the address for callers.
func callersOnly(l settings.Listen) []string { return []string{l.Callers} }

// sendText returns a function that sends a text at once.
func sendText(text string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

// sendRepeated returns a function that sends a text, and then another one several times
// with a pause before each.
func sendRepeated(begin, repeated string, times int, pause time.Duration) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, begin)
		for i := 0; i < times && err == nil; i++ {
			time.Sleep(pause)
			_, err = io.WriteString(c, repeated)
		}
		return err
	}
}

// keepIdle has a connection be idle after an answer.
func keepIdle(c net.Conn) error {
	_, err := io.WriteString(c, "GET /read/a HTTP/1.1\r\nHost: "+serviceHost+"\r\nX-Attempt-Id: k\r\nX-Api-Key: "+goodKey+"\r\n\r\n")
	if err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}

// crowds returns all crowds.
func crowds() []crowd {
	const (
		head    = "POST /post/a HTTP/1.1\r\nHost: " + serviceHost + "\r\nX-Attempt-Id: a\r\nX-Api-Key: " + goodKey + "\r\n"
		length  = head + "Content-Length: 1048576\r\n\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		get     = "GET /read/a HTTP/1.1\r\nHost: " + serviceHost + "\r\nX-Attempt-Id: g\r\nX-Api-Key: " + goodKey + "\r\nConnection: close\r\n\r\n"
	)
	chunk := "10000\r\n" + strings.Repeat("c", 64<<10) + "\r\n"
	// Each client comes from the same address.
	return []crowd{
		{"a length, all but the end", callersOnly, sendText(length + strings.Repeat("b", crowdBodyBytes-16)), 0},
		{"a length, all but the end in pieces", callersOnly, sendRepeated(length, strings.Repeat("b", (crowdBodyBytes-16)/16), 16, 50*time.Millisecond), 0},
		{"a length, nothing", callersOnly, sendText(length), 0},
		{"large chunks, all but the last", callersOnly, sendRepeated(chunked, chunk, 15, 0), 0},
		{"chunks of one byte", callersOnly, sendRepeated(chunked, strings.Repeat("1\r\nc\r\n", 1<<10), 512, 0), 0},
		{"one chunk over the limit", callersOnly, sendText(chunked + "40000000\r\n" + strings.Repeat("c", crowdBodyBytes)), 0},
		{"a length over the limit", callersOnly, sendText(head + "Content-Length: 900000000\r\n\r\n" + strings.Repeat("b", crowdBodyBytes)), 0},
		{"chunks without an end", callersOnly, sendRepeated(chunked, chunk, 256, 0), 0},
		{"heads without an end", callersOnly, sendText(head + "X-Long: " + strings.Repeat("h", 15<<10)), 0},
		{"heads, a little at a time", callersOnly, sendRepeated(head, "X-More: "+strings.Repeat("h", 1000)+"\r\n", 14, 50*time.Millisecond), 0},
		{"idle connections", callersOnly, keepIdle, 0},
		{"idle connections to all listeners", func(l settings.Listen) []string {
			return []string{l.Callers, l.Addresses, l.Readiness, l.Relays}
		}, sendText(""), 0},
		{"half a head to all listeners", func(l settings.Listen) []string {
			return []string{l.Callers, l.Addresses, l.Readiness, l.Relays}
		}, sendText("GET / HTTP/1.1\r\nHost: "), 0},
		{"bodies to relay", func(l settings.Listen) []string { return []string{l.Relays} }, sendText(length + strings.Repeat("b", crowdBodyBytes-16)), 0},
		{"unread answers", callersOnly, sendText(get), 1 << 20},
		{"answers read slowly", callersOnly, func(c net.Conn) error {
			_, err := io.WriteString(c, get)
			for i := 0; i < 20 && err == nil; i++ {
				time.Sleep(50 * time.Millisecond)
				_, err = c.Read(make([]byte, 1000))
			}
			return err
		}, 1 << 20},
	}
}

// join connects a number of clients to each listener of the crowd and returns once each has
// sent all, or has failed. The returned function ends their connections.
func (c crowd) join(h *hostProcess, clients int, dial func(client int, address string) (net.Conn, error)) (leave func()) {
	var sending conc.WaitGroup
	connections := make(chan net.Conn, clients*len(c.listeners(h.settings.Listen)))
	for _, address := range c.listeners(h.settings.Listen) {
		for i := range clients {
			sending.Go(func() {
				conn, err := dial(i, address)
				if err != nil {
					return // the host may refuse it
				}
				connections <- conn
				if c.answerBytes > 0 {
					_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				}
				_ = conn.SetDeadline(time.Now().Add(crowdPatience))
				_ = c.send(conn) // the host may close it
			})
		}
	}
	sending.Wait()
	close(connections)
	return func() {
		for conn := range connections {
			_ = conn.Close()
		}
	}
}

// dialCrowd opens the connection of a client of a crowd.
func dialCrowd(_ int, address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, crowdPatience)
}

// descriptors returns the number of the process's open descriptors.
func (p *hostProcess) descriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// largeAnswers has the services answer with a number of bytes.
func (d *deployment) largeAnswers(size int) {
	e, err := standin.NewEndless(standin.EndlessOptions{Begin: func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s.%s\r\nContent-Length: %d\r\n\r\n", id, id, size)
	}, Repeat: strings.Repeat("a", 64<<10)})
	d.is.NoErr(err)
	d.t.Cleanup(e.Close)
	for _, s := range d.services {
		entry := s.Entry()
		entry["address"] = e.Address()
		d.store.Put("keyed.servers", s.ID, entry)
	}
}

// TestCrowdsFitIntoTheMachine guards against hosts that run out of memory or descriptors,
// and end with the requests of all callers, since many clients send what the operators'
// limits allow, or more, and leave it unfinished.
func TestCrowdsFitIntoTheMachine(t *testing.T) {
	program := buildDaemon(t)
	for _, tt := range crowds() {
		t.Run(tt.name, func(t *testing.T) {
			d := newDeployment(t, 0, 2, 2)
			d.descriptors = crowdDescriptors
			h := d.process(program)
			if tt.answerBytes > 0 {
				d.largeAnswers(tt.answerBytes)
			}
			send := func(body string) int {
				return d.do(h.testHost, http.MethodPost, modelHost, "/full/b", fmt.Sprint("o", time.Now().UnixNano()), prompt, body).status
			}
			held := standin.NewHeldBytes(h.pid, h.settings.Listen.Callers, h.settings.Listen.Addresses, h.settings.Listen.Readiness, h.settings.Listen.Relays, h.settings.Listen.Peers)
			leave := tt.join(h, crowdSize, dialCrowd)
			status := 0
			for try := 0; try < ordinaryTries && status != http.StatusOK; try++ {
				status = send("body")
			}
			open := h.descriptors(t)
			leave()
			d.await("the largest request is served", func() bool { return send(strings.Repeat("b", crowdBodyBytes)) == http.StatusOK })
			select {
			case err := <-h.ended:
				t.Fatalf("the host has ended: %v", err)
			default:
			}
			peak := h.peakBytes(t)
			sum, resident, unread := held.Stop()
			t.Logf("peak of %d MB, with unread bytes %d (%d + %d) MB, %d descriptors; status of an ordinary request: %d", peak>>20, sum>>20, resident>>20, unread>>20, open, status)
			if sum > hostMemoryMB<<20 {
				t.Errorf("the host took %d MB of %d MB with its unread bytes", sum>>20, hostMemoryMB)
			}
			if peak > hostMemoryMB<<20 {
				t.Errorf("the host took %d MB of %d MB", peak>>20, hostMemoryMB)
			}
			if open >= crowdDescriptors {
				t.Errorf("the host has %d descriptors open, of %d", open, crowdDescriptors)
			}
			d.is.Equal(status, http.StatusOK)
		})
	}
}

// TestLargestRequestInCalm sends one request of the largest legal size, in each form.
func TestLargestRequestInCalm(t *testing.T) {
	d := newDeployment(t, 0, 2, 2)
	h := d.process(buildDaemon(t))
	body := strings.Repeat("b", crowdBodyBytes)
	d.is.Equal(d.do(h.testHost, http.MethodPost, serviceHost, "/post/a", "length", nil, body).status, http.StatusOK)
	for id, chunk := range map[string]int{"large": 64 << 10, "small": 64, "one": len(body)} {
		c := d.client(h.testHost)
		var chunks []string
		for rest := body; rest != ""; rest = rest[chunk:] {
			chunks = append(chunks, rest[:chunk])
		}
		c.writeInChunks(serviceHost, "/post/a", id, "4000", chunks...)
		d.is.Equal(c.read().status, http.StatusOK)
	}
}

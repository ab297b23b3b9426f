package storenode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/socket"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	signedFields = "X-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n"
	brokenBody   = "internal error"
	// resetDelay is how long after its head a service resets a connection.
	resetDelay = 30 * time.Millisecond
	// receiveBytes is the size of its receive buffer.
	receiveBytes = 4 << 10
)

// invalidHeads are answers of services whose heads are invalid.
func invalidHeads() []standin.RawAnswer {
	return standin.InvalidHeads(signedFields, brokenBody, []string{
		"X A: v", "X-A : v", " X-A: v", "\nX-A: v", "X-Not-Executed : 1", "Content Length: 4", fmt.Sprintf("Content-Length : %d", len(brokenBody)), "Transfer-Encoding : chunked", "X\x00A: v", "X\tA: v", "X\x7fA: v",
	})
}

// moveService sets the address of the deployment's service and waits until it gets requests.
func (d *deployment) moveService(address string, requests func() int) {
	d.t.Helper()
	entry := d.services[0].Entry()
	entry["address"] = address
	d.store.Put("keyed.servers", d.services[0].ID, entry)
	d.await("the host knows the service's address", func() bool {
		d.do(d.hosts[0], http.MethodGet, serviceHost, "/read/a", fmt.Sprint("early", time.Now().UnixNano()), nil, "")
		return requests() > 0
	})
}

// checkInvalidHeads sends a call that runs at most once for each invalid head. Its caller must get
// neither the head nor the body, and the server the call only once.
func (d *deployment) checkInvalidHeads(server *standin.Scripted) {
	d.t.Helper()
	for nth, head := range invalidHeads() {
		server.Answer(head)
		before := server.Requests()
		a := d.do(d.hosts[0], http.MethodPost, serviceHost, "/post/a", fmt.Sprint("r", nth), nil, "body")
		if a.status != http.StatusBadGateway || strings.Contains(a.body, brokenBody) {
			d.t.Errorf("%s: answered %d with %v and %q", head.Name, a.status, a.header, a.body)
		}
		if n := server.Requests() - before; n != 1 {
			d.t.Errorf("%s: %d requests", head.Name, n)
		}
	}
}

// TestInvalidHeadsReachNoCaller has a service answer with invalid heads.
func TestInvalidHeadsReachNoCaller(t *testing.T) {
	d := newDeployment(t, 1, 0, 1)
	service, err := standin.NewScripted(invalidHeads()[0])
	is.New(t).NoErr(err)
	t.Cleanup(service.Close)
	d.moveService(service.Address(), service.Requests)
	d.checkInvalidHeads(service)
}

// TestInvalidHeadsOfRelaysReachNoCaller passes requests on to a host that answers with invalid
// heads.
func TestInvalidHeadsOfRelaysReachNoCaller(t *testing.T) {
	d, dialer := newCutDeployment(t)
	dialer.set(resetCut)
	d.await("the host passes requests on", func() bool {
		return d.do(d.hosts[0], http.MethodGet, serviceHost, "/read/a", fmt.Sprint("early", time.Now().UnixNano()), nil, "").status == http.StatusOK
	})
	host, err := standin.NewScripted(invalidHeads()[0])
	d.is.NoErr(err)
	t.Cleanup(host.Close)
	dialer.relaysTo.Store(host.Address())
	dialer.resetRelays()
	d.await("requests go to the other host", func() bool {
		d.do(d.hosts[0], http.MethodGet, serviceHost, "/read/a", fmt.Sprint("early", time.Now().UnixNano()), nil, "")
		return host.Requests() > 0
	})
	d.checkInvalidHeads(host)
}

// TestPartOfAnswerToResetUploadIsNotWhole has a service answer long uploads at once with a success
// without a length, send a part of its body and reset the connection.
func TestPartOfAnswerToResetUploadIsNotWhole(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 0, 1)
	l, err := socket.Listen("127.0.0.1:0", receiveBytes, 16) // the upload fills the buffers
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	var answered atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			head := make([]byte, 512)
			n, _ := conn.Read(head)
			_, id, _ := strings.Cut(string(head[:n]), "X-Attempt-Id: ")
			id, _, _ = strings.Cut(id, "\r")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.ReplaceAll(signedFields, "ID", id)+"\r\na part")
			time.Sleep(resetDelay)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			answered.Add(1)
		}
	}()
	d.moveService(l.Addr().String(), func() int { return int(answered.Load()) })
	upload := strings.Repeat("b", 1<<20)
	for nth := range 10 {
		a := d.do(d.hosts[0], http.MethodPost, serviceHost, "/post/a", fmt.Sprint("r", nth), nil, upload)
		is.Equal(a.status, http.StatusBadGateway)
		is.True(!strings.Contains(a.body, "a part"))
	}
	is.True(answered.Load() > 10) // all uploads came there
}

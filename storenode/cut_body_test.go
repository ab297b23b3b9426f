package storenode_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestCutAnswerIsNotFilledUpWithACopy has a service cut its answers and write the copy of a
// refusal right after them: callers must not get that as a part of the answer.
func TestCutAnswerIsNotFilledUpWithACopy(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 0, 1)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: earlier\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	body := strings.Repeat("the service's answer, ", 4)
	var answered atomic.Int64
	service, err := standin.NewEndless(standin.EndlessOptions{Begin: func(id string) string {
		cut := int(answered.Add(1)) % len(body)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n", id, len(body)) + body[:cut] + refusal
	}})
	is.NoErr(err)
	t.Cleanup(service.Close)
	entry := d.services[0].Entry()
	entry["address"] = service.Address()
	d.store.Put("keyed.servers", d.services[0].ID, entry)
	send := func(id string) answer {
		return d.do(d.hosts[0], http.MethodPost, serviceHost, "/post/a", id, nil, "body")
	}
	d.await("the host knows the service's address", func() bool {
		return send(fmt.Sprint("early", time.Now().UnixNano())).body != "" && answered.Load() > 0
	})
	for n := range len(body) {
		if a := send(fmt.Sprint("r", n)); a.status != http.StatusBadGateway {
			t.Errorf("answered %d with %q", a.status, a.body)
		}
	}
	d.await("all arrived", func() bool { return answered.Load() >= int64(len(body)) })
}

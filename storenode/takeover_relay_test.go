package storenode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestErrorByWayOfAnotherHostStaysOutOfIdleStream has a host that can open no connections
// to engines pass an idle stream on to another host, whose engines answer with an error.
// No more engines run it than its route allows, and since the engine before still works,
// the rest of the stream comes from there.
func TestErrorByWayOfAnotherHostStaysOutOfIdleStream(t *testing.T) {
	const maxAttempts = 2
	is := is.NewRelaxed(t)
	d := newDeployment(t, 0, 3, 0)
	d.configure(func(c map[string]any) {
		full := c["routes"].([]any)[0].(map[string]any)
		full["target_latency_ms"], full["timeout_ms"], full["max_attempts"] = 500, 20000, maxAttempts
	})
	dialer := &cutDialer{}
	d.dialers = map[int]*cutDialer{0: dialer}
	for i := range 2 {
		d.host(i)
	}
	dialer.relayPort = d.relayPort
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	d.await("the host knows that the other is ready", func() bool { return len(d.addresses(d.hosts[0])) == 2 })
	for _, e := range d.engines {
		e.Pace(1500 * time.Millisecond)
	}
	c := d.client(d.hosts[0])
	c.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
	d.await("the stream runs", func() bool { return d.executions(silentRequest) == 1 })
	time.Sleep(100 * time.Millisecond) // its first event
	for _, e := range d.engines {
		if e.Ran()[silentRequest] > 0 {
			e.RejectWithRetryAfter("1", awaitTimeout)
		}
		e.AnswerResumed("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nerror")
	}
	dialer.set(refuseCut)
	other := d.client(d.hosts[0]) // its request finds that engines accept no connections
	other.write(http.MethodPost, modelHost, "/full/a", "other", silentPrompt, "body")
	a := c.read()
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, completeStream())
	is.True(!a.truncated)
	ran := 0
	for _, e := range d.engines {
		ran += min(e.Ran()[silentRequest], 1)
	}
	is.True(ran > 1) // the stream was passed on
	is.True(ran <= maxAttempts)
}

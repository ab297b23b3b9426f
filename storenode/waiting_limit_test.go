package storenode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitingStreamsLeaveLimitsToRequests guards against requests that are refused since streams
// without a retry budget use up an engine's limit, though they are not sent.
func TestWaitingStreamsLeaveLimitsToRequests(t *testing.T) {
	const streams = 80
	is := is.New(t)
	d := newDeployment(t, 0, 1, 0)
	d.configure(func(config map[string]any) {
		config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 20000
	})
	d.awaitReady(d.host(0))
	source := d.engines[0]
	source.Pace(800 * time.Millisecond)
	answers := make(chan answer, streams)
	for i := range streams {
		go func() {
			answers <- d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", i), patientPrompt(i), "body")
		}()
	}
	d.await("all run", func() bool { return len(source.Ran()) == streams })
	time.Sleep(900 * time.Millisecond) // the first events have arrived
	target := d.target()
	target.NameLimit("20")
	is.Equal(d.do(d.hosts[0], http.MethodPost, modelHost, "/full/b", "names the limit", patientPrompt(1000), "body").status, http.StatusOK)
	d.store.Remove(source)
	source.Close()
	time.Sleep(3 * time.Second) // the retry budget is used up, the rest of the streams wait
	before := len(target.Seen())
	refused := 0
	for i := range 10 {
		a := d.do(d.hosts[0], http.MethodPost, modelHost, "/flag/a", fmt.Sprint("n", i), patientPrompt(2000+i), "body")
		if a.status != http.StatusOK {
			refused++
		}
	}
	t.Logf("%d of 10 refused, %d arrivals before", refused, before)
	is.Equal(refused, 0)
}

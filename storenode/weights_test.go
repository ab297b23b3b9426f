package storenode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRequestsThatWaitAtReplacedWeightsAreWithdrawn has a request wait at an
// engine whose weights are replaced meanwhile, and whose order is lost: it is
// withdrawn before the weights may no longer answer.
func TestRequestsThatWaitAtReplacedWeightsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 1, 0)
	w.weightsMillis = 2000
	w.awaitReady(w.host(0))
	const long = 120_000
	w.configure(func(config map[string]any) {
		config["routes"] = []any{route("flag", modelHost, "/long/", "streaming", "models", map[string]any{"sticky": true, "max_attempts": 1, "timeout_ms": long})}
	})
	headers := map[string]string{"X-Deadline-Ms": "120000"}
	for k, v := range prompt {
		headers[k] = v
	}
	w.await("the route is known", func() bool {
		return w.do(w.hosts[0], "POST", modelHost, "/long/a", fmt.Sprint(time.Now().UnixNano()), headers, "before").status == http.StatusOK
	})
	w.engines[0].Fail(standin.SilentFault, 1)
	answers := make(chan answer, 1)
	go func() { answers <- w.do(w.hosts[0], "POST", modelHost, "/long/a", "waits", headers, "body") }()
	w.await("it waits", func() bool { return w.arrived("waits") == 1 })
	w.store.NameWeights("m1", 2)
	w.await("it is withdrawn", func() bool { return w.engines[0].AbandonedRequests() == 1 })
	is.Equal((<-answers).status, http.StatusGatewayTimeout)
}

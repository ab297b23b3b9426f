package node

import (
	"context"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which metrics are reported.
const metricsInterval = time.Second

// startMetrics returns the root metrics scope and the handler that serves the
// metrics to scrapers.
func (n *Node) startMetrics(ctx context.Context) (tally.Scope, http.Handler) {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	metrics, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "kumquathoist", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, metricsInterval)
	n.wait.Go(func() {
		<-ctx.Done()
		_ = closer.Close()
	})
	return metrics, reporter.HTTPHandler()
}

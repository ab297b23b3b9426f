package node

import (
	"context"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the time between two reports of metrics.
const metricsInterval = time.Second

// startMetrics returns the root of the metrics and the handler that shows
// them to a scraper.
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

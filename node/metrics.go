package node

import (
	"context"
	"net/http"
	"strconv"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/kumquathoist/kumquathoist/engine"
)

// reportInterval is the time between two reports of the metrics.
const reportInterval = time.Second

// startMetrics returns the root of the metrics and the endpoint for scrapers.
func (n *Node) startMetrics(ctx context.Context) (tally.Scope, http.Handler) {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	metrics, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "kumquathoist", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, reportInterval)
	n.wait.Go(func() {
		<-ctx.Done()
		_ = closer.Close()
	})
	return metrics, reporter.HTTPHandler()
}

// meteredEngines counts the attempts at engines.
type meteredEngines struct {
	*engine.Tracker

	metrics tally.Scope
}

// Started counts an attempt once it has ended.
func (m meteredEngines) Started(c engine.Choice) func(engine.Report) {
	ended := m.Tracker.Started(c)
	return func(r engine.Report) {
		answered := map[string]string{"answered": strconv.FormatBool(r.Answered)}
		m.metrics.Tagged(answered).Counter("upstream_attempts").Inc(1)
		ended(r)
	}
}

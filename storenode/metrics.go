package storenode

import (
	"context"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/http1"
)

// metricsInterval is the time between two reports of metrics.
const metricsInterval = time.Second

// report shows gauges until the context ends.
func (n *Site) report(ctx context.Context, scope tally.Scope, connections *http1.Pool) {
	for ctx.Err() == nil {
		clock.Pause(ctx, metricsInterval)
		book := n.keeper.State()
		for name, value := range map[string]float64{
			"catalog_version":       float64(book.Catalog.Version),
			"knowledge_age_seconds": n.keeper.Staleness().Seconds(),
			"upstreams_known":       float64(book.Upstreams.Len()),
			"connections_made":      float64(connections.Dialled()),
			"requests_open":         float64(n.door.Open()),
			"hosts_known":           float64(len(n.directory.Hosts())),
		} {
			scope.Gauge(name).Update(value)
		}
	}
}

// startMetrics returns the root of the metrics and the handler that shows
// them to a scraper.
func startMetrics(ctx context.Context, wait *conc.WaitGroup) (tally.Scope, fasthttp.RequestHandler) {
	registered := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registered, Gatherer: registered})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "kumquathoist", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, metricsInterval)
	wait.Go(func() {
		<-ctx.Done()
		_ = closer.Close()
	})
	return scope, fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
}

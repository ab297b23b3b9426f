package site

import (
	"context"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// metricsInterval is the time between two reports of metrics.
const metricsInterval = time.Second

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

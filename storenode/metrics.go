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
	"github.com/kumquathoist/kumquathoist/replica"
)

const (
	// metricsInterval is the interval between updates of metrics.
	metricsInterval = time.Second
	// checksumShift leaves the bits of a checksum that a gauge can hold exactly.
	checksumShift = 32
)

// updateGauges updates the gauges until the context ends.
func (n *Node) updateGauges(ctx context.Context, scope tally.Scope, connections *http1.Pool) {
	for ctx.Err() == nil {
		clock.Pause(ctx, metricsInterval)
		state := n.syncer.State()
		for name, value := range map[string]float64{
			"catalog_version":       float64(state.Catalog.Version),
			"knowledge_age_seconds": n.syncer.Staleness().Seconds(),
			"upstreams_known":       float64(state.Upstreams.Len()),
			"connections_made":      float64(connections.Dialled()),
			"requests_open":         float64(n.server.OpenRequests()),
			"hosts_known":           float64(len(n.directory.Hosts())),
		} {
			scope.Gauge(name).Update(value)
		}
		for _, t := range replica.Topics() {
			digest, tagged := state.Digest(t), scope.Tagged(map[string]string{"topic": t.String()})
			tagged.Gauge("replica_position").Update(float64(digest.Position))
			tagged.Gauge("replica_checksum").Update(float64(digest.Sum >> checksumShift))
		}
	}
}

// startMetrics returns the root scope of the metrics and the handler that serves
// them to scrapers.
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

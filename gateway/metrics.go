package gateway

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/request"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// firstTokenBuckets are the upper bounds of the time-to-first-token histogram.
var firstTokenBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	1400 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// recordOutcome counts and logs the outcome of a request.
func (g *Gateway) recordOutcome(id, account string, f *request.Failure) {
	outcome, code := request.Done, request.Code("None")
	if f != nil {
		outcome, code = f.Outcome, f.Code
	}
	g.Metrics.Tagged(map[string]string{"outcome": string(outcome), "code": string(code)}).Counter("requests").Inc(1)
	event.RequestEnded.Info("Request", id, "Account", account, "Outcome", outcome, "Code", code)
}

// recordFirstToken records how long a caller waited for the first event.
func (g *Gateway) recordFirstToken(started time.Time) {
	g.Metrics.Histogram("first_token_seconds", firstTokenBuckets).RecordDuration(time.Since(started))
}

// updateGauges updates the gauges periodically until the context ends.
func (g *Gateway) updateGauges(ctx context.Context) {
	update := func(context.Context) {
		_, configured := g.Document()
		g.gauge("open_requests", float64(g.openRequests.Load()))
		g.gauge("open_connections", float64(g.listener.CountOpen()))
		g.gauge("ready", boolToFloat(configured && !g.stopping.Load()))
	}
	update(ctx)
	clock.Every(ctx, gaugeInterval, update)
}

func (g *Gateway) gauge(name string, value float64) { g.Metrics.Gauge(name).Update(value) }

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

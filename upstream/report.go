package upstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/connection"
)

// Load is the load and status that an engine reports.
type Load struct {
	Name        string
	Incarnation int64
	Version     string
	Running     int
	Queued      int
	Leaving     bool
	// Loading reports whether the engine is loading and takes no requests.
	Loading bool
	// Fence is the greatest fencing number among the orders that the engine
	// checked.
	Fence    int64
	Role     string
	Adapters []string
}

// Load fetches the load of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.report(ctx, address, "/control/load", &load)
	return load, trace.Wrap(err, "fetching the load of %s", address)
}

// Events fetches an engine's load and its cache events after a number.
func (c *Client) Events(ctx context.Context, address string, after uint64) (CacheReport, error) {
	var report CacheReport
	err := c.report(ctx, address, "/control/events?After="+strconv.FormatUint(after, 10), &report)
	return report, trace.Wrap(err, "fetching the cache events of %s", address)
}

// report decodes what an engine reports of itself. No two calls have one ID, so that an
// answer with the ID of the call is the answer to it; engines that repeat no ID get each
// call on a connection of its own.
func (c *Client) report(ctx context.Context, address, target string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	id := strconv.FormatUint(rand.Uint64(), 16)
	req.Header.Set(callHeader, id)
	repeatsID := func(a connection.Answer) bool { return a.Header.Get(callHeader) == id }
	a, err := c.reports.RoundTrip(connection.Call{Request: req, Fits: repeatsID, Keeps: repeatsID})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return trace.ConnectionProblem(nil, "%s answered %s", address, http.StatusText(a.Status))
	}
	if answered := a.Header.Get(callHeader); answered != "" && answered != id {
		return trace.ConnectionProblem(nil, "%s answered the call %s instead of %s", address, answered, id)
	}
	return json.Unmarshal(a.Body, into)
}

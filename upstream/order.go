package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/rollout"
)

// Order sends an order to an engine once. It returns trace.CompareFailed if the
// engine refused the order because the fencing number is outdated, and
// trace.LimitExceeded for any other refusal. After trace.ConnectionProblem, the
// engine may have accepted the order.
func (c *Client) Order(ctx context.Context, address string, o rollout.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/orders", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.single.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "sending an order to %s", address)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return trace.CompareFailed("%s has a greater fencing number than %d", address, o.Fence)
	}
	return trace.LimitExceeded("%s answered the order with %s", address, resp.Status)
}

package endtoend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/gateway"
)

// newKey returns a new idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestPath tests the main functions end to end with separate processes.
func TestPath(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 3})

	// Any router answers address requests.
	var answer gateway.AddressAnswer
	eventually(t, "every router is in the address answer", func() bool {
		body, _ := s.routers[1].send(t, http.MethodGet, "/v1/addresses", nil, "")
		is.NoErr(json.Unmarshal([]byte(body), &answer))
		return len(answer.Addresses) == 3
	})
	is.Equal(answer.Addresses[0].FailureDomain, "abbotsford")

	// A streamed completion is complete and in order.
	resp, err := s.routers[0].open(http.MethodPost, "/v1/chat/completions", nil,
		`{"model":"matcher","stream":true,"messages":[{"role":"system","content":"rules"},{"role":"user","content":"pair"}]}`)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	position, ended := 0, false
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		line := scanner.Text()
		if strings.HasPrefix(line, "id: ") {
			position++
			is.Equal(line, fmt.Sprintf("id: %d", position))
		}
		ended = ended || line == "data: [DONE]"
	}
	is.Equal(position, 32)
	is.True(ended)

	// A booking sent to two routers is executed once and gets the same answer.
	key := map[string]string{"Idempotency-Key": newKey()}
	first, status := s.routers[0].send(t, http.MethodPost, "/services/approvals/approve", key, `{"Invoice":17}`)
	is.Equal(status, http.StatusOK)
	second, status := s.routers[2].send(t, http.MethodPost, "/services/approvals/approve", key, `{"Invoice":17}`)
	is.Equal(status, http.StatusOK)
	is.Equal(first, second)
	is.Equal(s.executions(t)[key["Idempotency-Key"]], 1)

	// A configuration change is applied on every router.
	s.publish(t, document.RoutingSection, document.Routing{WasteWeight: 0.5})
	for i := range s.routers {
		eventually(t, "the change is applied", func() bool {
			output, err := s.runCommand(i, "show", "Routing")
			return err == nil && strings.Contains(output, "WasteWeight: 0.5")
		})
	}

	// The metrics cover the requests, and no output contains a secret.
	metrics := s.metrics(t, 0)
	for _, line := range []string{
		`kumquathoist_requests{code="None",outcome="Done"}`, "kumquathoist_first_token_seconds_bucket",
		"kumquathoist_open_requests", "kumquathoist_open_connections", "kumquathoist_ready 1",
		`kumquathoist_upstream_attempts{answered="true"}`,
	} {
		if !strings.Contains(metrics, line) {
			t.Errorf("no %s in the metrics:\n%s", line, metrics)
		}
	}
	processes := []*process{s.log.process, s.hostList.process, s.service.process}
	for _, e := range s.engines {
		processes = append(processes, e.process)
	}
	for _, r := range s.routers {
		processes = append(processes, r.process)
	}
	for _, p := range processes {
		for _, secret := range []string{operatorKey, "peers-test", accountKey} {
			is.True(!strings.Contains(p.output(), secret)) // the output contains no secret
		}
	}
}

// metrics waits until a router's metrics are reported and returns them.
func (s *system) metrics(t *testing.T, router int) string {
	t.Helper()
	r := *s.routers[router]
	r.callers = r.operators
	var body string
	eventually(t, "the metrics are reported", func() bool {
		body, _ = r.send(t, http.MethodGet, "/metrics", nil, "")
		return strings.Contains(body, "kumquathoist_ready 1")
	})
	return body
}

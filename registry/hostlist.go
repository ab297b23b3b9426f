package registry

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/socket"
)

// hostListTimeout bounds one read of the host list.
const hostListTimeout = 5 * time.Second

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	// Live hosts accept requests.
	Live HostState = "Live"
	// Leaving hosts only finish the requests that they have.
	Leaving HostState = "Leaving"
)

// HostRole is what runs on a host.
type HostRole string

// The roles of a host.
const (
	// EntryHost runs the router daemon.
	EntryHost HostRole = "Entry"
	// UpstreamHost runs an engine or a plain service.
	UpstreamHost HostRole = "Upstream"
)

// Host is one entry of the host list.
type Host struct {
	Name          string
	Role          HostRole
	FailureDomain string
	Region        string
	State         HostState
	// Callers is the IP:port for callers (entry hosts only).
	Callers string
	// Peers is the IP:port for other entry hosts (entry hosts only).
	Peers string
}

// HostList is a client of the platform's host list.
type HostList struct {
	baseURL string
	client  *http.Client
}

// NewHostList returns a client of the host list at the base URL.
func NewHostList(base string) *HostList {
	client := socket.NewHTTPClient(newTransport())
	client.Timeout = hostListTimeout
	return &HostList{baseURL: base, client: client}
}

// Hosts returns the current host list.
func (h *HostList) Hosts(ctx context.Context) ([]Host, error) {
	var answer struct{ Hosts []Host }
	err := call(ctx, h.client, http.MethodGet, h.baseURL+"/hosts", nil, &answer)
	return answer.Hosts, trace.Wrap(err, "reading the host list")
}

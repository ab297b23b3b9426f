package storenode

import (
	"cmp"
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/intake"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/settings"
)

const (
	// requestShare is the share of the host's memory for the bodies of requests in
	// progress.
	requestShare = 0.35
	// smallRequestShare is the share of the host's memory for small bodies alone.
	smallRequestShare = 0.05
	// callersDivisor divides the file descriptors to get the limit of caller
	// connections. Upstreams, peers and the store need the rest.
	callersDivisor = 2
)

// allotment returns what clients may make this host hold.
func (n *Node) allotment() intake.Allotment {
	return intake.Allotment{
		Limits:      intake.Limits{Bytes: n.memory(requestShare), SmallBytes: n.memory(smallRequestShare)},
		Connections: n.settings.Machine.Descriptors / callersDivisor, ReceiveBytes: cmp.Or(n.settings.Machine.ReceiveBytes, intake.DefaultReceiveBytes),
	}
}

// newServer starts the server for callers, other hosts and what looks after hosts.
func (n *Node) newServer(ctx context.Context, secret settings.Secret, scope tally.Scope, metrics fasthttp.RequestHandler) (*platform.Server, error) {
	return platform.NewServer(ctx, &n.wait, platform.Options{
		Callers: n.settings.Listen.Callers, Addresses: n.settings.Listen.Addresses, Readiness: n.settings.Listen.Readiness, MetricsAddress: n.settings.Listen.Metrics,
		Relays: n.settings.Listen.Relays, RelaySecret: secret,
		Router: n.router, Ready: n.syncer.Ready, Hosts: n.nearbyHosts, Allotment: n.allotment(), AddressTTL: addressTTL,
		BodyLimit: func() int { return n.syncer.State().Catalog.Limits.BodyBytes }, Metrics: metrics,
		IdleLimit:     func() time.Duration { return n.syncer.State().Catalog.Limits.IdleTimeout },
		HeaderTimeout: func() time.Duration { return n.syncer.State().Catalog.Limits.HeaderTimeout },
		Scope:         scope,
	})
}

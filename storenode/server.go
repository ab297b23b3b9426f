package storenode

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/settings"
)

// newServer starts the server for callers, other hosts and what looks after hosts.
func (n *Node) newServer(ctx context.Context, secret settings.Secret, answers *ingress.Answers, scope tally.Scope, metrics fasthttp.RequestHandler) (*platform.Server, error) {
	return platform.NewServer(ctx, &n.wait, platform.Options{
		Callers: n.settings.Listen.Callers, Addresses: n.settings.Listen.Addresses, Readiness: n.settings.Listen.Readiness, MetricsAddress: n.settings.Listen.Metrics,
		Relays: n.settings.Listen.Relays, RelaySecret: secret,
		Router: n.router, Ready: n.syncer.Ready, Hosts: n.nearbyHosts, Allotment: n.settings.Machine.Allotment(platform.MaxHeadBytes), Answers: answers, AddressTTL: addressTTL,
		BodyLimit: func() int { return n.syncer.State().Catalog.Limits.BodyBytes }, Metrics: metrics,
		IdleLimit:     func() time.Duration { return n.syncer.State().Catalog.Limits.IdleTimeout },
		HeaderTimeout: func() time.Duration { return n.syncer.State().Catalog.Limits.HeaderTimeout },
		Scope:         scope,
	})
}

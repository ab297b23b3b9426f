package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/limiter"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

// startupPartDelay is how long a new process owns no part of the limits of accounts: it
// may know too few other hosts.
const startupPartDelay = 300 * time.Millisecond

// credits enforces the limits of accounts.
type credits struct {
	*limiter.Credits

	// mu guards peak, the hosts that share the limits.
	mu   sync.Mutex
	peak retrybudget.PeakHosts
}

// startCredits starts enforcing the limits of accounts.
func (n *Node) startCredits(ctx context.Context, pool *peer.Pool, scope tally.Scope) {
	n.credits.Credits = limiter.NewCredits(ctx, &n.wait, limiter.CreditOptions{
		Host: n.settings.Host.Name, Hosts: n.coordinators, Known: n.sharingHosts, Limit: n.accountLimit, Active: n.limitsAccounts, Peers: pool, Metrics: scope,
	})
}

// register adds the service for other hosts to a mux.
func (c *credits) register(mux drpc.Mux) error { return limiter.RegisterCredits(mux, c.Credits) }

// lateCredits passes the router's calls to the credits, which are created after it.
type lateCredits struct{ node *Node }

// Take charges a request to its account, or refuses it.
func (l lateCredits) Take(ctx context.Context, d account.Demand) (giveBack func(), refused account.Refusal) {
	return l.node.credits.Take(ctx, d)
}

// coordinators returns the hosts that may coordinate the limits of accounts: this one and
// those that are in touch and don't stop.
func (n *Node) coordinators() []registry.Host {
	found := []registry.Host{{Name: n.settings.Host.Name, Peers: n.settings.Listen.PeersAddress()}}
	for _, h := range n.directory.Peers() {
		if h.State != registry.Leaving && h.Peers != "" && n.loadReports.Alive(h.Name) {
			found = append(found, h)
		}
	}
	return found
}

// sharingHosts returns the number of hosts that share the limits of accounts, or 0 as long
// as this host knows no configuration or has just started.
func (n *Node) sharingHosts() int {
	now := clock.Now()
	n.credits.mu.Lock()
	defer n.credits.mu.Unlock()
	n.credits.peak = n.credits.peak.With(max(n.countHosts(), len(n.settings.Platform.Seeds)), now)
	if !n.syncer.Ready() || now.Sub(n.started) < startupPartDelay {
		return 0
	}
	return n.credits.peak.Hosts()
}

// accountLimit returns the limit of an account, if it has one.
func (n *Node) accountLimit(name string) (account.Limit, bool) {
	a, ok := n.syncer.State().Catalog.Account(name)
	return a.Limit.Limit, ok && a.Limit.IsSet()
}

// limitsAccounts reports whether any account has a limit.
func (n *Node) limitsAccounts() bool { return n.syncer.State().Catalog.LimitsAccounts }

package storenode

import (
	"context"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/registry"
)

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
// as this host knows no configuration.
func (n *Node) sharingHosts() int {
	if !n.syncer.Ready() {
		return 0
	}
	n.peakMu.Lock()
	defer n.peakMu.Unlock()
	n.peakHosts = n.peakHosts.With(n.countHosts(), clock.Now())
	return n.peakHosts.Hosts()
}

// accountLimit returns the limit of an account, if it has one.
func (n *Node) accountLimit(name string) (account.Limit, bool) {
	a, ok := n.syncer.State().Catalog.Account(name)
	return a.Limit.Limit, ok && a.Limit.IsSet()
}

// limitsAccounts reports whether any account has a limit.
func (n *Node) limitsAccounts() bool { return n.syncer.State().Catalog.LimitsAccounts }

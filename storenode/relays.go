package storenode

import (
	"context"
	"net"
	"net/netip"

	"github.com/kumquathoist/kumquathoist/forward"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/relay"
	"github.com/kumquathoist/kumquathoist/settings"
)

// newRelays returns what the router needs to pass requests on to other hosts; nothing
// if the settings have no address for that.
func (n *Node) newRelays(ctx context.Context, secret settings.Secret) forward.Relays {
	if n.settings.Listen.Relays == "" {
		return forward.Relays{}
	}
	wire := platform.RelayWire{Secret: secret}
	connections := http1.NewPool(wire, n.upstreamDialer)
	n.wait.Go(func() { connections.Sweep(ctx) })
	return forward.Relays{Hosts: n.relayHosts, Sender: connections, Encoder: wire}
}

// relayHosts returns the other hosts to which requests may be passed on: those that
// stay and were heard of lately.
func (n *Node) relayHosts() []relay.Host {
	own, err := netip.ParseAddrPort(n.settings.Listen.Relays)
	if err != nil {
		return nil
	}
	var found []relay.Host
	for _, h := range n.directory.Hosts() {
		if h.Name == n.settings.Host.Name || h.Leaving || h.State != membership.Live || !n.loadReports.Alive(h.Name) {
			continue
		}
		peers, err := netip.ParseAddrPort(h.Peers)
		if err != nil {
			continue
		}
		address := net.TCPAddrFromAddrPort(netip.AddrPortFrom(peers.Addr(), own.Port()))
		found = append(found, relay.Host{Name: h.Name, FailureDomain: h.FailureDomain, Address: address.String(), Withdrawn: h.Load >= membership.MaxLoad})
	}
	return found
}

package node

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/departuregossip"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// startDepartures gossips with the other hosts about leaving upstreams. It
// returns a function that reports whether an upstream gets no new work,
// because the host list or any other host marks it as leaving.
func (n *Node) startDepartures(ctx context.Context, pool *peer.Pool, directory *host.Directory, current func() document.Document) (func(string) bool, error) {
	listed := func() []string {
		var names []string
		for _, p := range current().Capacity.Pools {
			for _, u := range p.Upstreams {
				if directory.Leaving(u.Name) {
					names = append(names, u.Name)
				}
			}
		}
		return names
	}
	gossiper := departuregossip.NewGossiper(ctx, &n.wait, departuregossip.Options{ListedLeaving: listed, Peers: n.peerLister(directory), Connections: pool})
	err := peerpb.DRPCRegisterDepartures(n.peers.Mux, gossiper)
	return func(name string) bool { return directory.Leaving(name) || gossiper.Leaving(name) }, trace.Wrap(err, "registering the departures service")
}

// peerLister returns a function that lists the peer addresses of the other
// hosts.
func (n *Node) peerLister(directory *host.Directory) func() []string {
	return func() []string {
		var addresses []string
		for _, h := range directory.Entries() {
			if h.Name != n.settings.Host.Name && h.Peers != "" {
				addresses = append(addresses, h.Peers)
			}
		}
		return addresses
	}
}

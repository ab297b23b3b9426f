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

// startDepartures exchanges with the other hosts which upstreams are leaving.
// It returns what tells whether an upstream gets no new work: the host list
// or any other host says so.
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
	board := departuregossip.NewGossiper(ctx, &n.wait, departuregossip.Options{ListedLeaving: listed, Peers: n.others(directory), Connections: pool})
	err := peerpb.DRPCRegisterDepartures(n.peers.Mux, board)
	return func(name string) bool { return directory.Leaving(name) || board.Leaving(name) }, trace.Wrap(err, "registering the departures service")
}

// others returns what lists the peer addresses of the other hosts.
func (n *Node) others(directory *host.Directory) func() []string {
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

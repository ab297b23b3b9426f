package node

import (
	"context"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
)

// newGuard starts the sharing of crash records with the other hosts.
func (n *Node) newGuard(ctx context.Context, pool *peer.Pool, directory *host.Directory) (*crash.Guard, error) {
	others := func() []string {
		var addresses []string
		for _, h := range directory.Entries() {
			if h.Name != n.settings.Host.Name && h.Peers != "" {
				addresses = append(addresses, h.Peers)
			}
		}
		return addresses
	}
	guard := crash.NewGuard(ctx, &n.wait, crash.Options{Peers: others, Sender: crash.NewPeerSender(pool)})
	return guard, crash.Register(n.peers.Mux, guard)
}

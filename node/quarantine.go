package node

import (
	"context"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/settings"
)

// newGuard starts the sharing of crash records with the other hosts.
func (n *Node) newGuard(ctx context.Context, secret settings.Secret, directory *host.Directory) (*crash.Guard, error) {
	pool := peer.NewPool(secret)
	n.wait.Go(func() {
		<-ctx.Done()
		pool.Close()
	})
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

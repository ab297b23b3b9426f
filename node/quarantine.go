package node

import (
	"context"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
)

// newGuard starts the sharing of crash records with the other hosts.
func (n *Node) newGuard(ctx context.Context, pool *peer.Pool, directory *host.Directory) (*crash.Guard, error) {
	guard := crash.NewGuard(ctx, &n.wait, crash.Options{Peers: n.others(directory), Sender: crash.NewPeerSender(pool)})
	return guard, crash.Register(n.peers.Mux, guard)
}

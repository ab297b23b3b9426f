package node

import (
	"context"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
)

// startDispatch makes the dispatcher, which a planned stop stops.
func (n *Node) startDispatch(ctx context.Context, pool *peer.Pool, directory *host.Directory, o dispatch.Options) (*dispatch.Dispatcher, error) {
	guard, err := n.newGuard(ctx, pool, directory)
	if err != nil {
		return nil, err
	}
	o.Crashes = guard
	dispatcher := dispatch.New(o)
	n.runner = dispatcher
	return dispatcher, nil
}

// newGuard starts the sharing of crash records with the other hosts.
func (n *Node) newGuard(ctx context.Context, pool *peer.Pool, directory *host.Directory) (*crash.Guard, error) {
	guard := crash.NewGuard(ctx, &n.wait, crash.Options{Peers: n.others(directory), Sender: crash.NewPeerSender(pool)})
	return guard, crash.Register(n.peers.Mux, guard)
}

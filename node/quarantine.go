package node

import (
	"context"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
)

// startDispatch creates the dispatcher and registers it for planned stops.
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

// newGuard creates a crash guard that shares crash records with the other
// hosts.
func (n *Node) newGuard(ctx context.Context, pool *peer.Pool, directory *host.Directory) (*crash.Guard, error) {
	guard := crash.NewGuard(ctx, &n.wait, crash.Options{Self: n.Peers(), Peers: n.peerLister(directory), Sender: crash.NewPeerSender(pool)})
	return guard, crash.Register(n.peers.Mux, guard)
}

package storenode

import (
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/peersync"
)

// registerPeerServices registers the services for the other hosts.
func (n *Node) registerPeerServices(server *peer.Server, guard *crash.Guard) error {
	for _, register := range []func() error{
		func() error { return peerpb.DRPCRegisterMemberships(server, n.directory) },
		func() error { return peersync.Register(server, n.peerSync) },
		func() error { return crash.Register(server, guard) },
		func() error { return n.credits.register(server) },
	} {
		if err := register(); err != nil {
			return trace.Wrap(err, "registering a service for peers")
		}
	}
	return nil
}

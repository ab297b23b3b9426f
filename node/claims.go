package node

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/claimlog"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/registry"
)

// startClaims lets this host own claim streams and serves the claims RPCs.
func (n *Node) startClaims(ctx context.Context, log *registry.Log, directory *host.Directory, peers *peer.Pool) (*claimlog.Claims, error) {
	claims := claimlog.New(ctx, &n.wait, claimlog.Options{
		Host: n.settings.Host.Name, Log: log, Directory: directory, Peers: peers,
	})
	err := peerpb.DRPCRegisterClaims(n.peers, claimlog.NewServer(claims))
	return claims, trace.Wrap(err, "registering the claims service")
}

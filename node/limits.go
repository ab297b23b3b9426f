package node

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/limiter"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/revision"
)

// startLimits makes this host hold requests to the accounts' limits, and the
// home of some accounts.
func (n *Node) startLimits(ctx context.Context, pool *peer.Pool, directory *host.Directory, revisions *revision.Keeper) (*limiter.Limiter, error) {
	l := limiter.New(ctx, &n.wait, limiter.Options{
		Host: n.settings.Host.Name, Directory: directory, Peers: pool,
		Document: func() document.Document { return revisions.State().Document },
	})
	err := peerpb.DRPCRegisterAccounts(n.peers, l)
	return l, trace.Wrap(err, "registering the accounts service")
}

// limitedGate asks the limits before the gate.
type limitedGate struct {
	limits *limiter.Limiter
	gate   *admission.Gate
}

// Admit returns a function to call at the request's end, or why the request
// is refused.
func (g limitedGate) Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure) {
	endLimit, refused := g.limits.Admit(doc, r)
	if refused != nil {
		return nil, refused
	}
	endGate, refused := g.gate.Admit(doc, r)
	if refused != nil {
		endLimit()
		return nil, refused
	}
	return func() {
		endGate()
		endLimit()
	}, nil
}

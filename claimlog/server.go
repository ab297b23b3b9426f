package claimlog

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// Server serves the streams that this host owns to other hosts.
type Server struct {
	claims *Claims
}

// NewServer returns a server to register with DRPC.
func NewServer(c *Claims) *Server { return &Server{c} }

// Take implements peerpb.DRPCClaimsServer.
func (s *Server) Take(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.handle(ctx, r, (*streamOwner).submit)
}

// Look implements peerpb.DRPCClaimsServer.
func (s *Server) Look(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.handle(ctx, r, (*streamOwner).query)
}

// End implements peerpb.DRPCClaimsServer.
func (s *Server) End(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.handle(ctx, r, (*streamOwner).submit)
}

// handle performs the operation of one call.
func (s *Server) handle(ctx context.Context, request *peerpb.ClaimRequest, callHere localCall) (*peerpb.ClaimReply, error) {
	records, err := claim.DecodeBatch(request.GetRecord())
	if err != nil {
		return nil, err
	}
	if len(records) != 1 || request.GetStream() < 0 || request.GetStream() >= Streams {
		return nil, trace.BadParameter("a request must have exactly one record and a valid stream")
	}
	status, e, err := callHere(s.claims.owners[request.GetStream()], ctx, records[0])
	if err != nil {
		return &peerpb.ClaimReply{Unsure: !trace.IsLimitExceeded(err)}, nil //nolint:nilerr // an unconfirmed claim is a result, not a failed call.
	}
	return &peerpb.ClaimReply{
		Confirmed: true, Standing: int32(status), Status: int32(e.Status),
		ContentType: e.ContentType, Body: e.Body, Omitted: e.Omitted,
	}, nil
}

package claimlog

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// Server answers other hosts for the streams that this host keeps.
type Server struct {
	claims *Claims
}

// NewServer returns a server to register with drpc.
func NewServer(c *Claims) *Server { return &Server{c} }

// Take implements peerpb.DRPCClaimsServer.
func (s *Server) Take(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.answer(ctx, r, (*keeper).take)
}

// Look implements peerpb.DRPCClaimsServer.
func (s *Server) Look(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.answer(ctx, r, (*keeper).look)
}

// End implements peerpb.DRPCClaimsServer.
func (s *Server) End(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.answer(ctx, r, (*keeper).take)
}

// answer does the work of one call.
func (s *Server) answer(ctx context.Context, request *peerpb.ClaimRequest, near local) (*peerpb.ClaimReply, error) {
	records, err := claim.DecodeBatch(request.GetRecord())
	if err != nil {
		return nil, err
	}
	if len(records) != 1 || request.GetStream() < 0 || request.GetStream() >= Streams {
		return nil, trace.BadParameter("a call carries one record of a known stream")
	}
	standing, e, err := near(s.claims.keepers[request.GetStream()], ctx, records[0])
	if err != nil {
		return &peerpb.ClaimReply{Unsure: !trace.IsLimitExceeded(err)}, nil //nolint:nilerr // an unconfirmed claim is an outcome, not a failed call.
	}
	return &peerpb.ClaimReply{
		Confirmed: true, Standing: int32(standing), Status: int32(e.Status),
		ContentType: e.ContentType, Body: e.Body, Omitted: e.Omitted,
	}, nil
}

package revision

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// Service serves the configuration to other hosts. It implements
// peerpb.DRPCDocumentsServer.
type Service struct {
	// Syncer holds the configuration to serve.
	Syncer *Syncer
	// Context ends with the daemon. Fetches triggered by an announcement use it.
	Context context.Context
}

// Fetch returns this host's state if it is newer than the requested position
// and a fetch slot is free.
func (s Service) Fetch(_ context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	syncer := s.Syncer
	state := syncer.State()
	reply := &peerpb.FetchDocumentReply{Position: state.Position(), CurrentAgeMillis: syncer.currentAge().Milliseconds()}
	if request.GetPosition() == state.Position() {
		reply.Checksum = state.LastChecksum()
	}
	if request.GetPosition() >= state.Position() {
		return reply, nil
	}
	select {
	case syncer.fetchSlots <- struct{}{}:
		defer func() { <-syncer.fetchSlots }()
	default:
		return reply, nil
	}
	raw, err := json.Marshal(state.Transfer(syncer.Host))
	reply.State = raw
	return reply, trace.Wrap(err, "encoding the state")
}

// Announce handles the announcement of a newer position: it fetches the state
// from the sender unless the log delivers it. It returns the position reached.
func (s Service) Announce(_ context.Context, request *peerpb.AnnounceDocumentRequest) (*peerpb.AnnounceDocumentReply, error) {
	if !s.Syncer.awaitPosition(s.Context, request.GetPosition()) {
		// The sender waits for the reply: its position shows whether the fetch
		// succeeded.
		_ = s.Syncer.fetchFrom(s.Context, request.GetAddress())
	}
	return &peerpb.AnnounceDocumentReply{Position: s.Syncer.State().Position()}, nil
}

// currentAge returns the time since this host was last known to be current, or
// -1 ms if it never was.
func (s *Syncer) currentAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentAt.IsZero() {
		return -time.Millisecond
	}
	return time.Since(s.currentAt)
}

// Client calls other hosts over DRPC.
type Client struct {
	Pool *peer.Pool
	// Address returns this host's IP:port for peers.
	Address func() string
}

// Fetch fetches a state newer than a position from the host at an address.
func (c Client) Fetch(ctx context.Context, address string, position int64) (Offer, error) {
	client := peerpb.NewDRPCDocumentsClient(c.Pool.Conn(ctx, address))
	reply, err := client.Fetch(c.Pool.Context(ctx), &peerpb.FetchDocumentRequest{Position: position})
	if err != nil {
		return Offer{}, trace.Wrap(err, "fetching the configuration from %s", address)
	}
	return Offer{
		Position: reply.GetPosition(), State: reply.GetState(), Checksum: reply.GetChecksum(),
		CurrentAge: time.Duration(reply.GetCurrentAgeMillis()) * time.Millisecond,
	}, nil
}

// Announce announces a newer position to the host at an address and returns
// the position that this host then has.
func (c Client) Announce(ctx context.Context, address string, position int64) (int64, error) {
	client := peerpb.NewDRPCDocumentsClient(c.Pool.Conn(ctx, address))
	reply, err := client.Announce(c.Pool.Context(ctx), &peerpb.AnnounceDocumentRequest{Position: position, Address: c.Address()})
	return reply.GetPosition(), trace.Wrap(err, "announcing a position to %s", address)
}

package revision

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// Service answers other hosts. It implements peerpb.DRPCDocumentsServer.
type Service struct {
	// Keeper is what the host knows.
	Keeper *Keeper
	// Context ends with the daemon; fetches that an announcement starts use it.
	Context context.Context
}

// Fetch returns this host's state if it is newer than the one asked for.
func (s Service) Fetch(_ context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	k := s.Keeper
	state := k.State()
	reply := &peerpb.FetchDocumentReply{Position: state.Position(), CurrentAgeMillis: k.currentAge().Milliseconds()}
	if request.GetPosition() == state.Position() {
		reply.Checksum = state.LastChecksum()
	}
	if request.GetPosition() >= state.Position() {
		return reply, nil
	}
	select {
	case k.serving <- struct{}{}:
		defer func() { <-k.serving }()
	default:
		return reply, nil
	}
	raw, err := json.Marshal(state.Transfer(k.Host))
	reply.State = raw
	return reply, trace.Wrap(err, "encoding the state")
}

// Announce takes news of a newer position and fetches it from the sender.
func (s Service) Announce(_ context.Context, request *peerpb.AnnounceDocumentRequest) (*peerpb.AnnounceDocumentReply, error) {
	if !s.Keeper.reached(s.Context, request.GetPosition()) {
		// The sender waits for the answer, which tells whether it was fetched.
		_ = s.Keeper.ask(s.Context, request.GetAddress())
	}
	return &peerpb.AnnounceDocumentReply{Position: s.Keeper.State().Position()}, nil
}

// currentAge is how long ago this host knew that it was current, or -1 ms.
func (k *Keeper) currentAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current.IsZero() {
		return -time.Millisecond
	}
	return time.Since(k.current)
}

// Client calls other hosts over drpc.
type Client struct {
	Pool *peer.Pool
	// Address returns this host's IP:port for peers.
	Address func() string
}

// Fetch asks the host at an address for a state newer than a position.
func (c Client) Fetch(ctx context.Context, address string, position int64) (Offer, error) {
	client := peerpb.NewDRPCDocumentsClient(c.Pool.Conn(ctx, address))
	reply, err := client.Fetch(c.Pool.Context(ctx), &peerpb.FetchDocumentRequest{Position: position})
	if err != nil {
		return Offer{}, trace.Wrap(err, "fetching the configuration of %s", address)
	}
	return Offer{
		Position: reply.GetPosition(), State: reply.GetState(), Checksum: reply.GetChecksum(),
		CurrentAge: time.Duration(reply.GetCurrentAgeMillis()) * time.Millisecond,
	}, nil
}

// Announce tells the host at an address of a newer position and returns the
// position that the host has then.
func (c Client) Announce(ctx context.Context, address string, position int64) (int64, error) {
	client := peerpb.NewDRPCDocumentsClient(c.Pool.Conn(ctx, address))
	reply, err := client.Announce(c.Pool.Context(ctx), &peerpb.AnnounceDocumentRequest{Position: position, Address: c.Address()})
	return reply.GetPosition(), trace.Wrap(err, "announcing a position to %s", address)
}

package peer_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/standin"
)

// TestGivenUpCallDoesNotArriveLater guards against messages, such as updates on orders,
// that reach another host after they were given up.
func TestGivenUpCallDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(peer.Credentials{Secret: "secret"})
	t.Cleanup(pool.Close)
	end, err := standin.GiveUp(t.Context(), func(ctx context.Context, address string) error {
		stream, err := peerpb.NewDRPCMembershipsClient(pool.Conn(ctx, address)).Send(pool.Context(ctx))
		is.NoErr(err)
		is.NoErr(stream.Send(&peerpb.Heartbeat{Sender: &peerpb.Member{Name: "host"}}))
		_, err = stream.CloseAndRecv()
		return err
	})
	is.NoErr(err)
	is.True(end.Reset)
}

package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/standin"
)

// TestGivenUpCallDoesNotArriveLater guards against messages, such as updates on orders,
// that reach another host after they were given up.
func TestGivenUpCallDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	m, err := standin.NewMute()
	is.NoErr(err)
	t.Cleanup(m.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	pool := peer.NewPool(peer.Credentials{Secret: "secret"})
	t.Cleanup(pool.Close)
	stream, err := peerpb.NewDRPCMembershipsClient(pool.Conn(ctx, m.Address())).Send(pool.Context(ctx))
	is.NoErr(err)
	is.NoErr(stream.Send(&peerpb.Heartbeat{Sender: &peerpb.Member{Name: "host"}}))
	_, err = stream.CloseAndRecv()
	is.True(err != nil)
	is.True(m.NextEnd().Reset)
}

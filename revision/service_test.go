package revision

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestLargeStateIsFetched passes a state of several megabytes between hosts
// over drpc.
func TestLargeStateIsFetched(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	credentials := peer.Credentials{Secret: "secret"}
	server, err := peer.NewServer("127.0.0.1:0", credentials)
	is.NoErr(err)
	log := &fakeLog{}
	for i, id := range []string{"a", "b", "c"} {
		raw, err := document.EncodeEdit(document.Edit{
			ID: id, Section: document.RoutingSection, Base: int64(i), Body: "WasteWeight: 0.1\n#" + strings.Repeat(id, 1_900_000),
		})
		is.NoErr(err)
		_, err = log.Append(ctx, "", raw)
		is.NoErr(err)
	}
	first := startKeeper(t, log, &fakePeers{})
	eventually(t, func() bool { return first.State().Position() == 2 })
	is.NoErr(peerpb.DRPCRegisterDocuments(server, Service{Keeper: first, Context: ctx}))
	wait.Go(func() { _ = server.Serve(ctx) })

	pool := peer.NewPool(credentials)
	t.Cleanup(pool.Close)
	cut := New(ctx, &wait, Options{
		Host: "host-2", Log: &fakeLog{readErr: errDown}, Metrics: tally.NoopScope,
		Peers:   Client{Pool: pool, Address: func() string { return "127.0.0.1:1" }},
		Members: func() []platform.Host { return []platform.Host{{Name: "host-1", Peers: server.Address()}} },
	})
	eventually(t, func() bool { return cut.Ready() && cut.State().Position() == 2 })
	is.Equal(cut.State().Checksum(), first.State().Checksum())
}

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
	"github.com/kumquathoist/kumquathoist/registry"
)

// serve serves the configuration of a syncer to other hosts.
func serve(t testing.TB, syncer *Syncer) *peer.Server {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	server, err := peer.NewServer("127.0.0.1:0", peer.Credentials{Secret: "secret"})
	is.NoErr(err)
	is.NoErr(peerpb.DRPCRegisterDocuments(server, Service{Syncer: syncer, Context: ctx}))
	wait.Go(func() { _ = server.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return server
}

// BenchmarkExchange measures the fetch that each host sends every second.
func BenchmarkExchange(b *testing.B) {
	syncer := startSyncer(b, &fakeLog{}, &fakePeers{})
	server := serve(b, syncer)
	pool := peer.NewPool(peer.Credentials{Secret: "secret"})
	b.Cleanup(pool.Close)
	client := Client{Pool: pool, Address: server.Address}
	for b.Loop() {
		if _, err := client.Fetch(context.Background(), server.Address(), syncer.State().Position()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(pool.Sent())/float64(b.N), "sent-bytes/op")
	b.ReportMetric(float64(pool.Received())/float64(b.N), "received-bytes/op")
}

// TestLargeStateIsFetched transfers a state of several megabytes between hosts
// over DRPC.
func TestLargeStateIsFetched(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	log := &fakeLog{}
	for i, id := range []string{"a", "b", "c"} {
		raw, err := document.EncodeEdit(document.Edit{
			ID: id, Section: document.RoutingSection, Base: int64(i), Body: "WasteWeight: 0.1\n#" + strings.Repeat(id, 1_900_000),
		})
		is.NoErr(err)
		_, err = log.Append(ctx, "", raw)
		is.NoErr(err)
	}
	first := startSyncer(t, log, &fakePeers{})
	eventually(t, func() bool { return first.State().Position() == 2 })
	server := serve(t, first)

	pool := peer.NewPool(peer.Credentials{Secret: "secret"})
	t.Cleanup(pool.Close)
	withoutLog := New(ctx, &wait, Options{
		Host: "host-2", Log: &fakeLog{readErr: errLogDown}, Metrics: tally.NoopScope,
		Peers:   Client{Pool: pool, Address: func() string { return "127.0.0.1:1" }},
		Members: func() []registry.Host { return []registry.Host{{Name: "host-1", Peers: server.Address()}} },
	})
	eventually(t, func() bool { return withoutLog.Ready() && withoutLog.State().Position() == 2 })
	is.Equal(withoutLog.State().Checksum(), first.State().Checksum())
}

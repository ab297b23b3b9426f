package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// BenchmarkChoose measures a choice with its queries to owners. Every prompt is
// new, as in a deployment where a host rarely gets the same prompt twice within
// a second.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ hosts, engines int }{{6, 12}, {40, 100}, {340, 600}} {
		b.Run(strconv.Itoa(size.hosts)+"x"+strconv.Itoa(size.engines), func(b *testing.B) {
			d := startDeployment(b, 1, size.hosts, size.engines)
			eventually(b, func() bool { d.choose("host-0", promptRequest("mill")); return d.queries > 0 })
			d.queries, d.messageBytes = 0, 0
			r := promptRequest("")
			r.Levels[0] = r.Levels[0][:prefix.PieceBytes]
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				r.Account = strconv.Itoa(i)
				if c, ok := d.choose("host-0", r); ok {
					d.trackers["host-0"].Started(c)(engine.Report{Answered: true, Incarnation: "1", Weights: "v1"})
				}
			}
			b.ReportMetric(float64(d.queries)/float64(b.N), "asks/op")
			b.ReportMetric(float64(d.messageBytes)/float64(b.N), "payloadB/op")
		})
	}
}

// countingProxy forwards connections to an address and counts their bytes.
func countingProxy(b *testing.B, address string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	b.Cleanup(func() { _ = listener.Close() })
	var bytes atomic.Int64
	forward := func(to, from net.Conn) {
		n, _ := io.Copy(to, from)
		bytes.Add(n)
		_ = to.Close()
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go forward(out, in)
			go forward(in, out)
		}
	}()
	return listener.Addr().String(), &bytes
}

// BenchmarkQuery measures a query over a reused connection between two hosts,
// and its bytes in both directions.
func BenchmarkQuery(b *testing.B) {
	for _, engines := range []int{1, 3, 6, 12} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			is := is.New(b)
			d := startDeployment(b, 1, 1, engines)
			eventually(b, func() bool { return d.trackers["host-0"].Status("engine-0").Known })
			credentials := peer.Credentials{Secret: "0123456789abcdef0123456789abcdef"}
			server, err := peer.NewServer("127.0.0.1:0", credentials)
			is.NoErr(err)
			is.NoErr(peerpb.DRPCRegisterEngines(server, d.trackers["host-0"]))
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan struct{})
			go func() {
				defer close(served)
				_ = server.Serve(ctx)
			}()
			address, bytes := countingProxy(b, server.Address())
			pool := peer.NewPool(credentials)
			r := &peerpb.LookRequest{Pieces: []uint64{1 << 60, 1 << 61, 1 << 62}}
			for i := range engines {
				r.Engines = append(r.Engines, fmt.Sprintf("engine-%d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := engine.PeerClient{Pool: pool}.Look(ctx, address, r)
				is.NoErr(err)
			}
			pool.Close()
			cancel()
			<-served
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wireB/op")
		})
	}
}

// BenchmarkReport measures how an owner decodes one report of an engine and
// applies its events, and the size of the report.
func BenchmarkReport(b *testing.B) {
	for _, events := range []int{0, 10, 40, 400} {
		b.Run(strconv.Itoa(events), func(b *testing.B) {
			is := is.New(b)
			report := upstream.CacheReport{Load: upstream.Load{Name: "engine-600", Incarnation: 1796338800000000000, Version: "v1", Running: 12}}
			run := upstream.EventRun{First: 1_000_000}
			for i := range events {
				run.Changes = append(run.Changes, "+"+prefix.Key(uint64(i+1)*0x9e3779b97f4a7c15).String())
			}
			if events > 0 {
				report.Runs = []upstream.EventRun{run}
			}
			raw, err := json.Marshal(report)
			is.NoErr(err)
			index := cacheindex.New(38_000, 0)
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				var decoded upstream.CacheReport
				is.NoErr(json.Unmarshal(raw, &decoded))
				if events > 0 {
					decoded.Runs[0].First = i * uint64(events)
				}
				index.Apply(cacheindex.Source{Incarnation: 1, Weights: "v1"}, decoded.CacheEvents(), 0)
			}
			b.ReportMetric(float64(len(raw)), "bodyB/op")
		})
	}
}

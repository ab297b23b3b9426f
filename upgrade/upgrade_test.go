// Package upgrade_test checks that this program reads what earlier ones wrote: the
// messages between hosts and the records in the platform's store.
package upgrade_test

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/isolation"
	"github.com/kumquathoist/kumquathoist/lease"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/peersync"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/reloader"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/software"
	"github.com/kumquathoist/kumquathoist/standin"
)

var write = flag.String("write", "", "write the messages of this program under the name of its commit")

// written is what a program writes.
type written struct {
	// Records holds the records of each topic of the store.
	Records map[string][][]byte
	// Pull, Reply and Update are messages between hosts, LoadReports datagrams.
	Pull, Reply, Update json.RawMessage
	LoadReports         [][]byte
}

// What the messages say.
var (
	host   = registry.Host{Name: "host-1", Role: registry.EntryHost, FailureDomain: "north", Region: "r", State: registry.Live, Callers: "10.1.0.1:80", Peers: "10.1.0.1:81"}
	claim  = lease.Claim{Holder: "host-1", Upstreams: []string{"engine-1", "engine-2"}}
	crash  = quarantine.Record{ID: "c1", Fingerprint: "fingerprint", Account: "mill", Engine: "engine-1", Incarnation: "7", At: time.Unix(1_800_000_000, 0).UTC(), Losses: 2}
	batch  = software.Batch{Host: "host-1", Start: time.Unix(1_800_000_000, 0), Streams: map[string][]string{"v1": {"s1", "s2"}, "v2": {"s3"}}}
	groups = isolation.History{}.With(2, []string{"grocer", "mill"})
	update = reloader.Update{Claim: claim, Offset: 9, Loaded: map[string]int64{"engine-1": 3}, Freed: []string{"engine-2"}}
	report = loadreport.Report{
		Host: 7, Sequence: 300, Loads: map[loadreport.EngineHash]loadreport.Load{5: {Running: 2, Waiting: [loadreport.Ranks]int{0, 12_000, 5}}},
		Updates: loadreport.Updates{Loaded: []loadreport.LoadedWeights{{Engine: 8, Version: 300}}, Limits: []loadreport.Limit{{Engine: 8, Incarnation: 1 << 40, Limited: true, PerSecond: 4.25}}},
	}
	summary = loadreport.Summary{Domain: 1, Aggregator: 7, Sequence: 9, Members: []loadreport.HostHash{7, 8}, Digest: 1 << 30, Loads: report.Loads}
)

func marshal(t *testing.T, v any) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(v)
	is.New(t).NoErr(err)
	return raw
}

// fill has this program write each message and record.
func (w *written) fill(t *testing.T) {
	is := is.New(t)
	store, err := standin.NewPlatformStore()
	is.NoErr(err)
	defer store.Close()
	client, ctx := platform.NewStore(store.Address()), context.Background()
	is.NoErr(client.Announce(ctx, host))
	_, err = client.Claim(ctx, claim, 0)
	is.NoErr(err)
	is.NoErr(client.PersistCrasher(ctx, crash))
	is.NoErr(client.PutVersions(ctx, "models", software.NewVersions(software.Left{Version: "v1"}, software.Left{Version: "v2"})))
	is.NoErr(client.PutStreams(ctx, []software.Batch{batch}))
	is.NoErr(client.PutGroups(ctx, "m1", groups))
	w.Records = map[string][][]byte{}
	for _, topic := range []string{"keyed.routers", "orders", "keyed.crashers", "keyed.software", "keyed.streams"} {
		w.Records[topic] = store.Records(topic)
	}
	decode := func(replica.Topic, string, []byte) (replica.Decoded, error) { return replica.Decoded{}, nil }
	var state replica.State
	state, _ = state.Merge(replica.Delta{Topic: replica.Upstreams, Position: 2, Full: true, Records: []replica.Record{{Key: "engine-1", Offset: 1, Value: []byte("e")}}}, decode, replica.Times{})
	w.Pull = marshal(t, peersync.PullRequest{Positions: []int64{1, 2, 3}, Hosts: true})
	w.Reply = marshal(t, peersync.PullReply{Reply: replica.Reply{Deltas: []replica.Delta{state.Since(replica.Upstreams, 0)}, Age: time.Second}, Hosts: []registry.Host{host}})
	w.Update = marshal(t, update)
	w.LoadReports = [][]byte{report.Encode(nil), summary.Encode(nil)}
}

// TestReadsWhatEarlierProgramsWrote decodes the golden files of earlier programs.
func TestReadsWhatEarlierProgramsWrote(t *testing.T) {
	if *write != "" {
		var w written
		w.fill(t)
		is.New(t).NoErr(os.WriteFile(filepath.Join("testdata", *write+".json"), append(marshal(t, w), '\n'), 0o644))
	}
	paths, err := filepath.Glob("testdata/*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) > 0)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".json"), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile(path)
			is.NoErr(err)
			var w written
			is.NoErr(json.Unmarshal(raw, &w))
			w.checkRecords(t)
			var pull peersync.PullRequest
			is.NoErr(json.Unmarshal(w.Pull, &pull))
			is.Equal(pull, peersync.PullRequest{Positions: []int64{1, 2, 3}, Hosts: true})
			var reply peersync.PullReply
			is.NoErr(json.Unmarshal(w.Reply, &reply))
			is.Equal(reply.Deltas, []replica.Delta{{Topic: replica.Upstreams, Position: 2, Full: true, Records: []replica.Record{{Key: "engine-1", Offset: 1, Value: []byte("e")}}}})
			is.Equal(reply.Age, time.Second)
			is.Equal(reply.Hosts, []registry.Host{host})
			var told reloader.Update
			is.NoErr(json.Unmarshal(w.Update, &told))
			is.Equal(told, update)
			for i, want := range []any{report, summary} {
				decoded, err := loadreport.Decode(w.LoadReports[i])
				is.NoErr(err)
				is.Equal(decoded, want)
			}
		})
	}
}

// checkRecords reads the records from a store.
func (w *written) checkRecords(t *testing.T) {
	is := is.New(t)
	store, err := standin.NewPlatformStore()
	is.NoErr(err)
	defer store.Close()
	for topic, records := range w.Records {
		for _, r := range records {
			store.Append(topic, r)
		}
	}
	client, ctx := platform.NewStore(store.Address()), context.Background()
	hosts, err := client.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []registry.Host{host})
	claims, err := client.Claims(ctx, 0)
	is.NoErr(err)
	is.Equal(claims.Claims, []lease.Claim{claim})
	crashers, err := client.Crashers(ctx, -1, 0)
	is.NoErr(err)
	is.Equal(len(crashers.Records), 1)
	is.Equal(crashers.Records[0].Fingerprint, crash.Fingerprint)
	is.Equal(crashers.Records[0].Losses, crash.Losses)
	streams, err := client.Streams(ctx, -1)
	is.NoErr(err)
	is.Equal(streams.Batches, []software.Batch{batch})
	versions, err := client.Newest(ctx, replica.Software)
	is.NoErr(err)
	is.True(len(versions.Records) > 0)
	for _, r := range versions.Records {
		decoded, err := platform.Decode(replica.Software, r.Key, r.Value)
		is.NoErr(err)
		if decoded.Groups != nil { // earlier programs write none
			is.Equal(*decoded.Groups, replica.RecordedGroups{Model: "m1", Groups: groups})
			continue
		}
		is.Equal(r.Key, "models")
		is.Equal(decoded.Software.String(), "v1, v2")
	}
}

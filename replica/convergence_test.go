package replica_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/replica"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestListedHostPassesRemovalsOn removes an upstream, starts a host that lists the
// entries after that, and lets hosts that have not heard of the removal ask it.
func TestListedHostPassesRemovalsOn(t *testing.T) {
	is := is.New(t)
	log := recordLog{}
	log.put("a", "e1.1")
	log.put("b", "e1.1")
	behind := merge(replica.State{}, log.list())
	log.put("a", "")
	started := merge(replica.State{}, log.list())
	log.put("c", "e1.1")
	started = merge(started, log.read(started))

	asked := pull(behind, started)
	is.Equal(upstreamIDs(asked), "b@1.1 c@1.1")
	is.Equal(upstreamIDs(pull(behind, asked)), "b@1.1 c@1.1") // also from a host that asked it
}

// TestListPassesRemovalsOn lets a host that lists the entries anew miss a removal, and
// another one ask it from a position after the removed entry was written.
func TestListPassesRemovalsOn(t *testing.T) {
	is := is.New(t)
	log := recordLog{}
	log.put("a", "e1.1")
	before := merge(replica.State{}, log.list())
	log.put("b", "e1.1")
	behind := merge(replica.State{}, log.list())
	log.put("a", "")
	log.put("c", "e1.1")
	listed := merge(before, log.list())
	is.Equal(upstreamIDs(pull(behind, listed)), "b@1.1 c@1.1")
}

// recordLog is the store's log of one topic.
type recordLog struct {
	records []replica.Record
	// base is the offset of the first record.
	base int64
}

func (l *recordLog) put(key, value string) {
	l.records = append(l.records, record(key, l.end(), value))
}

func (l *recordLog) end() int64 { return l.base + int64(len(l.records)) }

// newest returns the latest record of each key that was not removed.
func (l *recordLog) newest() map[string]replica.Record {
	newest := map[string]replica.Record{}
	for _, r := range l.records {
		newest[r.Key] = r
		if r.Value == nil {
			delete(newest, r.Key)
		}
	}
	return newest
}

// list returns the result of listing all keys.
func (l *recordLog) list() replica.Delta {
	d := upstreams(l.end(), true)
	for _, r := range l.newest() {
		d.Records = append(d.Records, r)
	}
	return d
}

// read returns the records that a state lacks.
func (l *recordLog) read(s replica.State) replica.Delta {
	from := max(s.Position(replica.Upstreams), l.base)
	return upstreams(l.end(), false, l.records[from-l.base:]...)
}

// restore brings back the first count records. Their offsets, and those of all later
// ones, are higher than before.
func (l *recordLog) restore(count int) {
	kept := l.records[:count]
	base := l.base + 1000
	l.records, l.base = nil, base
	for _, r := range kept {
		l.put(r.Key, string(r.Value))
	}
}

// pull returns the asker's state after it has asked another host.
func pull(asker, host replica.State) replica.State {
	position := asker.Position(replica.Upstreams)
	if host.Position(replica.Upstreams) <= position {
		return asker
	}
	return merge(asker, host.Since(replica.Upstreams, position))
}

// TestReplicasConverge plays random histories of lists, reads, removals, restarts,
// restored stores and pulls. Hosts at one position must know the same, and all must
// equal the store once one of them has read it and the others have asked around.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := recordLog{}
		hosts := make([]replica.State, rapid.IntRange(2, 5).Draw(t, "hosts"))
		host := func(label string) int { return rapid.IntRange(0, len(hosts)-1).Draw(t, label) }
		list := func(i int) { hosts[i] = merge(hosts[i], log.list()) }
		read := func(i int) {
			if hosts[i].Position(replica.Upstreams) < max(1, log.base) {
				list(i) // the host has just started, or the store was restored
				return
			}
			hosts[i] = merge(hosts[i], log.read(hosts[i]))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				log.put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), "e1.1")
			},
			"remove": func(t *rapid.T) {
				log.put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), "")
			},
			"list":    func(*rapid.T) { list(host("lister")) },
			"read":    func(*rapid.T) { read(host("reader")) },
			"restart": func(*rapid.T) { i := host("restarted"); hosts[i] = replica.State{}; list(i) },
			"restore": func(t *rapid.T) { log.restore(rapid.IntRange(0, len(log.records)).Draw(t, "kept")) },
			"pull": func(*rapid.T) {
				i := host("asker")
				hosts[i] = pull(hosts[i], hosts[host("asked")])
			},
			"": func(t *rapid.T) {
				known := map[int64]string{}
				for i, s := range hosts {
					at, ids := s.Position(replica.Upstreams), upstreamIDs(s)
					if other, ok := known[at]; ok && other != ids {
						t.Fatalf("host %d knows %q at position %d, another one %q", i, ids, at, other)
					}
					known[at] = ids
				}
			},
		})
		log.put("z", "e1.1")
		first := host("last reader")
		list(first)
		want := upstreamIDs(merge(replica.State{}, log.list()))
		for i := range hosts {
			hosts[i] = pull(hosts[i], hosts[first])
			first = i
		}
		for i, s := range hosts {
			if ids := upstreamIDs(s); ids != want {
				t.Fatalf("host %d knows %q, the store %q", i, ids, want)
			}
		}
	})
}

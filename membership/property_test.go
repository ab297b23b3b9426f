package membership_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// TestConvergence injects random faults into a lossy network and checks that,
// after they end, every host shows exactly the running hosts as live. No
// incarnation decreases (checked at each step) and messages stay bounded.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 10).Draw(t, "hosts")
		n := newNetwork(hosts, true, rapid.Uint64().Draw(t, "seed"))
		n.loss = float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100
		start := n.now
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			name := identity(i).Name
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				n.frozen[name] = !n.frozen[name]
			case 1:
				n.kill(name)
			case 2:
				n.start(i, int64(rapid.IntRange(1, 1000).Draw(t, "incarnation")))
			case 3:
				partition := rapid.IntRange(0, 1<<hosts-1).Draw(t, "partition")
				n.dropped = func(from, to string) bool { return inPartition(partition, from) != inPartition(partition, to) }
			case 4:
				partition := rapid.IntRange(0, 1<<hosts-1).Draw(t, "one-way partition")
				n.dropped = func(from, to string) bool { return inPartition(partition, from) && !inPartition(partition, to) }
			}
			n.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second)
		}
		n.loss, n.dropped, n.frozen = 0, func(_, _ string) bool { return false }, map[string]bool{}
		for i := range hosts {
			if _, runs := n.views[identity(i).Name]; !runs {
				n.start(i, 7)
			}
		}
		n.run(150 * time.Second)
		if problem := n.disagreement(); problem != "" {
			t.Fatal(problem)
		}
		// Heartbeats, pushes, answers and probes each second, for each target.
		perSecond := hosts * membership.MaxTargets * 6
		if seconds := int(n.now.Sub(start).Seconds()); n.sent > perSecond*(seconds+1) || n.maxRecords > membership.MaxRecords {
			t.Fatalf("%d messages in %d s, at most %d records", n.sent, seconds, n.maxRecords)
		}
	})
}

// inPartition reports whether a host is in a partition, a bit set of hosts.
func inPartition(partition int, name string) bool {
	number := int(name[5]-'0')*10 + int(name[6]-'0')
	return partition>>number&1 == 1
}

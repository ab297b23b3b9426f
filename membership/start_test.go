package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/membership"
)

// falselyFailed counts how often a view takes a running host for failed while the
// network runs for a duration.
func (n *network) falselyFailed(d time.Duration) int {
	count := 0
	shown := map[string]map[string]bool{}
	for end := n.now.Add(d); n.now.Before(end); {
		n.run(200 * time.Millisecond)
		for _, name := range n.names {
			v, runs := n.views[name]
			if !runs {
				continue
			}
			shows := map[string]bool{}
			for _, h := range v.Hosts() {
				shows[h.Name] = true
			}
			for other := range shown[name] {
				if _, alive := n.views[other]; alive && !shows[other] {
					count++
				}
			}
			shown[name] = shows
		}
	}
	return count
}

// TestStartOfManyHosts starts 200 hosts within three seconds. Each reads the list of hosts
// at its own start and learns the rest from others, so for some seconds their views
// differ. Nobody may take a running host for failed, neither then nor later when messages
// are lost and when more than half of the hosts are killed.
func TestStartOfManyHosts(t *testing.T) {
	is := is.New(t)
	const hosts = 200
	n := newNetwork(0, true, 11)
	for i := range hosts {
		n.list = append(n.list, membership.ListedHost{Identity: identity(i)})
		n.start(i, 100)
		if i%10 == 9 {
			n.run(100 * time.Millisecond)
		}
	}
	count := n.falselyFailed(15 * time.Second)
	t.Logf("%d times a running host was taken for failed, %d messages", count, n.sent)
	is.Equal(count, 0)
	for range 30 {
		if n.disagreement() == "" {
			break
		}
		n.run(time.Second)
	}
	is.Equal(n.disagreement(), "")
	n.loss = 0.02
	is.Equal(n.falselyFailed(8*time.Second), 0)
	for i := range hosts * 55 / 100 {
		n.kill(identity(i).Name)
	}
	is.Equal(n.falselyFailed(8*time.Second), 0)
}

package peersync

import "github.com/kumquathoist/kumquathoist/placement"

const (
	// leastReaders is how many hosts read the store at least: two may be lost.
	leastReaders = 3
	// hostsOfReader is how many hosts each of more readers is there for. It
	// answers each of them every 0.3 s.
	hostsOfReader = 25
	// readersKey is what the readers are ranked by.
	readersKey = "store readers"
)

// Readers returns which of the hosts read the store; the others ask them. It
// answers the load of asks on a reader, which would grow with the hosts.
func Readers(hosts []string) []string {
	ranked := placement.Rank(readersKey, hosts)
	return ranked[:min(max(leastReaders, len(hosts)/hostsOfReader), len(hosts))]
}

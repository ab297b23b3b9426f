package peersync

import "github.com/kumquathoist/kumquathoist/placement"

const (
	// minReaders is the minimum number of hosts that read the store, so that two
	// may fail.
	minReaders = 3
	// hostsPerReader is the number of hosts per reader in larger systems. Each of
	// them pulls from a reader every 0.3 s.
	hostsPerReader = 25
	// readersRankKey is the key by which hosts are ranked as readers.
	readersRankKey = "store readers"
)

// Readers returns the hosts that read the store; the others pull from them. The
// number of readers grows with the number of hosts to limit the pulls that each
// reader handles.
func Readers(hosts []string) []string {
	ranked := placement.Rank(readersRankKey, hosts)
	return ranked[:min(max(minReaders, len(hosts)/hostsPerReader), len(hosts))]
}

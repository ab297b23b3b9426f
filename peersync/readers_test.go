package peersync_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/peersync"
)

// TestReaders checks that three hosts read the store in small systems and that
// each reader handles at most 120 pulls a second in large ones.
func TestReaders(t *testing.T) {
	const pullsOfHost = 1 / 0.3 // per second
	for _, c := range []struct{ hosts, readers int }{{1, 1}, {2, 2}, {3, 3}, {68, 3}, {99, 3}, {100, 4}, {340, 13}, {1000, 40}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			var hosts []string
			for i := range c.hosts {
				hosts = append(hosts, fmt.Sprint("host-", i))
			}
			readers := peersync.Readers(hosts)
			is.Equal(len(readers), c.readers)
			is.True(pullsOfHost*float64(c.hosts-c.readers)/float64(c.readers) <= 120)
			slices.Reverse(hosts)
			is.Equal(peersync.Readers(hosts), readers) // independent of the order of the hosts
			for _, name := range readers[1:] {
				remaining := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == readers[0] })
				is.True(slices.Contains(peersync.Readers(remaining), name)) // the other readers stay
			}
		})
	}
}

package upstream

import (
	"strconv"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/prefix"
)

// CacheReport holds an engine's load and cache events.
type CacheReport struct {
	Load

	// Runs holds the events in order. A gap in the numbers between two runs
	// means that events were lost.
	Runs []EventRun
}

// EventRun is a run of cache events with consecutive numbers.
type EventRun struct {
	// First is the number of the first event.
	First uint64
	// Changes holds "+" and the hexadecimal key of a stored piece, or "-" and
	// the hexadecimal key of an evicted piece.
	Changes []string
}

// CacheEvents returns the decoded events. Malformed events are skipped, so that
// they count as lost.
func (r CacheReport) CacheEvents() []cacheindex.Event {
	var events []cacheindex.Event
	for _, run := range r.Runs {
		for i, change := range run.Changes {
			if len(change) < 2 || change[0] != '+' && change[0] != '-' {
				continue
			}
			key, err := strconv.ParseUint(change[1:], 16, 64)
			if err != nil {
				continue
			}
			events = append(events, cacheindex.Event{Seq: run.First + uint64(i), Key: prefix.Key(key), Evicted: change[0] == '-'})
		}
	}
	return events
}

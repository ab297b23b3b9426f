package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// departureTimeout is how long an upstream counts as leaving after a host
	// list showed it as leaving. Hosts whose list still shows it report it
	// again.
	departureTimeout = 10 * time.Minute
	// refreshAfter is the age from which a host reports a departure again that
	// its own host list still shows.
	refreshAfter = 5 * time.Minute
)

// departure is the state of a leaving upstream.
type departure struct {
	reportedAt time.Time
	// rounds is how many further rounds of messages carry it.
	rounds int
}

// Departing reports whether any host's list showed an upstream as leaving. The
// strictest list wins, since hosts read the list at different times.
func (v View) Departing(name string) bool {
	_, ok := v.departing[name]
	return ok
}

// addDepartures adds leaving upstreams and queues them for the peers, except
// those that were reported less than minAge ago.
func (v View) addDepartures(names []string, minAge time.Duration, now time.Time) View {
	for _, name := range names {
		if d, known := v.departing[name]; known && now.Sub(d.reportedAt) < minAge {
			continue
		}
		v.departing = maps.Clone(v.departing)
		if v.departing == nil {
			v.departing = map[string]departure{}
		}
		v.departing[name] = departure{now, recordRounds}
		v.changes++
	}
	return v
}

// pendingDepartures returns the departures that the next round of messages
// carries.
func (v View) pendingDepartures() []string {
	var names []string
	for name, d := range v.departing {
		if d.rounds > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), MaxRecords)]
}

// countDepartureRound counts a round of messages that carried departures.
func (v View) countDepartureRound(names []string) View {
	if len(names) == 0 {
		return v
	}
	v.departing = maps.Clone(v.departing)
	for _, name := range names {
		d := v.departing[name]
		d.rounds--
		v.departing[name] = d
	}
	return v
}

// expireDepartures removes departures that no host has reported for
// departureTimeout.
func (v View) expireDepartures(now time.Time) View {
	for name, d := range v.departing {
		if now.Sub(d.reportedAt) < departureTimeout {
			continue
		}
		v.departing = maps.Clone(v.departing)
		delete(v.departing, name)
		v.changes++
	}
	return v
}

package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdDeparture is how long an upstream counts as leaving after a host
	// list showed it so; the hosts that still see it so tell again.
	holdDeparture = 10 * time.Minute
	// refreshAfter is the age from which a host tells a departure again that
	// its own host list still shows.
	refreshAfter = 5 * time.Minute
)

// departure is an upstream that leaves.
type departure struct {
	at time.Time
	// rounds is how many rounds of messages still carry it.
	rounds int
}

// Departing tells whether any host's list showed an upstream as leaving. The
// strictest list wins: hosts read it at different times.
func (v View) Departing(name string) bool {
	_, ok := v.departing[name]
	return ok
}

// depart notes upstreams that leave, and tells peers of those not known for
// as long.
func (v View) depart(names []string, knownFor time.Duration, now time.Time) View {
	for _, name := range names {
		if d, known := v.departing[name]; known && now.Sub(d.at) < knownFor {
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

// news returns the departures that the next round of messages carries.
func (v View) news() []string {
	var names []string
	for name, d := range v.departing {
		if d.rounds > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), MaxRecords)]
}

// told counts a round of messages that carried departures.
func (v View) told(names []string) View {
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

// expireDepartures forgets departures that no host told for long.
func (v View) expireDepartures(now time.Time) View {
	for name, d := range v.departing {
		if now.Sub(d.at) < holdDeparture {
			continue
		}
		v.departing = maps.Clone(v.departing)
		delete(v.departing, name)
		v.changes++
	}
	return v
}

package experiment

import (
	"time"
)

// disturbedAt is when a scenario's disturbance happens.
const disturbedAt = 30 * time.Second

// settleTime is the span after a disturbance that is measured.
const settleTime = 5 * time.Second

// Named returns a scenario by its name, and the options with the arrivals
// that belong to it.
func Named(name string, o Options) (Scenario, Options) {
	s := DefaultScenario()
	if name == s.Name {
		return s, o
	}
	s.Name, s.From, s.To = name, disturbedAt, disturbedAt+settleTime
	switch name {
	case "shift":
		o.Profile = o.Profile.WithShift(disturbedAt)
	case "restart":
		s.RestartAt = disturbedAt
	case "crash":
		s.CrashAt, s.CrashTime = disturbedAt, 2*time.Second
	case "join":
		s.JoinAt = disturbedAt
	}
	return s, o
}

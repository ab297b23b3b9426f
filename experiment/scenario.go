package experiment

import (
	"time"
)

// disturbanceTime is when a scenario's disturbance happens.
const disturbanceTime = 30 * time.Second

// disturbanceSpan is the measured time after a disturbance.
const disturbanceSpan = 5 * time.Second

// NamedScenario returns a scenario by its name, and the options with the
// scenario's arrivals.
func NamedScenario(name string, o Options) (Scenario, Options) {
	s := DefaultScenario()
	if name == s.Name {
		return s, o
	}
	s.Name, s.From, s.To = name, disturbanceTime, disturbanceTime+disturbanceSpan
	switch name {
	case "shift":
		o.Profile = o.Profile.WithShift(disturbanceTime)
	case "restart":
		s.RestartAt = disturbanceTime
	case "crash":
		s.CrashAt, s.CrashTime = disturbanceTime, 2*time.Second
	case "join":
		s.JoinAt = disturbanceTime
	}
	return s, o
}

package soak

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/kumquathoist/kumquathoist/event"
)

// brokenAttempt matches the upstream of an attempt whose connection broke.
var brokenAttempt = regexp.MustCompile(` Upstream="([^"]*)" Outcome="Broken" `)

// brokeOff reports whether a call ended because the engine to which its host had sent it last
// was killed. An engine that is stopped may be killed before it begins to work.
func (d *deployment) brokeOff(c *call) bool {
	last := lastBroken(c.host.output.String(), c.id)
	for _, e := range d.processes {
		for _, p := range e.all() {
			if p.Options.ID == last && endedWith(p.Killed(), c.ended) {
				return true
			}
		}
	}
	return false
}

// endedWith reports whether a call ended because an engine was killed, if it was.
func endedWith(killed, ended time.Time) bool {
	return !killed.IsZero() && !killed.After(ended) && ended.Sub(killed) <= lossSlack
}

// lastBroken returns the upstream of the last failed attempt of a request in a host's output
// if its connection broke, or "".
func lastBroken(output, id string) string {
	upstream, prefix := "", fmt.Sprintf(" Event=%d Request=%q ", event.SendFailed.Number, id)
	for line := range strings.Lines(output) {
		if !strings.Contains(line, prefix) {
			continue
		}
		upstream = ""
		if m := brokenAttempt.FindStringSubmatch(line); m != nil {
			upstream = m[1]
		}
	}
	return upstream
}

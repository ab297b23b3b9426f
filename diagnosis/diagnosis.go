// Package diagnosis finds in the logs of hosts what became of one request and
// concludes why. It does no I/O.
package diagnosis

import (
	"cmp"
	"regexp"
	"slices"
	"strings"
)

// Line is one log line that names the request.
type Line struct {
	// Time is the time of day as the line has it; hosts' clocks may differ.
	Time string
	// Event is the message, Fields its values.
	Event  string
	Fields map[string]string
	Text   string
}

// Story is what the logs tell of one request.
type Story struct {
	Lines []Line
	// Cause is the conclusion.
	Cause string
}

var (
	stamp = regexp.MustCompile(`[IWE]\d{4} (\d\d:\d\d:\d\d\.\d{6})`)
	event = regexp.MustCompile(`\] "([a-z ]+)"`)
	field = regexp.MustCompile(`([A-Z][A-Za-z]*)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Read reads a log line; ok tells whether it names the request.
func Read(text, request string) (line Line, ok bool) {
	if !strings.Contains(text, `Request="`+request+`"`) {
		return Line{}, false
	}
	line = Line{Text: text, Fields: map[string]string{}}
	if m := stamp.FindStringSubmatch(text); m != nil {
		line.Time = m[1]
	}
	if m := event.FindStringSubmatch(text); m != nil {
		line.Event = m[1]
	}
	for _, m := range field.FindAllStringSubmatch(text, -1) {
		line.Fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return line, true
}

// New puts the lines of one request in order and concludes.
func New(lines []Line) Story {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return Story{Lines: ordered, Cause: conclude(ordered)}
}

// causes explains outcomes of requests that got no answer of an upstream.
var causes = map[string]string{
	"NotReady":     "the host knew no configuration yet; it was just started and neither the store nor another host had answered",
	"Stale":        "the host's configuration did not allow it and was too old to say so for sure; the store and the other hosts did not answer",
	"NoRoute":      "no route of the configuration in force has its host and path",
	"NoAccount":    "its key belongs to no client account of the configuration in force",
	"BadCall":      "it could not be read as a request",
	"NoUpstream":   "no upstream could be sent it: all were leaving, resting after failures, loading weights, or had weights that were replaced too long ago",
	"NotRun":       "every upstream that was tried turned it away or took no connection; it did not run",
	"Overloaded":   "so much waited at the engines that it could not have been answered before its deadline; it did not run",
	"Stopping":     "the host was stopping and no longer took requests; it did not run",
	"Quarantined":  "it crashed the upstreams that ran it",
	"Unknown":      "an upstream's connection broke or its answer was damaged after the request was sent, and it may not be sent again; it may have run",
	"TimedOut":     "no answer came in time; it may have run",
	"DeadlinePast": "its deadline had passed when it was read",
	"CallerLeft":   "the caller closed its connection first",
}

// conclude explains the end of a request.
func conclude(lines []Line) string {
	var last, tried, placed *Line
	for i := range lines {
		switch l := &lines[i]; l.Event {
		case "call ended", "call refused":
			last = l
		case "try failed":
			tried = l
		case "call placed":
			placed = l
		}
	}
	if last == nil {
		return "the logs do not tell its end: the host was lost, or lines were dropped (see event 1008)"
	}
	outcome := cmp.Or(last.Fields["Outcome"], last.Fields["Reason"])
	if outcome == "Answered" {
		text := "it was answered with status " + last.Fields["Status"] + " after " + last.Fields["Millis"] + " ms"
		if placed != nil {
			text += "; the last choice was upstream " + placed.Fields["Upstream"] + " with " + placed.Fields["Ahead"] + " prompt tokens ahead"
		}
		return text
	}
	text := cmp.Or(causes[outcome], "its outcome "+outcome+" is not known to this program")
	if tried != nil {
		text += "; the last try, at upstream " + tried.Fields["Upstream"] + ", ended " + tried.Fields["Outcome"] + " after " + tried.Fields["Millis"] + " ms"
		if reason := tried.Fields["Reason"]; reason != "" {
			text += " (" + reason + ")"
		}
	}
	return text
}

// Package diagnosis reconstructs the course of one request from the hosts'
// logs and explains its outcome. It does no I/O.
package diagnosis

import (
	"cmp"
	"regexp"
	"slices"
	"strings"
)

// Line is one log line that names the request.
type Line struct {
	// Time is the line's time of day; the clocks of hosts may differ.
	Time string
	// Event is the log message, Fields are its key-value pairs.
	Event  string
	Fields map[string]string
	Text   string
}

// Diagnosis holds the log lines of one request and the cause of its outcome.
type Diagnosis struct {
	Lines []Line
	// Cause explains the outcome in one sentence.
	Cause string
}

var (
	timestampPattern = regexp.MustCompile(`[IWE]\d{4} (\d\d:\d\d:\d\d\.\d{6})`)
	eventPattern     = regexp.MustCompile(`\] "([a-z ]+)"`)
	fieldPattern     = regexp.MustCompile(`([A-Z][A-Za-z]*)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Read parses a log line; ok reports whether it names the request.
func Read(text, request string) (line Line, ok bool) {
	if !strings.Contains(text, `Request="`+request+`"`) {
		return Line{}, false
	}
	line = Line{Text: text, Fields: map[string]string{}}
	if m := timestampPattern.FindStringSubmatch(text); m != nil {
		line.Time = m[1]
	}
	if m := eventPattern.FindStringSubmatch(text); m != nil {
		line.Event = m[1]
	}
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		line.Fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return line, true
}

// New sorts the lines of one request by time and determines the cause.
func New(lines []Line) Diagnosis {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return Diagnosis{Lines: ordered, Cause: explain(ordered)}
}

// causes maps the outcomes without an upstream's answer to their explanations.
var causes = map[string]string{
	"NotReady":     "the host had no configuration yet; it had just started and neither the store nor another host had answered",
	"Stale":        "the host's configuration did not allow it but was too old to reject it for certain; the store and the other hosts did not answer",
	"NoRoute":      "no route of the active configuration matches its host and path",
	"NoAccount":    "its key belongs to no client account of the active configuration",
	"BadCall":      "it could not be parsed as a request",
	"NoUpstream":   "no upstream was available: all were leaving, backing off after failures, loading weights, or had weights that were replaced too long ago",
	"NotRun":       "every upstream that was tried rejected it or accepted no connection; it was not executed",
	"Overloaded":   "the queues of the engines were too long to answer it before its deadline; it was not executed",
	"Stopping":     "the host was stopping and no longer accepted requests; it was not executed",
	"Resting":      "every upstream of its service asked this host for a pause without requests; it was not executed",
	"Unresumable":  "no upstream may continue its stream: the software version that began it has left or isn't known; it was not executed",
	"Isolated":     "neither this host nor those that it asked reached an upstream of its service; it was not executed",
	"Relayed":      "this host reached no upstream of its service and passed it on to another host, whose refusal the caller got",
	"Limited":      "every upstream of its service was at the limit that it had named, or asked for a pause; it was not executed",
	"Quarantined":  "it, or a part of its prompt that other requests share, crashed the upstreams that executed it",
	"Unknown":      "an upstream's connection failed or its answer was damaged after the request was sent, and it must not be retried; it may have been executed",
	"TimedOut":     "no answer arrived in time; it may have been executed",
	"DeadlinePast": "its deadline had already passed when it was read",
	"CallerLeft":   "the caller closed its connection first",
}

// explain returns the cause of a request's outcome.
func explain(lines []Line) string {
	var end, failed, scheduled *Line
	for i := range lines {
		switch l := &lines[i]; l.Event {
		case "call ended", "call refused":
			end = l
		case "try failed":
			failed = l
		case "call placed":
			scheduled = l
		}
	}
	if end == nil {
		return "the logs do not show its end: the host failed, or log lines were dropped (see event 1008)"
	}
	outcome := cmp.Or(end.Fields["Outcome"], end.Fields["Reason"])
	if outcome == "Answered" {
		text := "it was answered with status " + end.Fields["Status"] + " after " + end.Fields["Millis"] + " ms"
		if scheduled != nil {
			text += "; the last upstream chosen was " + scheduled.Fields["Upstream"] + " with " + scheduled.Fields["Ahead"] + " prompt tokens queued ahead"
		}
		return text
	}
	text := cmp.Or(causes[outcome], "its outcome "+outcome+" is unknown to this program")
	if failed != nil {
		text += "; the last attempt, at upstream " + failed.Fields["Upstream"] + ", ended " + failed.Fields["Outcome"] + " after " + failed.Fields["Millis"] + " ms"
		if reason := failed.Fields["Reason"]; reason != "" {
			text += " (" + reason + ")"
		}
	}
	return text
}

// Package event defines the numbered log events of the daemon.
//
// Every log line of the daemon carries one of these numbers, so that an
// operator can look up its meaning in docs/EVENTS.md. A number is never reused
// for another meaning.
package event

import (
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event; it never changes.
	Number int
	// Name is the message of the log line.
	Name string
	// Meaning explains to an operator what happened and what to do about it.
	Meaning string
}

// Info logs the event with structured values.
func (e Event) Info(keysAndValues ...any) {
	klog.InfoSDepth(1, e.Name, append([]any{"Event", e.Number}, keysAndValues...)...)
}

// Error logs the event as an error with structured values, on one line.
func (e Event) Error(err error, keysAndValues ...any) {
	klog.ErrorSDepth(1, errors.New(Line(err)), e.Name, append([]any{"Event", e.Number}, keysAndValues...)...)
}

// maxLineBytes limits an error's message: it may quote what others have sent.
const maxLineBytes = 1000

// Line returns an error's message on one line of limited length.
func Line(err error) string {
	line := strings.ReplaceAll(trace.UserMessage(err), "\n\t", ": ")
	return line[:min(len(line), maxLineBytes)]
}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	all := slices.Concat(processEvents, requestEvents, configurationEvents, membershipEvents, routingEvents, replicaEvents)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// Discard drops every log line, for programs with output for people.
func Discard() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

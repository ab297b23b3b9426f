package routing

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// assumedCachedTime is how long a level that this host sent to an engine is
	// assumed to be cached there, until cache events report it.
	assumedCachedTime = 2 * time.Second
	// maxSends bounds the sends stored for one engine.
	maxSends = 64
	// initialPrefill is the mean time to read a prompt before any was measured.
	initialPrefill = 150 * time.Millisecond
	// prefillSmoothing is the weight of a new time in the moving average.
	prefillSmoothing = 0.05
)

// Report is a status report of an engine.
type Report struct {
	// At is when the engine made the report.
	At time.Duration
	// Queued and Running count requests.
	Queued, Running int
}

// send is one request that this host sent to an engine.
type send struct {
	at      time.Duration
	prefill time.Duration
	levels  []prefix.Level
	// ended is set if the request no longer waits.
	ended bool
}

// SendHistory records the requests that one host sent to engines. Reports
// arrive late, so requests sent after a report count in addition to it. It is
// not safe for concurrent use. Times are durations since any fixed instant.
type SendHistory struct {
	sends       map[string][]send
	meanPrefill time.Duration
}

// NewSendHistory returns the history of a host that has sent nothing.
func NewSendHistory() *SendHistory {
	return &SendHistory{sends: map[string][]send{}, meanPrefill: initialPrefill}
}

// MeanPrefill returns the mean time to read the part of a prompt that isn't
// cached.
func (h *SendHistory) MeanPrefill() time.Duration { return h.meanPrefill }

// RecordSend records a request with its estimated time to read the prompt.
func (h *SendHistory) RecordSend(engine string, levels []prefix.Level, prefill, now time.Duration) {
	list := h.sends[engine]
	if len(list) >= maxSends {
		list = append(list[:0], list[maxSends/2:]...)
	}
	h.sends[engine] = append(list, send{at: now, prefill: prefill, levels: levels})
}

// RecordEnd records that the request sent at a time has ended: it no longer
// waits, even if no report shows that yet.
func (h *SendHistory) RecordEnd(engine string, at time.Duration) {
	for i, s := range h.sends[engine] {
		if s.at == at && !s.ended {
			h.sends[engine][i].ended = true
			return
		}
	}
}

// RecordPrefill records how long an engine took to read a prompt.
func (h *SendHistory) RecordPrefill(took time.Duration) {
	h.meanPrefill += time.Duration(prefillSmoothing * float64(took-h.meanPrefill))
}

// Wait returns the estimated time until an engine starts another prompt, and
// the number of requests that it holds.
func (h *SendHistory) Wait(engine string, r Report) (wait time.Duration, load int) {
	wait, load = time.Duration(r.Queued)*h.meanPrefill, r.Queued+r.Running
	for _, s := range h.sends[engine] {
		if s.at > r.At && !s.ended {
			wait += s.prefill
			load++
		}
	}
	return wait, load
}

// CachedTokens returns how many tokens of a prompt are assumed to be cached at
// an engine because of this host's recent sends.
func (h *SendHistory) CachedTokens(engine string, levels []prefix.Level, now time.Duration) int {
	tokens := 0
	for _, s := range h.sends[engine] {
		if now-s.at <= assumedCachedTime {
			tokens = max(tokens, sharedTokens(s.levels, levels))
		}
	}
	return tokens
}

// Forget removes the sends to an engine that lost its cache.
func (h *SendHistory) Forget(engine string) { delete(h.sends, engine) }

// sharedTokens returns the number of tokens in the levels that two prompts share.
func sharedTokens(a, b []prefix.Level) int {
	tokens := 0
	for i := range min(len(a), len(b)) {
		if a[i].Key != b[i].Key {
			break
		}
		tokens = a[i].Tokens
	}
	return tokens
}

// Package routing chooses the engine for a request. The package does no I/O:
// time and random numbers are arguments.
package routing

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// Query is what a policy needs to list the engines to look at.
type Query struct {
	// Ring holds the engines of the pool in their hash order.
	Ring *Ring
	// Levels are the shared levels of the prompt, from the widest to the
	// deepest.
	Levels []prefix.Level
	// Copies tells for each level how many engines should hold it; a level
	// without a number has one.
	Copies []int
	// Usable tells which engines can take the request.
	Usable func(engine int) bool
	// Random is a random number of the request.
	Random uint64
	// Turn counts the requests of this host.
	Turn uint64
}

// Candidate is what a host knows of one engine that it looks at.
type Candidate struct {
	// Engine is the position of the engine in the ring's names.
	Engine int
	// Load is the number of requests that the engine holds, with those this
	// host sent since the engine's last report.
	Load int
	// Wait is the estimated time until the engine begins another prompt.
	Wait time.Duration
	// CachedTokens is how much of the prompt the engine is believed to hold.
	CachedTokens int
	// OwnedTokens is how much of the prompt belongs on the engine by hash.
	OwnedTokens int
	// Trust tells from 0 to 1 how far CachedTokens is complete.
	Trust float64
	// ImportTokens is how much of the prompt beyond CachedTokens the engine
	// can import.
	ImportTokens int
	// Joined tells that the engine has just joined or come back empty.
	Joined bool
}

// Policy chooses engines.
type Policy interface {
	// Shortlist returns the engines to look at, the preferred ones first.
	Shortlist(q Query) []Candidate
	// Choose returns the index of the chosen candidate, or -1 without any.
	// The candidates are in the order of the shortlist.
	Choose(tokens int, candidates []Candidate) int
}

// Speed holds the costs of an engine.
type Speed struct {
	// PrefillRate is the speed of reading a prompt, in tokens a second.
	PrefillRate float64
	// ImportRate is the speed of importing cached pieces, in tokens a second.
	ImportRate float64
	// ImportDelay is the fixed time of an import.
	ImportDelay time.Duration
}

// Prefill returns the time to read tokens of a prompt.
func (s Speed) Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillRate * float64(time.Second))
}

// Import returns the time to import tokens.
func (s Speed) Import(tokens int) time.Duration {
	return s.ImportDelay + time.Duration(float64(tokens)/s.ImportRate*float64(time.Second))
}

// ImportPays tells whether importing tokens is cheaper than recomputing them.
func (s Speed) ImportPays(tokens int) bool {
	return tokens > 0 && s.ImportRate > 0 && s.Import(tokens) < s.Prefill(tokens)
}

// listed tells whether an engine is among the candidates.
func listed(candidates []Candidate, engine int) bool {
	for i := range candidates {
		if candidates[i].Engine == engine {
			return true
		}
	}
	return false
}

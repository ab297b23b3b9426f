// Package routing chooses the engine for a request. It does no I/O: times and
// random numbers are arguments.
package routing

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// Query holds what a policy needs to shortlist engines.
type Query struct {
	// Ring holds the engines of the pool in hash order.
	Ring *Ring
	// Levels are the shared levels of the prompt, from the widest to the
	// deepest.
	Levels []prefix.Level
	// Copies is the number of engines that should hold each level; a level
	// without an entry has one.
	Copies []int
	// Usable reports whether an engine can take the request.
	Usable func(engine int) bool
	// Random is a random number for the request.
	Random uint64
	// RequestCount counts the requests of this host.
	RequestCount uint64
}

// Candidate is an engine that a choice considers, with its state as this host
// knows it.
type Candidate struct {
	// Engine is the index of the engine in the ring.
	Engine int
	// Load is the number of requests at the engine, including those that this
	// host sent since the engine's last report.
	Load int
	// Wait is the estimated time until the engine starts another prompt.
	Wait time.Duration
	// CachedTokens is how much of the prompt the engine is assumed to hold.
	CachedTokens int
	// OwnedTokens is how much of the prompt belongs on the engine by hash.
	OwnedTokens int
	// Completeness is how complete CachedTokens is, from 0 to 1.
	Completeness float64
	// ImportTokens is how much of the prompt beyond CachedTokens the engine
	// can import.
	ImportTokens int
	// WarmingUp is set if the engine was first seen, or restarted with an empty
	// cache, a short time ago.
	WarmingUp bool
}

// Policy chooses engines.
type Policy interface {
	// Shortlist returns the engines to consider, the preferred ones first.
	Shortlist(q Query) []Candidate
	// Choose returns the index of the chosen candidate, or -1 if there is none.
	// The candidates are in the order of the shortlist.
	Choose(tokens int, candidates []Candidate) int
}

// Speed holds the prefill and import rates of an engine.
type Speed struct {
	// PrefillRate is the speed of reading a prompt, in tokens a second.
	PrefillRate float64
	// ImportRate is the speed of importing cached pieces, in tokens a second.
	ImportRate float64
	// ImportDelay is the fixed part of the time of an import.
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

// ImportPays reports whether importing tokens is cheaper than recomputing them.
func (s Speed) ImportPays(tokens int) bool {
	return tokens > 0 && s.ImportRate > 0 && s.Import(tokens) < s.Prefill(tokens)
}

// containsEngine reports whether an engine is among the candidates.
func containsEngine(candidates []Candidate, engine int) bool {
	for i := range candidates {
		if candidates[i].Engine == engine {
			return true
		}
	}
	return false
}

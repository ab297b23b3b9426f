// Package routing chooses the engine for a request. The package does no I/O.
package routing

import (
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/prefix"
)

// Candidate is what a host knows of one engine of a pool.
type Candidate struct {
	// Name identifies the engine.
	Name string
	// Load is the number of requests that the engine holds, with those this
	// host sent since the engine's last report.
	Load int
	// CachedTokens is how much of the prompt the engine is believed to hold.
	CachedTokens int
}

// Choose returns the index of the engine for a prompt, or -1 without
// candidates: the first in the rendezvous order of the prompt's deepest
// shared level whose load is at most a quarter above the mean.
func Choose(key prefix.Key, candidates []Candidate) int {
	total := 0
	for _, c := range candidates {
		total += c.Load
	}
	bound := total*5/4/max(len(candidates), 1) + 1
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		score := placement.Score(key.String(), c.Name)
		if c.Load > bound {
			score = 0
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

package routing

import (
	"time"
)

const (
	// randomCandidates is the number of random engines considered beside those
	// of the levels.
	randomCandidates = 2
	// extraPerLevel is the number of engines of a level considered beyond its
	// copies.
	extraPerLevel = 1
	// maxCandidates bounds the engines that one choice considers.
	maxCandidates = 12
	// recomputeWeight is the cost of a second of recomputation relative to a
	// second of waiting: recomputation also delays the requests behind it and
	// evicts their pieces.
	recomputeWeight = 1.4
	// wasteWeightFactor is added to recomputeWeight at the maximum WasteWeight.
	wasteWeightFactor = 5.6
	// warmUpPenalty is added to the wait of an engine that is warming up, so
	// that the routers don't all choose it at the same time.
	warmUpPenalty = 100 * time.Millisecond
)

// Cost chooses the engine with the least cost: the wait for the engine, and
// the import or recomputation of what it lacks. It considers only a few
// engines: owners by hash of the levels, and some at random.
type Cost struct {
	Speed Speed
	// WasteWeight shifts the choice from the least wait (0) to the least wasted
	// recomputation (1).
	WasteWeight float64
	// AllEngines makes Shortlist return every usable engine.
	AllEngines bool
}

// Shortlist implements Policy. The level above the deepest determines the
// engines on the ring. Prompts that differ only in the deepest level share
// these engines, ordered by the deepest level's key, so that the wider levels
// are not copied for each of them.
func (c Cost) Shortlist(q Query) []Candidate {
	if c.AllEngines {
		return usableEngines(q, int(q.Random%uint64(max(q.Ring.Len(), 1))))
	}
	list := make([]Candidate, 0, maxCandidates)
	if len(q.Levels) == 0 {
		return q.Ring.appendOwners(list, q.Random, randomCandidates, q.Usable)
	}
	deepest := len(q.Levels) - 1
	placementLevel := max(deepest-1, 0)
	copies := min(q.copies(placementLevel), maxCopies)
	list = q.Ring.appendOwners(list, uint64(q.Levels[placementLevel].Key), copies+extraPerLevel, q.Usable)
	copies = min(copies, len(list))
	q.Ring.sortByScore(list[:copies], uint64(q.Levels[deepest].Key))
	for i := range list[:copies] {
		list[i].OwnedTokens = q.Levels[placementLevel].Tokens
		if i < q.copies(deepest) {
			list[i].OwnedTokens = q.Levels[deepest].Tokens
		}
	}
	if placementLevel > 0 {
		list = q.Ring.appendOwners(list, uint64(q.Levels[0].Key), extraPerLevel, q.Usable)
	}
	return q.Ring.appendOwners(list, q.Random, min(randomCandidates, maxCandidates-len(list)), q.Usable)
}

// Choose implements Policy.
func (c Cost) Choose(tokens int, candidates []Candidate) int {
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		cost := c.Cost(tokens, candidates[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost returns the cost of running a prompt on a candidate.
func (c Cost) Cost(tokens int, e Candidate) time.Duration {
	cached := ExpectedCached(e)
	missing := max(tokens-cached, 0)
	wait := e.Wait
	if e.WarmingUp {
		wait += warmUpPenalty
	}
	work := time.Duration(0)
	if c.Speed.ImportPays(e.ImportTokens) {
		work = c.Speed.Import(e.ImportTokens)
		missing = max(missing-e.ImportTokens, 0)
	}
	work += c.Speed.Prefill(missing)
	return wait + time.Duration(float64(work)*(recomputeWeight+wasteWeightFactor*c.WasteWeight))
}

// ExpectedCached returns how many tokens of a prompt a candidate is expected to
// hold: those that the cache index assumes and, to the degree that the index is
// incomplete, those that belong there by hash order.
func ExpectedCached(e Candidate) int {
	if e.OwnedTokens <= e.CachedTokens {
		return e.CachedTokens
	}
	return e.CachedTokens + int(float64(e.OwnedTokens-e.CachedTokens)*(1-e.Completeness))
}

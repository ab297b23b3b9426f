package routing

import (
	"time"
)

const (
	// randomLooks is how many engines are looked at beside those that the
	// levels name.
	randomLooks = 2
	// looksPerLevel is how many engines of a level are looked at beyond its
	// copies.
	looksPerLevel = 1
	// maxLooks bounds the engines that one choice looks at.
	maxLooks = 12
	// workPrice is what a second of recomputation costs against a second of
	// waiting: it also delays the requests behind it and evicts their pieces.
	workPrice = 1.4
	// wastePrice is how much more it costs at the greatest weight.
	wastePrice = 5.6
	// joinPenalty is added to the wait of an engine that has just joined, so
	// that the routers don't all take it at once.
	joinPenalty = 100 * time.Millisecond
)

// Cost takes the engine with the least cost: the wait for the engine, and
// the import or recomputation of what it lacks. It looks at a few engines
// only: the owners of each level, and some at random.
type Cost struct {
	Speed Speed
	// WasteWeight moves the choice from least wait (0) to least wasted
	// recomputation (1).
	WasteWeight float64
	// Every makes it look at every engine.
	Every bool
}

// Shortlist implements Policy. The level above the deepest one places the
// prompt: its copies come from the ring. Prompts that differ only in the
// deepest level share these engines, ordered by the deepest level's key, so
// that the wider levels are not copied for each of them.
func (c Cost) Shortlist(q Query) []Candidate {
	if c.Every {
		return all(q, int(q.Random%uint64(max(q.Ring.Len(), 1))))
	}
	list := make([]Candidate, 0, maxLooks)
	if len(q.Levels) == 0 {
		return q.Ring.owners(list, q.Random, randomLooks, q.Usable)
	}
	deepest := len(q.Levels) - 1
	placing := max(deepest-1, 0)
	copies := min(q.copies(placing), maxCopies)
	list = q.Ring.owners(list, uint64(q.Levels[placing].Key), copies+looksPerLevel, q.Usable)
	copies = min(copies, len(list))
	q.Ring.order(list[:copies], uint64(q.Levels[deepest].Key))
	for i := range list[:copies] {
		list[i].OwnedTokens = q.Levels[placing].Tokens
		if i < q.copies(deepest) {
			list[i].OwnedTokens = q.Levels[deepest].Tokens
		}
	}
	if placing > 0 {
		list = q.Ring.owners(list, uint64(q.Levels[0].Key), looksPerLevel, q.Usable)
	}
	return q.Ring.owners(list, q.Random, min(randomLooks, maxLooks-len(list)), q.Usable)
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
func (c Cost) Cost(tokens int, k Candidate) time.Duration {
	cached := Expected(k)
	missing := max(tokens-cached, 0)
	wait := k.Wait
	if k.Joined {
		wait += joinPenalty
	}
	work := time.Duration(0)
	if c.Speed.ImportPays(k.ImportTokens) {
		work = c.Speed.Import(k.ImportTokens)
		missing = max(missing-k.ImportTokens, 0)
	}
	work += c.Speed.Prefill(missing)
	return wait + time.Duration(float64(work)*(workPrice+wastePrice*c.WasteWeight))
}

// Expected returns how much of a prompt a candidate is expected to hold:
// what is believed, and as far as that is not complete what hash order puts
// there.
func Expected(k Candidate) int {
	if k.OwnedTokens <= k.CachedTokens {
		return k.CachedTokens
	}
	return k.CachedTokens + int(float64(k.OwnedTokens-k.CachedTokens)*(1-k.Trust))
}

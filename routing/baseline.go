package routing

// The baselines consider every engine of the pool. The cost policy is compared
// with them.

// usableEngines returns every usable engine, starting at an index of the ring.
func usableEngines(q Query, from int) []Candidate {
	n := q.Ring.Len()
	list := make([]Candidate, 0, n)
	for i := range n {
		if e := (from + i) % n; q.Usable(e) {
			list = append(list, Candidate{Engine: e})
		}
	}
	return list
}

// loadLimit returns the maximum load of an engine that affinity may choose: a
// quarter above the mean.
func loadLimit(candidates []Candidate) int {
	total := 0
	for _, c := range candidates {
		total += c.Load
	}
	return total*5/4/max(len(candidates), 1) + 1
}

// RoundRobin chooses engines in turn.
type RoundRobin struct{}

// Shortlist implements Policy.
func (RoundRobin) Shortlist(q Query) []Candidate {
	return usableEngines(q, int(q.RequestCount%uint64(max(q.Ring.Len(), 1))))
}

// Choose implements Policy.
func (RoundRobin) Choose(_ int, candidates []Candidate) int { return min(0, len(candidates)-1) }

// LeastLoaded chooses the engine with the least load.
type LeastLoaded struct{}

// Shortlist implements Policy.
func (LeastLoaded) Shortlist(q Query) []Candidate {
	return usableEngines(q, int(q.Random%uint64(max(q.Ring.Len(), 1))))
}

// Choose implements Policy.
func (LeastLoaded) Choose(_ int, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || c.Load < candidates[best].Load {
			best = i
		}
	}
	return best
}

// Affinity chooses, in the hash order of a level, the first engine whose load is
// within loadLimit.
type Affinity struct {
	// Nested tries the deepest level first and then the wider ones; otherwise
	// only the deepest counts.
	Nested bool
}

// Shortlist implements Policy.
func (a Affinity) Shortlist(q Query) []Candidate {
	list := make([]Candidate, 0, q.Ring.Len())
	for i := len(q.Levels) - 1; i >= 0; i-- {
		list = q.Ring.appendOwners(list, uint64(q.Levels[i].Key), q.copies(i), q.Usable)
		if !a.Nested {
			break
		}
	}
	for _, c := range usableEngines(q, int(q.key()%uint64(max(q.Ring.Len(), 1)))) {
		if !containsEngine(list, c.Engine) {
			list = append(list, c)
		}
	}
	return list
}

// Choose implements Policy.
func (Affinity) Choose(_ int, candidates []Candidate) int {
	limit := loadLimit(candidates)
	for i, c := range candidates {
		if c.Load <= limit {
			return i
		}
	}
	return min(0, len(candidates)-1)
}

// Index chooses, among the engines within loadLimit, the one that holds the
// largest part of the prompt according to the cache index.
type Index struct {
	// Fallback uses the hash order if nothing is assumed cached.
	Fallback bool
}

// Shortlist implements Policy.
func (x Index) Shortlist(q Query) []Candidate {
	if x.Fallback {
		return Affinity{Nested: true}.Shortlist(q)
	}
	return LeastLoaded{}.Shortlist(q)
}

// Choose implements Policy.
func (x Index) Choose(tokens int, candidates []Candidate) int {
	limit := loadLimit(candidates)
	best := -1
	for i, c := range candidates {
		if c.Load > limit {
			continue
		}
		if best < 0 || c.CachedTokens > candidates[best].CachedTokens {
			best = i
		}
	}
	if best < 0 || !x.Fallback && candidates[best].CachedTokens == 0 {
		return LeastLoaded{}.Choose(tokens, candidates)
	}
	return best
}

// key returns the key of the deepest level.
func (q Query) key() uint64 {
	if len(q.Levels) == 0 {
		return 0
	}
	return uint64(q.Levels[len(q.Levels)-1].Key)
}

// copies returns how many engines should hold a level.
func (q Query) copies(level int) int {
	if level < len(q.Copies) {
		return max(q.Copies[level], 1)
	}
	return 1
}

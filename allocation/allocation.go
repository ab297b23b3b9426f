// Package allocation chooses the upstream for one request by the expected cost
// of each candidate.
//
// It is made for long shared prompts: reading a shared part again costs more
// than most requests earn, fetching it from an engine that holds it costs next
// to nothing, and a request that waits too long earns little. The package does
// no I/O.
package allocation

import (
	"time"

	"github.com/kumquathoist/kumquathoist/placement"
)

// Costs and values are in the users' units of credit.
const (
	// rereadCostPerToken is the price of reading a token of a shared part again
	// that another engine holds (the users' price list: 1.5 for 1,000).
	rereadCostPerToken = 1.5 / 1000
	// fetchCost is the price of moving the parts of a prompt between engines
	// (0.9 GB at 0.022 a GB), including the time.
	fetchCost = 0.05
	// crossDomainCostPerByte is the price of sending a byte between failure
	// domains (the users' price lists: 3,500 and 3,600 a GB).
	crossDomainCostPerByte = 3.5e-6
	// lateLoss is the share of a request's value that is lost when it is late.
	lateLoss = 0.7
	// comfortableShare is the share of the objective up to which a wait costs
	// little.
	comfortableShare = 0.5
	// comfortableLoss is the share of the value that a wait of comfortableShare
	// costs, since estimates may be wrong.
	comfortableLoss = 0.1
	// limitedCost is the price of each request at an upstream with a limit on the
	// number of requests. As it is the same for all, long prompts go there first.
	limitedCost = 0.5
	// slotCost is the price of each request that already runs at an upstream,
	// since one more slows the others.
	slotCost = 0.02
	// connectCost is the price of a new connection (the users' price list:
	// 0.06 at the dearer site).
	connectCost = 0.06
	// prefillRate is how many prompt tokens an engine reads per millisecond
	// (the users' sheets: 62 and 101), attentionRate how many millions of token
	// pairs its attention covers per millisecond.
	prefillRate   = 60.0
	attentionRate = 2.7
	// prefillChunk is how many prompt tokens an engine reads between two output
	// tokens of its running requests.
	prefillChunk = 4096
	// minStoredShared is the number of shared tokens from which a prompt is
	// stored: fewer are read again faster than moved.
	minStoredShared = 1000
	// eventTokens is the maximum number of tokens in an event.
	eventTokens = 6
	// baseValue and valuePerToken give the value of a request; an output token
	// counts as outputFactor prompt tokens.
	baseValue     = 0.5
	valuePerToken = 1.0 / 2000
	outputFactor  = 10
)

// Value returns the approximate credit of a request that is answered on time.
func Value(input, output int) float64 {
	return baseValue + valuePerToken*float64(input+outputFactor*output)
}

// Prefill returns the time that an engine takes to read prompt tokens.
func Prefill(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((n/prefillRate + n*n/2/1e6/attentionRate) * float64(time.Millisecond))
}

// ShouldStore reports whether a prompt should be saved to the part store.
//
// It is made for many long documents that are each used every few seconds,
// while engines evict what they have not used for that long. The part store
// retains such documents as long as it isn't filled with text that only one
// request uses; since a prompt is stored as a whole, at least half of it must be
// shared.
func ShouldStore(input, shared int) bool {
	return shared >= minStoredShared && input-shared <= shared
}

// Candidate is an upstream that could run the request.
type Candidate struct {
	ID string
	// Running counts the requests known to run there.
	Running int
	// QueuedAhead counts the prompt tokens that are read before those of the
	// request, Waiting all prompt tokens that wait there.
	QueuedAhead, Waiting int
	Slots                int
	// Connected is set if there is an idle connection to it.
	Connected bool
	// SameDomain is set if it is in this host's failure domain.
	SameDomain bool
	// Cached counts the shared tokens of the prompt that it is assumed to hold,
	// Fetchable those that it can fetch.
	Cached, Fetchable int
	// Owner is set if it is the one to read shared parts that no engine holds.
	Owner bool
	// Limited is set if it takes a limited number of requests, whatever their size.
	Limited bool
	// FailureRate is the recent share of its requests that failed.
	FailureRate float64
	// Lag is how much later than expected it answered recently.
	Lag time.Duration
	// Loss is the share of the value that is lost there regardless of the wait.
	Loss float64
	// WeightsOutdated is set if the target weights are newer than its own: it
	// loads them soon, and then rejects the requests that wait there.
	WeightsOutdated bool
}

// Requirements describes the request.
type Requirements struct {
	// Input counts the tokens of the prompt, Shared those of its shared parts,
	// and Output is the maximum number of tokens of the answer.
	Input, Shared, Output int
	// Bytes is the size of the request and its answer.
	Bytes     int
	Objective time.Duration
	// Elapsed is the part of the objective that has passed.
	Elapsed time.Duration
	// Value is the credit of a request that is answered on time.
	Value float64
	// Begun means that the caller has the first part of the answer already.
	Begun bool
	// Pace corrects expected waits at the upstreams of the service.
	Pace Pace
}

// Cost returns the expected cost of a candidate.
func Cost(c Candidate, r Requirements) float64 {
	missing := max(0, r.Shared-c.Cached)
	fetched := max(0, min(missing, c.Fetchable-c.Cached))
	read := missing - fetched
	cost := slotCost*float64(c.Running) + r.Value*(c.FailureRate+c.Loss)
	if fetched > 0 {
		cost += fetchCost
	}
	if read > 0 && !c.Owner {
		cost += rereadCostPerToken * float64(read)
	}
	if !c.SameDomain {
		cost += crossDomainCostPerByte * float64(r.Bytes)
	}
	if c.Limited {
		cost += limitedCost
	}
	if c.Slots > 0 && c.Running >= c.Slots {
		cost += r.Value
	}
	if !c.Connected {
		cost += connectCost
	}
	return cost + r.Value*expectedLoss(r.Elapsed+r.Pace.Correct(expectedWait(c, r, read))+c.Lag, r.Objective)
}

// expectedWait returns the expected time to the first event: the engine reads
// the prompts ahead and the request's own, and then generates the first tokens
// between the chunks of other prompts that still wait.
func expectedWait(c Candidate, r Requirements, read int) time.Duration {
	own := read + r.Input - r.Shared
	first := Prefill(own) + time.Duration(float64(c.QueuedAhead)/prefillRate*float64(time.Millisecond))
	between := min(c.Waiting, min(r.Output, eventTokens)*prefillChunk)
	return first + time.Duration(float64(between)/prefillRate*float64(time.Millisecond))
}

// UncorrectedWait returns the expected time to the first event at a candidate, as a
// pace is learnt from it.
func UncorrectedWait(c Candidate, r Requirements) time.Duration {
	return expectedWait(c, r, readTokens(c, r))
}

// readTokens returns how many tokens of the shared parts a candidate must read.
func readTokens(c Candidate, r Requirements) int {
	missing := max(0, r.Shared-c.Cached)
	return missing - max(0, min(missing, c.Fetchable-c.Cached))
}

// expectedLoss returns the expected share of the value that is lost by a wait.
func expectedLoss(wait, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(wait) / float64(objective)
	if x <= comfortableShare {
		return comfortableLoss * x / comfortableShare
	}
	return comfortableLoss + (lateLoss-comfortableLoss)*min(1, (x-comfortableShare)/(1-comfortableShare)) + 0.05*max(0, x-1)
}

// Choose returns the index of the cheapest candidate, or -1 if there is none.
// The key breaks ties, so that requests spread.
func Choose(candidates []Candidate, r Requirements, key string) int {
	best, bestCost, bestScore := -1, 0.0, uint64(0)
	for i, c := range candidates {
		cost, score := Cost(c, r), placement.Score(key, c.ID)
		if best < 0 || cost < bestCost || cost == bestCost && score > bestScore {
			best, bestCost, bestScore = i, cost, score
		}
	}
	return best
}

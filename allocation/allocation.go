// Package allocation chooses the upstream for one request by what each choice
// is expected to cost.
//
// It answers the load of long shared prompts: reading a shared part again
// costs more than most requests earn, fetching it from an engine that holds
// it costs next to nothing, and a request that waits behind others too long
// earns little. The package does no I/O.
package allocation

import (
	"time"

	"github.com/kumquathoist/kumquathoist/placement"
)

// The costs are in the users' units of credit.
const (
	// rereadPerToken is the price of reading a token of a shared part again
	// that some engine holds (the users' price list: 1.5 for 1,000).
	rereadPerToken = 1.5 / 1000
	// fetchCost is the price of moving the parts of a prompt between engines
	// (0.9 GB at 0.022 a GB), with the time that it takes.
	fetchCost = 0.05
	// crossingCost is the price of a request and its answer between failure
	// domains (16 kB at 3,500 a GB).
	crossingCost = 0.056
	// lateShare is the part of a request's worth that is lost when it is late.
	lateShare = 0.7
	// comfort is the share of the objective up to which a wait costs little.
	comfort = 0.5
	// slackShare is the part of the worth that a wait up to there costs, since
	// estimates err.
	slackShare = 0.1
	// slotCost is the price of one more request at an upstream, which slows
	// the others there.
	slotCost = 0.02
	// DefaultPrefill is how many prompt tokens an engine reads in a
	// millisecond (the users' sheets: 62 and 101).
	DefaultPrefill = 60.0
)

// Candidate is an upstream that could run the request.
type Candidate struct {
	ID string
	// Running counts the requests that are known to be there, Waiting the
	// prompt tokens of those that have not begun to answer.
	Running, Waiting int
	Slots            int
	// Near tells that it stands in this host's failure domain.
	Near bool
	// Held counts the shared tokens of the prompt that it is believed to hold.
	Held int
	// Failing is the recent share of its requests that failed.
	Failing float64
	// Lag is how much later than expected it answered recently.
	Lag time.Duration
	// Loss is the share of the credit that is lost there in any case.
	Loss float64
}

// Need is what is known of the request.
type Need struct {
	// Input and Shared count the tokens of the prompt.
	Input, Shared int
	// Elsewhere counts the shared tokens that can be fetched.
	Elsewhere int
	// Home is the upstream that reads shared parts that nobody holds.
	Home      string
	Objective time.Duration
	// Elapsed is how much of the objective has passed.
	Elapsed time.Duration
	// Worth is the credit of a request that is answered on time.
	Worth float64
}

// Cost returns the expected cost of a candidate.
func Cost(c Candidate, n Need) float64 {
	missing := max(0, n.Shared-c.Held)
	fetched := max(0, min(missing, n.Elsewhere-c.Held))
	read := missing - fetched
	cost := slotCost*float64(c.Running) + n.Worth*(c.Failing+c.Loss)
	if fetched > 0 {
		cost += fetchCost
	}
	if read > 0 && c.ID != n.Home {
		cost += rereadPerToken * float64(read)
	}
	if !c.Near {
		cost += crossingCost
	}
	if c.Slots > 0 && c.Running >= c.Slots {
		cost += n.Worth
	}
	own := n.Input - n.Shared
	prefill := time.Duration(float64(c.Waiting+read+own) / DefaultPrefill * float64(time.Millisecond))
	return cost + n.Worth*lateness(n.Elapsed+prefill+c.Lag, n.Objective)
}

// lateness returns the expected share of the worth that is lost by a wait.
func lateness(wait, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(wait) / float64(objective)
	if x <= comfort {
		return slackShare * x / comfort
	}
	return slackShare + (lateShare-slackShare)*min(1, (x-comfort)/(1-comfort)) + 0.05*max(0, x-1)
}

// Choose returns the index of the cheapest candidate, or -1 without any. Ties
// are broken by the key, so that requests spread.
func Choose(candidates []Candidate, n Need, key string) int {
	best, bestCost, bestScore := -1, 0.0, uint64(0)
	for i, c := range candidates {
		cost, score := Cost(c, n), placement.Score(key, c.ID)
		if best < 0 || cost < bestCost || cost == bestCost && score > bestScore {
			best, bestCost, bestScore = i, cost, score
		}
	}
	return best
}

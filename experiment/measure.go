package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMillis and significantDigits configure the histogram of times to
	// first token.
	maxMillis         = 600_000
	significantDigits = 3
)

// Summary holds the measures of one run.
type Summary struct {
	// Hit is the share of prompt tokens that were cached at the engine, and
	// Imported the share that was imported from the kept store.
	Hit, Imported float64
	// Levels holds for each level the share of requests that found all of it
	// cached.
	Levels [3]float64
	// P50, P95 and P99 are times to first token in milliseconds.
	P50, P95, P99 float64
	// Waste is the share of prompt tokens that were recomputed although a live
	// engine or the kept store had them.
	Waste float64
	// Goodput is the number of requests per second that met their deadline,
	// and OnTime their share of all requests.
	Goodput, OnTime float64
	// WorstAccount is the lowest on-time share among the accounts.
	WorstAccount float64
	// SmallAccounts is the lowest on-time share among the accounts that send
	// fewer requests than the mean.
	SmallAccounts float64
	// Refused is the share of requests that admission refused.
	Refused float64
	// FalseHits is the share of prompt tokens that were assumed cached but were
	// not; MissedHits the share that was cached but not assumed to be.
	FalseHits, MissedHits float64
	// Requests is the number of counted requests.
	Requests int
}

// Summarise returns the measures of the requests that arrived in [from, to).
func Summarise(outcomes []Outcome, from, to time.Duration) Summary {
	var s Summary
	var tokens, hit, imported, wasted, falseHits, missed, levels float64
	onTime, all := map[int]float64{}, map[int]float64{}
	histogram := hdrhistogram.New(1, maxMillis, significantDigits)
	for _, o := range outcomes {
		if o.At < from || o.At >= to {
			continue
		}
		s.Requests++
		all[o.Account]++
		if o.Refused {
			s.Refused++
			continue
		}
		if o.Done > 0 && o.Done <= o.Class.Deadline {
			onTime[o.Account]++
		}
		_ = histogram.RecordValue(o.firstTokenMillis())
		levels++
		tokens += float64(o.Tokens)
		hit += float64(o.Hit)
		imported += float64(o.Imported)
		wasted += float64(o.Wasted)
		falseHits += float64(max(o.Predicted-o.Hit, 0))
		missed += float64(max(o.Hit-o.Predicted, 0))
		for i, l := range o.Levels {
			if o.Hit >= l.Tokens {
				s.Levels[i]++
			}
		}
	}
	s.Hit, s.Imported, s.Waste = hit/tokens, imported/tokens, wasted/tokens
	s.FalseHits, s.MissedHits = falseHits/tokens, missed/tokens
	for i := range s.Levels {
		s.Levels[i] /= levels
	}
	s.P50, s.P95, s.P99 = percentile(histogram, 50), percentile(histogram, 95), percentile(histogram, 99)
	s.setOnTimeShares(onTime, all, to-from)
	return s
}

// firstTokenMillis returns the time to first token; a request without one
// counts as maxMillis.
func (o Outcome) firstTokenMillis() int64 {
	if o.FirstToken == 0 {
		return maxMillis
	}
	return max(o.FirstToken.Milliseconds(), 1)
}

func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p))
}

// setOnTimeShares sets the measures that count requests by whether they met
// their deadline.
func (s *Summary) setOnTimeShares(onTime, all map[int]float64, span time.Duration) {
	total := 0.0
	s.WorstAccount, s.SmallAccounts = 1, 1
	mean := float64(s.Requests) / float64(max(len(all), 1))
	for account, n := range all {
		total += onTime[account]
		s.WorstAccount = min(s.WorstAccount, onTime[account]/n)
		if n < mean {
			s.SmallAccounts = min(s.SmallAccounts, onTime[account]/n)
		}
	}
	s.Goodput, s.OnTime = total/span.Seconds(), total/float64(s.Requests)
	s.Refused /= float64(s.Requests)
}

// Spread holds the mean, minimum and maximum of some values.
type Spread struct{ Mean, Min, Max float64 }

// SpreadOf returns the spread of one measure over runs.
func SpreadOf(runs []Summary, measure func(Summary) float64) Spread {
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, r := range runs {
		v := measure(r)
		s.Mean += v / float64(len(runs))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	return s
}

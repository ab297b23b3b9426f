package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMillis and digits set the histogram of times to first token.
	longestMillis = 600_000
	digits        = 3
)

// Summary holds the measures of one run.
type Summary struct {
	// Hit is the share of prompt tokens that engines had cached, and Imported
	// the share that was imported.
	Hit, Imported float64
	// Levels holds for each level the share of requests that had all of it.
	Levels [3]float64
	// P50, P95 and P99 are times to first token in milliseconds.
	P50, P95, P99 float64
	// Waste is the share of prompt tokens that were read although a live
	// engine or the kept store held them.
	Waste float64
	// Goodput is the number of requests a second that ended in time, and
	// OnTime their share of all requests.
	Goodput, OnTime float64
	// WorstAccount is the on-time share of the account with the least.
	WorstAccount float64
	// SmallAccounts is the least on-time share among the accounts that send
	// less than the mean.
	SmallAccounts float64
	// Refused is the share of requests that were refused.
	Refused float64
	// FalseHits is the share of prompt tokens that were believed cached and
	// were not; MissedHits the share that was cached and not believed.
	FalseHits, MissedHits float64
	// Requests is how many requests were counted.
	Requests int
}

// Summarise returns the measures of the requests that arrived in a span.
func Summarise(outcomes []Outcome, from, to time.Duration) Summary {
	var s Summary
	var tokens, hit, imported, wasted, falseHits, missed, levels float64
	onTime, all := map[int]float64{}, map[int]float64{}
	histogram := hdrhistogram.New(1, longestMillis, digits)
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
		_ = histogram.RecordValue(o.firstMillis())
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
	s.P50, s.P95, s.P99 = at(histogram, 50), at(histogram, 95), at(histogram, 99)
	s.shares(onTime, all, to-from)
	return s
}

// firstMillis returns the time to first token; a request that never had one
// counts as the longest time.
func (o Outcome) firstMillis() int64 {
	if o.FirstToken == 0 {
		return longestMillis
	}
	return max(o.FirstToken.Milliseconds(), 1)
}

func at(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile))
}

// shares fills in what counts requests that ended in time.
func (s *Summary) shares(onTime, all map[int]float64, span time.Duration) {
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

// Spread is the mean of some values and the least and the greatest of them.
type Spread struct{ Mean, Least, Most float64 }

// SpreadOf returns the spread of one measure over runs.
func SpreadOf(runs []Summary, measure func(Summary) float64) Spread {
	s := Spread{Least: math.Inf(1), Most: math.Inf(-1)}
	for _, r := range runs {
		v := measure(r)
		s.Mean += v / float64(len(runs))
		s.Least, s.Most = min(s.Least, v), max(s.Most, v)
	}
	return s
}

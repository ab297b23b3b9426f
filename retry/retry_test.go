package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/retry"
)

// TestEverySequence plays all sequences of outcomes of four tries. A request
// that may run once is never sent again after a try that may have run, no
// more upstreams run one than the route allows, and "not run" is said only if
// that is certain.
func TestEverySequence(t *testing.T) {
	outcomes := []retry.Outcome{retry.NotSent, retry.TurnedAway, retry.Broken, retry.Late, retry.Failed}
	for _, repeat := range []bool{false, true} {
		for _, most := range []int{0, 1, 2, 3} {
			var play func(s retry.State, ran int, depth int)
			play = func(s retry.State, ran int, depth int) {
				is := is.New(t)
				switch reason := s.Final(); reason {
				case call.NoUpstream, call.NotRun:
					is.Equal(ran, 0)
					is.Equal(call.Refuse(reason).Status, 503)
				default:
					is.True(ran > 0)
					is.True(call.Refuse(reason).Status != 503)
				}
				if !s.Again() || depth == 4 {
					return
				}
				for _, o := range outcomes {
					now := ran
					if o == retry.Broken || o == retry.Late || o == retry.Failed {
						now++
					}
					is.True(repeat || now <= 1)
					is.True(now <= max(1, most))
					play(s.With(o), now, depth+1)
				}
			}
			play(retry.State{MayRepeat: repeat, MaxUpstreams: most}, 0, 0)
		}
	}
}

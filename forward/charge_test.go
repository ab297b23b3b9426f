package forward

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/retry"
)

// TestOnlyWhatDidNotRunIsGivenBack checks which requests keep their charge.
func TestOnlyWhatDidNotRunIsGivenBack(t *testing.T) {
	broken := retry.State{}.With(retry.Broken)
	tests := map[string]struct {
		state     retry.State
		answer    call.Answer
		didNotRun bool
	}{
		"answered":              {answer: call.Answer{Status: 200}},
		"an upstream's error":   {answer: call.Answer{Status: 500}},
		"refused":               {answer: call.Refuse(call.NoUpstream), didNotRun: true},
		"rejected":              {state: retry.State{}.With(retry.Rejected), answer: call.Refuse(call.NotRun), didNotRun: true},
		"broken":                {state: broken, answer: call.Refuse(call.Unknown)},
		"left while it ran":     {state: broken, answer: call.Refuse(call.CallerLeft)},
		"refused by another":    {answer: call.Answer{Status: 503, Reason: call.Relayed}, didNotRun: true},
		"unknown at another":    {answer: call.Answer{Status: 502, Reason: call.Relayed}},
		"timed out at another":  {answer: call.Answer{Status: 504, Reason: call.Relayed}},
		"refused after one ran": {state: broken, answer: call.Answer{Status: 503, Reason: call.Relayed}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &handler{retryState: test.state}
			is.New(t).Equal(h.didNotRun(test.answer), test.didNotRun)
		})
	}
}

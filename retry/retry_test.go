package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/retry"
)

// TestEndedUpstreamsDoNotCount checks that the limit of upstreams leaves out those that have
// ended, no more of them than it allows others, and only where a request may run again.
func TestEndedUpstreamsDoNotCount(t *testing.T) {
	for _, c := range []struct {
		idempotent       bool
		most, ran, ended int
		want             bool
	}{
		{true, 2, 2, 0, false},
		{true, 2, 2, 1, true},
		{true, 2, 3, 1, false},
		{true, 2, 3, 2, true},
		{true, 2, 4, 2, false},
		{true, 2, 4, 4, false},
		{true, 0, 1, 1, true},
		{false, 2, 1, 1, false},
	} {
		s := retry.State{Idempotent: c.idempotent, MaxUpstreams: c.most, MaybeExecuted: c.ran, Ended: c.ended}
		is.New(t).Equal(s.ShouldRetry(), c.want)
	}
}

// TestAllSequences checks all sequences of outcomes of four attempts: a request
// that isn't idempotent is never retried after an attempt that may have run, no
// more upstreams run a request than the route allows, and "not run" is answered
// only if that is certain.
func TestAllSequences(t *testing.T) {
	outcomes := []retry.Outcome{retry.NotSent, retry.Rejected, retry.Broken, retry.Late, retry.Failed}
	for _, idempotent := range []bool{false, true} {
		for _, maxUpstreams := range []int{0, 1, 2, 3} {
			var visit func(s retry.State, executed int, depth int)
			visit = func(s retry.State, executed int, depth int) {
				is := is.New(t)
				switch reason := s.FailureReason(); reason {
				case call.NoUpstream, call.NotRun:
					is.Equal(executed, 0)
					is.Equal(call.Refuse(reason).Status, 503)
				default:
					is.True(executed > 0)
					is.True(call.Refuse(reason).Status != 503)
				}
				if !s.ShouldRetry() || depth == 4 {
					return
				}
				for _, o := range outcomes {
					next := executed
					if o == retry.Broken || o == retry.Late || o == retry.Failed {
						next++
					}
					is.True(idempotent || next <= 1)
					is.True(next <= max(1, maxUpstreams))
					visit(s.With(o), next, depth+1)
				}
			}
			visit(retry.State{Idempotent: idempotent, MaxUpstreams: maxUpstreams}, 0, 0)
		}
	}
}

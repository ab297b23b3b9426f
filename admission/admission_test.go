package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

const second = time.Second

func TestDecide(t *testing.T) {
	// The account "large" has used a lot, "small" little.
	stateWithUsage := func() *admission.State {
		s := admission.NewState()
		for range 100 {
			s.Decide(admission.Request{Account: "large", Weight: 1, Service: second, Remaining: time.Hour}, 0)
		}
		s.Decide(admission.Request{Account: "small", Weight: 1, Service: second, Remaining: time.Hour}, 0)
		return s
	}
	tests := []struct {
		name    string
		request admission.Request
		want    admission.Reason
	}{
		{"enough time", admission.Request{Account: "large", Remaining: second}, 0},
		{"the wait passes the deadline", admission.Request{Account: "small", Wait: 2 * second, Remaining: second}, admission.Deadline},
		{"the answer passes the deadline", admission.Request{Account: "small", Answer: 2 * second, Remaining: second}, admission.Deadline},
		{"a large account in a full pool", admission.Request{Account: "large", Wait: second, Remaining: time.Minute}, admission.Share},
		{"a small account in a full pool", admission.Request{Account: "small", Wait: second, Remaining: time.Minute}, 0},
		{"an unknown account in a full pool", admission.Request{Account: "new", Wait: second, Remaining: time.Minute}, 0},
		{"a large account with a high weight", admission.Request{Account: "heavy", Weight: 1000, Wait: second, Remaining: time.Minute}, 0},
		{"a large account with a high priority and a short wait", admission.Request{Account: "large", Priority: 9, Wait: 400 * time.Millisecond, Remaining: time.Minute}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := stateWithUsage().Decide(tt.request, 0)
			is.Equal(d.Reason, tt.want)
			is.Equal(d.Admitted, tt.want == 0)
			is.Equal(d.RetryAfter >= second && d.RetryAfter <= 30*second, !d.Admitted)
		})
	}
}

// fixedEstimator returns the same estimate for every request.
type fixedEstimator admission.Estimate

func (f fixedEstimator) Estimate(document.Document, request.Request) (admission.Estimate, bool) {
	return admission.Estimate(f), true
}

// countingLimiter counts the requests that it admitted and that were released.
type countingLimiter struct{ admitted, released int }

func (c *countingLimiter) Admit(document.Document, request.Request) (func(), *request.Failure) {
	c.admitted++
	return func() { c.released++ }, nil
}

func TestGate(t *testing.T) {
	is := is.New(t)
	limits := &countingLimiter{}
	gate := admission.New(admission.Options{Estimator: fixedEstimator{Wait: time.Minute}, Limiter: limits})
	_, refused := gate.Admit(document.Document{}, request.Request{Kind: request.Completion, Account: "mill", Remaining: second})
	is.Equal(refused.Code, request.DeadlineTooNear)
	is.Equal(refused.Status(), 503)
	is.Equal(refused.Outcome, request.NotRun)
	is.True(refused.RetryAfter > 0)
	is.Equal(limits.admitted, limits.released) // a refusal by the estimate releases the limits
	release, refused := gate.Admit(document.Document{}, request.Request{Kind: request.ServiceCall, Remaining: second})
	is.True(refused == nil)
	release()
	is.Equal(*limits, countingLimiter{2, 2})
}

// TestOnlyActiveAccountMayFillEngines checks that an account that shares the
// engines with no other may use them up to fullWaitAlone.
func TestOnlyActiveAccountMayFillEngines(t *testing.T) {
	is := is.New(t)
	s := admission.NewState()
	r := admission.Request{Account: "lone", Wait: 900 * time.Millisecond, Service: 7 * time.Millisecond, Remaining: time.Minute}
	for i := range 100 {
		is.True(s.Decide(r, time.Duration(i)*time.Second/3).Admitted)
	}
	r.Wait = 2 * time.Second
	is.Equal(s.Decide(r, 34*time.Second).Reason, admission.Full)
}

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
	// The large account has used a lot, the small one little.
	used := func() *admission.State {
		s := admission.NewState()
		for range 100 {
			s.Decide(admission.Ask{Account: "large", Weight: 1, Service: second, Remaining: time.Hour}, 0)
		}
		s.Decide(admission.Ask{Account: "small", Weight: 1, Service: second, Remaining: time.Hour}, 0)
		return s
	}
	tests := []struct {
		name string
		ask  admission.Ask
		want admission.Reason
	}{
		{"enough time", admission.Ask{Account: "large", Remaining: second}, 0},
		{"the wait passes the deadline", admission.Ask{Account: "small", Wait: 2 * second, Remaining: second}, admission.Deadline},
		{"the answer passes the deadline", admission.Ask{Account: "small", Answer: 2 * second, Remaining: second}, admission.Deadline},
		{"a large account in a full pool", admission.Ask{Account: "large", Wait: second, Remaining: time.Minute}, admission.Share},
		{"a small account in a full pool", admission.Ask{Account: "small", Wait: second, Remaining: time.Minute}, 0},
		{"an unknown account in a full pool", admission.Ask{Account: "new", Wait: second, Remaining: time.Minute}, 0},
		{"a large account with great weight", admission.Ask{Account: "heavy", Weight: 1000, Wait: second, Remaining: time.Minute}, 0},
		{"a large account with a high priority in a short wait", admission.Ask{Account: "large", Priority: 9, Wait: 400 * time.Millisecond, Remaining: time.Minute}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := used().Decide(tt.ask, 0)
			is.Equal(v.Reason, tt.want)
			is.Equal(v.Admitted, tt.want == 0)
			is.Equal(v.RetryAfter >= second && v.RetryAfter <= 30*second, !v.Admitted)
		})
	}
}

// fixed estimates the same for every request.
type fixed admission.Estimate

func (f fixed) Estimate(document.Document, request.Request) (admission.Estimate, bool) {
	return admission.Estimate(f), true
}

// counting counts what it let in and what was given back.
type counting struct{ in, out int }

func (c *counting) Admit(document.Document, request.Request) (func(), *request.Failure) {
	c.in++
	return func() { c.out++ }, nil
}

func TestGate(t *testing.T) {
	is := is.New(t)
	limits := &counting{}
	gate := admission.New(admission.Options{Estimator: fixed{Wait: time.Minute}, Limiter: limits})
	_, refused := gate.Admit(document.Document{}, request.Request{Kind: request.Completion, Account: "mill", Remaining: second})
	is.Equal(refused.Code, request.DeadlineTooNear)
	is.Equal(refused.Status(), 503)
	is.Equal(refused.Outcome, request.NotRun)
	is.True(refused.RetryAfter > 0)
	is.Equal(limits.in, limits.out) // a refusal gives back what the limits took
	release, refused := gate.Admit(document.Document{}, request.Request{Kind: request.ServiceCall, Remaining: second})
	is.True(refused == nil)
	release()
	is.Equal(*limits, counting{2, 2})
}

// TestAlone lets an account that shares the engines with nobody fill them.
func TestAlone(t *testing.T) {
	is := is.New(t)
	s := admission.NewState()
	ask := admission.Ask{Account: "lone", Wait: 900 * time.Millisecond, Service: 7 * time.Millisecond, Remaining: time.Minute}
	for i := range 100 {
		is.True(s.Decide(ask, time.Duration(i)*time.Second/3).Admitted)
	}
	ask.Wait = 2 * time.Second
	is.Equal(s.Decide(ask, 34*time.Second).Reason, admission.Full)
}

package forward

import (
	"context"
	"errors"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/call"
)

// charge charges the request to the limit of its account, or refuses it. A request counts
// once, at the host that its caller sent it to. GiveBack returns the charge of a request
// that did not run.
func (h *handler) charge(ctx context.Context, prompt call.Prompt) (giveBack func(), refusal *call.Answer) {
	limit := h.account.Limit
	if !limit.IsSet() || h.call.Relayed {
		return func() {}, nil
	}
	giveBack, refused := h.Limits.Take(ctx, account.Demand{
		Account: h.account.Name, Limit: limit.Limit, Amount: limit.Amount(float64(prompt.Input) + float64(prompt.MaxOutput)), Begun: h.route.Resumable && h.call.ResumeAfter != "",
	})
	if refused.Limit == "" {
		return giveBack, nil
	}
	a := call.Refuse(call.AccountLimit).WithRetryAfter(refused.RetryAfter)
	switch {
	case hostStops(ctx):
		a = call.Refuse(call.Stopping).WithRetryAfter(retryAfterStopping)
	case errors.Is(ctx.Err(), context.Canceled):
		a = call.Refuse(call.CallerLeft)
	case ctx.Err() != nil:
		a = call.Refuse(call.DeadlinePast)
	case refused.Limit == account.NoCredit:
		a = call.Refuse(call.NoCredit).WithRetryAfter(retryAfterStartup)
	}
	return func() {}, &a
}

// didNotRun reports whether an answer tells that no upstream has run the request.
func (h *handler) didNotRun(a call.Answer) bool {
	switch {
	case a.Reason == "" || h.retryState.MaybeExecuted > 0:
		return false
	case a.Reason == call.Relayed: // it may have run at the other host
		return promisesNotRun(a.Status)
	}
	return true
}

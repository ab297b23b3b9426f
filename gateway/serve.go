package gateway

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/disconnect"
	"github.com/kumquathoist/kumquathoist/request"
)

// serviceMethods are the HTTP methods that plain services accept. GET and HEAD
// may be repeated by default, the others only if the caller says so.
var serviceMethods = []string{
	fiber.MethodGet, fiber.MethodHead, fiber.MethodPost, fiber.MethodPut, fiber.MethodPatch, fiber.MethodDelete,
}

// callContext returns the context of a service call and a function that releases
// it. A call that may be repeated is cancelled when its caller disconnects. Any
// other continues, so that its outcome is recorded.
func callContext(c fiber.Ctx, r request.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	if !r.Idempotent {
		return ctx, cancel
	}
	stop := disconnect.Notify(c.RequestCtx().Conn(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// keyedRefusal returns the refusal of a call with a key. An earlier call with the
// key may have run under another configuration, so the outcome of a refusal
// that depends on the configuration is Unknown instead of NotRun.
func keyedRefusal(f *request.Failure, key string) *request.Failure {
	if key == "" {
		return f
	}
	switch f.Code {
	case request.NotReady, request.Unauthenticated, request.Forbidden, request.NotFound:
		return f.WithOutcome(request.Unknown)
	}
	return f
}

// serve handles a call of a plain service.
func (g *Gateway) serve(c fiber.Ctx) error {
	doc, account, failure := g.authenticateCaller(c)
	if failure != nil {
		return g.fail(c, account.Name, keyedRefusal(failure, c.Get(keyHeader)))
	}
	r, failure := g.decodeServiceCall(c, doc, account)
	if failure != nil {
		return g.fail(c, account.Name, keyedRefusal(failure, c.Get(keyHeader)))
	}
	g.openRequests.Add(1)
	g.unanswered.reach(c, Running)
	defer g.openRequests.Add(-1)
	ctx, stop := callContext(c, r)
	defer stop()
	answer, failure := g.Runner.Serve(ctx, doc, r)
	if failure != nil {
		return g.fail(c, account.Name, failure)
	}
	g.recordOutcome(r.ID, r.Account, nil)
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}

// modelList is the answer to a request for the list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the account may use.
func (g *Gateway) models(c fiber.Ctx) error {
	doc, account, failure := g.authenticateCaller(c)
	if failure != nil {
		return g.fail(c, account.Name, failure)
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range doc.Models.Models {
		if account.AllowsModel(m.Name) {
			list.Data = append(list.Data, modelEntry{m.Name, "model", "kumquathoist"})
		}
	}
	g.recordOutcome(c.GetRespHeader(RequestIDHeader), account.Name, nil)
	return c.JSON(list)
}

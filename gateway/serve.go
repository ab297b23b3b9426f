package gateway

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/disconnect"
	"github.com/kumquathoist/kumquathoist/request"
)

// serviceMethods are the methods that plain services take. GET and HEAD may
// be repeated; of the others the caller says so.
var serviceMethods = []string{
	fiber.MethodGet, fiber.MethodHead, fiber.MethodPost, fiber.MethodPut, fiber.MethodPatch, fiber.MethodDelete,
}

// callContext returns the context of a service call. A call that may be
// repeated ends when its caller leaves; any other goes on, so that its
// outcome is recorded.
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

// keyedRefusal returns the refusal of a call with a key. An earlier send of
// the key may have run under another configuration, so that a refusal that
// follows from the configuration does not say "not run".
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

// serve answers a call of a plain service.
func (g *Gateway) serve(c fiber.Ctx) error {
	doc, account, failure := g.begin(c)
	if failure != nil {
		return g.refused(c, account.Name, keyedRefusal(failure, c.Get(keyHeader)))
	}
	r, failure := g.serviceCall(c, doc, account)
	if failure != nil {
		return g.refused(c, account.Name, keyedRefusal(failure, c.Get(keyHeader)))
	}
	g.open.Add(1)
	defer g.open.Add(-1)
	ctx, stop := callContext(c, r)
	defer stop()
	answer, failure := g.Runner.Serve(ctx, doc, r)
	if failure != nil {
		return g.refused(c, account.Name, failure)
	}
	g.finish(r.ID, r.Account, nil)
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}

// modelList is the answer to a request for the models.
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
	doc, account, failure := g.begin(c)
	if failure != nil {
		return g.refused(c, account.Name, failure)
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range doc.Models.Models {
		if account.AllowsModel(m.Name) {
			list.Data = append(list.Data, modelEntry{m.Name, "model", "kumquathoist"})
		}
	}
	g.finish(c.GetRespHeader(requestIDHeader), account.Name, nil)
	return c.JSON(list)
}

package gateway

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/httpheader"
	"github.com/kumquathoist/kumquathoist/request"
)

// methods are the methods that any door may take.
var methods = append([]string{fasthttp.MethodOptions, fasthttp.MethodTrace, fasthttp.MethodConnect}, serviceMethods...)

// checkHeads refuses heads that the HTTP library lets pass, before it routes
// them: folded headers, which an upstream could read in another way, and
// unknown methods, which the library would answer without a typed body.
func checkHeads(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case httpheader.HasLineFolding(ctx.Request.Header.RawHeaders()):
			refuseHead(ctx, request.Refuse(request.BadRequest, "a header is folded"))
		case !slices.Contains(methods, string(ctx.Method())):
			refuseHead(ctx, request.Refuse(request.NoMethod, "the method is not known"))
		default:
			next(ctx)
		}
	}
}

// refuseHead answers and ends the connection.
func refuseHead(ctx *fasthttp.RequestCtx, f *request.Failure) {
	ctx.SetConnectionClose()
	ctx.SetStatusCode(f.Status())
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeFailure(f))
}

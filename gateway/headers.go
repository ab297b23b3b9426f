package gateway

import (
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/httpheader"
	"github.com/kumquathoist/kumquathoist/request"
)

// methods are the HTTP methods that the router passes to its routes.
var methods = append([]string{fasthttp.MethodOptions, fasthttp.MethodTrace, fasthttp.MethodConnect}, serviceMethods...)

// checkHeaders refuses requests that fasthttp accepts, before they are routed:
// folded headers, which an upstream could parse differently, and unknown
// methods, which the library would answer without a typed body.
func checkHeaders(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case httpheader.HasLineFolding(ctx.Request.Header.RawHeaders()):
			refuseHeader(ctx, request.Refuse(request.BadRequest, "a header is folded"))
		case !slices.Contains(methods, string(ctx.Method())):
			refuseHeader(ctx, request.Refuse(request.NoMethod, "the method is not known"))
		default:
			next(ctx)
		}
	}
}

// refuseHeader sends a failure and closes the connection.
func refuseHeader(ctx *fasthttp.RequestCtx, f *request.Failure) {
	ctx.SetConnectionClose()
	ctx.SetStatusCode(f.Status())
	if f.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retrySeconds(f.RetryAfter)))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeFailure(f))
}

// closeWhileStopping makes a stopping host close each connection with its next answer, so that
// callers go to other hosts.
func (g *Gateway) closeWhileStopping(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		if g.stopping.Load() {
			ctx.SetConnectionClose()
		}
	}
}

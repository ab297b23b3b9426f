package gateway

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// refusalRetryAfter is the Retry-After time of a caller whose connection or body is
	// refused.
	refusalRetryAfter = time.Second
	// closingConnections may be closing when the server counts them, but not the listener.
	closingConnections = 64
)

// connectionRefusal returns the answer to a caller whose connection is refused.
func connectionRefusal() []byte {
	// The request was not read: it may be a retry of one that was executed.
	refusal := request.Refuse(request.TooManyOpen, "too many connections are open").WithOutcome(request.Unknown)
	body := encodeFailure(refusal.WithRetryAfter(refusalRetryAfter))
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		retrySeconds(refusalRetryAfter), len(body), body)
}

// refuseBody refuses a request whose body isn't taken in. It has not run.
func (g *Gateway) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	f := request.Refuse(request.BadRequest, "the request is not HTTP as this host takes it")
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		f = fiberFailures[fasthttp.StatusRequestEntityTooLarge]
	case errors.Is(err, ingress.ErrTooSlow):
		f = fiberFailures[fasthttp.StatusRequestTimeout]
	case errors.Is(err, ingress.ErrNoRoom):
		f = request.Refuse(request.NoRoom, "there is no room for the body now").WithRetryAfter(refusalRetryAfter)
	}
	id := requestID(string(ctx.Request.Header.Peek(RequestIDHeader)))
	ctx.Response.Header.Set(RequestIDHeader, id)
	g.recordOutcome(id, "", f)
	refuseHeader(ctx, f)
}

// recordState follows the states of connections.
func (g *Gateway) recordState(c net.Conn, s fasthttp.ConnState) {
	ingress.RecordState(c, s)
	g.unanswered.recordState(c, s)
}

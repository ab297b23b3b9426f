package operator

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/ingress"
)

// maxBodyBytes limits the body of a call.
const maxBodyBytes = 4 << 20

// refuseBody refuses a call whose body isn't taken in.
func refuseBody(ctx *fasthttp.RequestCtx, err error) {
	status := fiber.StatusBadRequest
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		status = fiber.StatusRequestEntityTooLarge
	case errors.Is(err, ingress.ErrTooSlow):
		status = fiber.StatusRequestTimeout
	case errors.Is(err, ingress.ErrNoRoom):
		status = fiber.StatusServiceUnavailable
		ctx.Response.Header.Set(fiber.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	}
	raw, _ := json.Marshal(Problem{Message: err.Error()})
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
	ctx.SetContentType(fiber.MIMEApplicationJSON)
	ctx.SetBody(raw)
}

// retryAfterSeconds is the Retry-After of a call without room for its body.
const retryAfterSeconds = 1

// connectionRefusal returns the answer to a client whose connection is refused.
func connectionRefusal() []byte {
	return []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + strconv.Itoa(retryAfterSeconds) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

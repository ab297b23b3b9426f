package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/request"
)

// errorBody is the JSON of a failure: the usual OpenAI-style keys plus the
// outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    request.Code    `json:"code"`
	Outcome request.Outcome `json:"outcome"`
	// RetryAfterSeconds repeats the Retry-After header for clients that read only
	// bodies.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// encodeFailure returns the JSON of a failure.
func encodeFailure(f *request.Failure) []byte {
	kind := "invalid_request_error"
	if f.Status() >= fiber.StatusInternalServerError {
		kind = "server_error"
	}
	raw, _ := json.Marshal(errorBody{errorDetail{
		Message: f.Message, Type: kind, Code: f.Code, Outcome: f.Outcome,
		RetryAfterSeconds: retrySeconds(f.RetryAfter),
	}})
	return raw
}

// retrySeconds rounds up to whole seconds, as Retry-After requires.
func retrySeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// sendFailure answers with a failure.
func sendFailure(c fiber.Ctx, f *request.Failure) error {
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(retrySeconds(f.RetryAfter)))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(f.Status()).Send(encodeFailure(f))
}

// failureEvent returns the event that ends a failed stream.
func failureEvent(f *request.Failure) []byte {
	var b bytes.Buffer
	b.WriteString("event: error\ndata: ")
	b.Write(encodeFailure(f))
	b.WriteString("\n\n")
	return b.Bytes()
}

// fiberFailures maps the status of fiber's errors to the failures sent to callers.
var fiberFailures = map[int]*request.Failure{
	fiber.StatusNotFound:                    request.Refuse(request.NotFound, "there is nothing at this path"),
	fiber.StatusMethodNotAllowed:            request.Refuse(request.NoMethod, "this path does not take the method"),
	fiber.StatusNotImplemented:              request.Refuse(request.NoMethod, "the method is not known"),
	fiber.StatusRequestEntityTooLarge:       request.Refuse(request.TooLarge, "the body is larger than this host takes"),
	fiber.StatusRequestHeaderFieldsTooLarge: request.Refuse(request.HeadTooLarge, "the head is larger than this host takes"),
	fiber.StatusRequestTimeout:              request.Refuse(request.TooSlow, "the request did not arrive in time"),
}

// handleError converts errors of fiber into typed failures. None of these
// requests has reached a handler.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	f := request.Refuse(request.BadRequest, "the request is not HTTP as this host takes it")
	var e *fiber.Error
	if errors.As(err, &e) && fiberFailures[e.Code] != nil {
		f = fiberFailures[e.Code]
	}
	g.identify(c)
	return g.fail(c, "", f)
}

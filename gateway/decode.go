package gateway

import (
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/rollout"
)

const (
	// maxIDBytes bounds the IDs and keys that callers send.
	maxIDBytes = 255
	// maxPriority bounds the priority that callers send.
	maxPriority = 9
)

// Path parts of the routes for callers.
const (
	chatPath     = "/chat/completions"
	servicesPath = "/services/"
)

// Headers that callers may send.
const (
	keyHeader        = "Idempotency-Key"
	keyIssuedHeader  = "Idempotency-Key-Issued"
	deadlineHeader   = "X-Deadline-Millis"
	priorityHeader   = "X-Priority"
	repeatableHeader = "X-Repeatable"
	lastEventHeader  = "Last-Event-ID"
	// modelVersionHeader is the weights version of an answer. A caller that
	// resumes a stream sends it back.
	modelVersionHeader = "X-Model-Version"
)

// authenticate returns the account of a bearer key.
func authenticate(doc document.Document, header string) (document.Account, *request.Failure) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return document.Account{}, request.Refuse(request.Unauthenticated, "the Authorization header holds no bearer key")
	}
	account, ok := doc.AccountByKeyHash(document.HashKey(key))
	if !ok {
		return document.Account{}, request.Refuse(request.Unauthenticated, "the key belongs to no account")
	}
	return account, nil
}

// decodeCompletionRequest decodes a completion request.
func (g *Gateway) decodeCompletionRequest(c fiber.Ctx, doc document.Document, account document.Account) (request.Request, *request.Failure) {
	r, failure := g.decodeCommon(c, account)
	if failure != nil {
		return r, failure
	}
	if c.Get(repeatableHeader) == "false" {
		return r, request.Refuse(request.BadRequest, "a completion may always be repeated; what may not belongs to a plain service")
	}
	chat := strings.HasSuffix(r.Path, chatPath)
	body, failure := decodeCompletion(r.Body, chat)
	if failure != nil {
		return r, failure
	}
	model, ok := doc.Model(body.model)
	if !ok {
		return r, request.Refuse(request.NotFound, "there is no model "+strconv.Quote(body.model))
	}
	if !account.AllowsModel(body.model) {
		return r, request.Refuse(request.Forbidden, "the account may not use the model")
	}
	r.Body = body.withStream(r.Body)
	r.Kind, r.Model, r.Stream, r.Levels = request.Completion, body.model, body.stream, body.levels(chat)
	r.Idempotent, r.MaxTokens = true, body.maxTokens
	return g.withVersion(c, doc, r, model)
}

// withVersion returns the request with the weights version that must answer it:
// the version that rollout.Serving picks from the current and, during a rollout,
// the previous version, or for a resumed stream the version that it began with.
func (g *Gateway) withVersion(c fiber.Ctx, doc document.Document, r request.Request, model document.Model) (request.Request, *request.Failure) {
	if r.ResumeAfter == 0 {
		pool, _ := doc.Pool(model.Pool)
		r.Version = rollout.Serving(model, pool, r.ID, func(version string) int { return g.Engines.Ready(pool, version) })
		if r.Version == model.From {
			r.OtherVersion = model.Version
		} else {
			r.OtherVersion = model.From
		}
		return r, nil
	}
	if r.Version = c.Get(modelVersionHeader); r.Version != "" {
		return r, nil
	}
	return r, request.Refuse(request.BadRequest, "a request with "+lastEventHeader+" needs the "+modelVersionHeader+" of the answer that it goes on with")
}

// decodeServiceCall decodes a call of a plain service.
func (g *Gateway) decodeServiceCall(c fiber.Ctx, doc document.Document, account document.Account) (request.Request, *request.Failure) {
	r, failure := g.decodeCommon(c, account)
	if failure != nil {
		return r, failure
	}
	name, path, failure := servicePath(r.Path)
	if failure != nil {
		return r, failure
	}
	pool, ok := doc.Pool(name)
	if !ok || pool.Kind != document.ServicePool {
		return r, request.Refuse(request.NotFound, "there is no service "+strconv.Quote(name))
	}
	if !account.AllowsService(name) {
		return r, request.Refuse(request.Forbidden, "the account may not use the service")
	}
	r.Kind, r.Service, r.Path = request.ServiceCall, name, path
	r.ContentType, r.Accept = c.Get(fiber.HeaderContentType), c.Get(fiber.HeaderAccept)
	if query := c.RequestCtx().QueryArgs().String(); query != "" {
		r.Path += "?" + query
	}
	if c.Get(repeatableHeader) == "" {
		r.Idempotent = r.Method == fiber.MethodGet || r.Method == fiber.MethodHead
	}
	if !r.Idempotent && r.Key == "" {
		return r, request.Refuse(request.BadRequest, "a call that may not be repeated needs an "+keyHeader)
	}
	return r, nil
}

// servicePath splits the path of a service call into the service and the path at
// the service. It refuses a path that the service might resolve to a different
// path, such as one with "..", to prevent path traversal.
func servicePath(path string) (service, remainder string, failure *request.Failure) {
	service, remainder, _ = strings.Cut(strings.TrimPrefix(path, servicesPath), "/")
	refused := request.Refuse(request.BadRequest, "the path holds a segment that a service could misread")
	for segment := range strings.SplitSeq(service+"/"+remainder, "/") {
		decoded, err := url.PathUnescape(segment)
		if err != nil || decoded == "." || decoded == ".." || strings.ContainsAny(decoded, "/\\") || strings.ContainsFunc(decoded, unicode.IsControl) {
			return "", "", refused
		}
	}
	return service, "/" + remainder, nil
}

// decodeCommon decodes the parts common to all requests.
func (g *Gateway) decodeCommon(c fiber.Ctx, account document.Account) (request.Request, *request.Failure) {
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return request.Request{}, request.Refuse(request.BadRequest, "the body must not be compressed")
	}
	repeatable := c.Get(repeatableHeader)
	if repeatable != "" && repeatable != "true" && repeatable != "false" {
		return request.Request{}, request.Refuse(request.BadRequest, repeatableHeader+" must be true or false")
	}
	r := request.Request{
		ID:         c.GetRespHeader(RequestIDHeader),
		Account:    account.Name,
		Method:     c.Method(),
		Path:       c.Path(),
		Body:       c.RequestCtx().Request.Body(), // not the library's buffer: see ingress.Bodies
		Key:        c.Get(keyHeader),
		Idempotent: repeatable == "true",
		Remaining:  time.Duration(g.Settings.Limits.DeadlineSeconds) * time.Second,
	}
	var failure *request.Failure
	if r.Remaining, failure = numberHeader(c, deadlineHeader, r.Remaining, time.Millisecond, r.Remaining); failure != nil {
		return r, failure
	}
	if r.Remaining == 0 {
		return r, request.Refuse(request.DeadlineTooNear, "the deadline leaves no time")
	}
	priority, failure := numberHeader(c, priorityHeader, 0, 1, maxPriority)
	if failure != nil {
		return r, failure
	}
	after, failure := numberHeader(c, lastEventHeader, 0, 1, 1<<30)
	if failure != nil {
		return r, failure
	}
	r.Priority, r.ResumeAfter = int(priority), int(after)
	if r.Key != "" {
		r.KeyIssued, failure = keyIssueTime(r.Key, c.Get(keyIssuedHeader))
	}
	return r, failure
}

// numberHeader parses a header that holds a whole number of units.
func numberHeader(c fiber.Ctx, name string, fallback, unit, limit time.Duration) (time.Duration, *request.Failure) {
	text := c.Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > int64(limit/unit) {
		return 0, request.Refuse(request.BadRequest, name+" is not a whole number in range")
	}
	return time.Duration(n) * unit, nil
}

// keyIssueTime returns when a key was issued: from the header (Unix
// milliseconds) if present, otherwise from the key, a UUID of version 7.
func keyIssueTime(key, header string) (time.Time, *request.Failure) {
	if len(key) > maxIDBytes {
		return time.Time{}, request.Refuse(request.BadRequest, keyHeader+" is too long")
	}
	if header != "" {
		millis, err := strconv.ParseInt(header, 10, 64)
		if err != nil {
			return time.Time{}, request.Refuse(request.BadRequest, keyIssuedHeader+" is not a time in Unix milliseconds")
		}
		return time.UnixMilli(millis), nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, request.Refuse(request.BadRequest, keyHeader+" must be a UUID of version 7, or "+keyIssuedHeader+" must tell when it was made")
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), nil
}

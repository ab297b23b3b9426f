package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/disconnect"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// bufferedChunks bounds the events buffered for a slow caller. With the
	// longest event that an engine may send, a stream uses at most 1 MiB.
	bufferedChunks = 16
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * time.Second
	// deadlineGrace is how long after its deadline a request that still waits
	// for its caller is cancelled.
	deadlineGrace = time.Second
)

// errCallerDisconnected ends a request whose caller closed its connection.
var errCallerDisconnected = errors.New("the caller disconnected")

// answer carries a completion from the runner to the caller.
type answer struct {
	// chunks receives the events in order and is closed after the last one.
	chunks chan upstream.Chunk
	// failure receives the outcome, or nil for success, before chunks is closed.
	failure chan *request.Failure
	// cancel ends the completion, for example when the caller disconnects.
	cancel context.CancelFunc
}

// complete handles a completion request.
func (g *Gateway) complete(c fiber.Ctx) error {
	doc, account, failure := g.authenticateCaller(c)
	if failure != nil {
		return g.fail(c, account.Name, failure)
	}
	r, failure := g.decodeCompletionRequest(c, doc, account)
	if failure != nil {
		return g.fail(c, account.Name, failure)
	}
	g.openRequests.Add(1)
	g.unanswered.reach(c, Running)
	started := time.Now()
	a := g.run(doc, r)
	// A stream detects a disconnect when it writes its next event.
	stop := disconnect.Notify(c.RequestCtx().Conn(), a.cancel)
	defer stop()
	first, ok := <-a.chunks
	if !ok {
		failure := <-a.failure
		if failure != nil {
			defer g.openRequests.Add(-1)
			defer a.cancel()
			return g.fail(c, account.Name, failure)
		}
		// The answer is complete and has no tokens.
		first = upstream.Chunk{End: true}
		a.failure <- nil
	}
	g.recordFirstToken(started)
	c.Set(modelVersionHeader, first.Weights)
	if r.Stream {
		return g.stream(c, r, a, first)
	}
	defer g.openRequests.Add(-1)
	defer a.cancel()
	return g.collect(c, r, a, first)
}

// run starts a completion in the background.
func (g *Gateway) run(doc document.Document, r request.Request) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.Remaining+deadlineGrace)
	a := &answer{chunks: make(chan upstream.Chunk, bufferedChunks), failure: make(chan *request.Failure, 1), cancel: cancel}
	go func() {
		failure := g.Runner.Complete(ctx, doc, r, func(chunk upstream.Chunk) error {
			select {
			case a.chunks <- chunk:
				return nil
			case <-ctx.Done():
				return errCallerDisconnected
			}
		})
		a.failure <- failure
		close(a.chunks)
	}()
	return a
}

// fail records a failure and sends it to the caller.
func (g *Gateway) fail(c fiber.Ctx, account string, f *request.Failure) error {
	g.recordOutcome(c.GetRespHeader(RequestIDHeader), account, f)
	return sendFailure(c, f)
}

// stream forwards events to the caller as they arrive.
func (g *Gateway) stream(c fiber.Ctx, r request.Request, a *answer, first upstream.Chunk) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	g.unanswered.reach(c, Streaming)
	conn := c.RequestCtx().Conn()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer g.openRequests.Add(-1)
		defer a.cancel()
		events := &eventWriter{w: w, extendDeadline: func() { _ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) }, onDisconnect: a.cancel}
		events.write(chunkEvent(first))
		g.recordOutcome(r.ID, r.Account, events.writeAll(a))
	})
}

// eventWriter writes events and skips all writes after the first error.
type eventWriter struct {
	w *bufio.Writer
	// extendDeadline extends the connection's write deadline before each write.
	extendDeadline func()
	// onDisconnect is called when a write fails.
	onDisconnect func()
	err          error
}

// writeAll writes the remaining events of an answer and its end marker or
// failure, and returns the outcome.
func (e *eventWriter) writeAll(a *answer) *request.Failure {
	for chunk := range a.chunks {
		e.write(chunkEvent(chunk))
	}
	failure := <-a.failure
	if failure != nil {
		e.write(failureEvent(failure))
		return failure
	}
	e.write([]byte("data: [DONE]\n\n"))
	return nil
}

func (e *eventWriter) write(raw []byte) {
	if e.err != nil {
		return
	}
	e.extendDeadline()
	if _, e.err = e.w.Write(raw); e.err == nil {
		e.err = e.w.Flush()
	}
	if e.err != nil {
		e.onDisconnect()
	}
}

// chunkEvent returns the server-sent event of a chunk, or nil for the end chunk.
// The end marker is written after the outcome instead, since the end chunk may
// be lost when the request times out.
func chunkEvent(chunk upstream.Chunk) []byte {
	if chunk.End {
		return nil
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", chunk.Position, chunk.Data)
}

// chunkBody holds the parts of an engine's event that the router reads.
type chunkBody struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// completionResponse is the answer to a request that does not stream.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   responseUsage    `json:"usage"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         string           `json:"text,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type responseUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// collect reads all events and sends the answer as one body.
func (g *Gateway) collect(c fiber.Ctx, r request.Request, a *answer, first upstream.Chunk) error {
	var text strings.Builder
	var last chunkBody
	tokens := 0
	for chunk, open := first, true; open; chunk, open = <-a.chunks {
		if chunk.End {
			continue
		}
		last = chunkBody{}
		if json.Unmarshal(chunk.Data, &last) != nil || len(last.Choices) == 0 {
			return g.fail(c, r.Account, request.Refuse(request.UpstreamFailed, "the engine's answer makes no sense").WithOutcome(request.Unknown))
		}
		tokens++
		text.WriteString(last.Choices[0].Delta.Content + last.Choices[0].Text)
	}
	if failure := <-a.failure; failure != nil {
		return g.fail(c, r.Account, failure)
	}
	g.recordOutcome(r.ID, r.Account, nil)
	return c.JSON(newCompletionResponse(r, last, text.String(), tokens))
}

// newCompletionResponse builds the answer from the last event and the collected
// text.
func newCompletionResponse(r request.Request, last chunkBody, text string, tokens int) completionResponse {
	choice := responseChoice{FinishReason: "stop"}
	if len(last.Choices) > 0 && last.Choices[0].FinishReason != nil {
		choice.FinishReason = *last.Choices[0].FinishReason
	}
	body := completionResponse{ID: last.ID, Model: r.Model, Object: "text_completion", Usage: responseUsage{tokens}}
	if strings.HasSuffix(r.Path, "/chat/completions") {
		body.Object, choice.Message = "chat.completion", &responseMessage{"assistant", text}
	} else {
		choice.Text = text
	}
	body.Choices = []responseChoice{choice}
	return body
}

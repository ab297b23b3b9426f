package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// bufferedChunks bounds the events that wait for a slow caller.
const bufferedChunks = 64

// errCallerLeft ends a request whose caller closed its connection.
var errCallerLeft = errors.New("the caller has left")

// part is what the runner hands to the caller's side: an event or the end.
type part struct {
	chunk   upstream.Chunk
	failure *request.Failure
}

// complete answers a completion request.
func (g *Gateway) complete(c fiber.Ctx) error {
	doc, account, failure := g.begin(c)
	if failure != nil {
		return g.refused(c, account.Name, failure)
	}
	r, failure := g.completion(c, doc, account)
	if failure != nil {
		return g.refused(c, account.Name, failure)
	}
	ctx, cancel := context.WithCancel(context.Background())
	parts := g.run(ctx, doc, r)
	first := <-parts
	if first.failure != nil {
		cancel()
		return g.refused(c, account.Name, first.failure)
	}
	if r.Stream {
		return g.stream(c, r, parts, first, cancel)
	}
	defer cancel()
	return g.collect(c, r, parts, first)
}

// run starts a completion and returns its parts; the last one is an end or
// a failure.
func (g *Gateway) run(ctx context.Context, doc document.Document, r request.Request) <-chan part {
	parts := make(chan part, bufferedChunks)
	g.open.Add(1)
	go func() {
		defer g.open.Add(-1)
		defer close(parts)
		failure := g.Runner.Complete(ctx, doc, r, func(chunk upstream.Chunk) error {
			select {
			case parts <- part{chunk: chunk}:
				return nil
			case <-ctx.Done():
				return errCallerLeft
			}
		})
		if failure == nil {
			return
		}
		select {
		case parts <- part{failure: failure}:
		case <-ctx.Done():
		}
	}()
	return parts
}

// refused answers with a failure and counts it.
func (g *Gateway) refused(c fiber.Ctx, account string, f *request.Failure) error {
	g.finish(c.GetRespHeader(requestIDHeader), account, f)
	return refuse(c, f)
}

// stream passes events on as they come.
func (g *Gateway) stream(c fiber.Ctx, r request.Request, parts <-chan part, first part, cancel context.CancelFunc) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		failure := writeParts(w, first, parts)
		g.finish(r.ID, r.Account, failure)
	})
}

// writeParts writes events until the end, a failure or the caller's leaving.
func writeParts(w *bufio.Writer, p part, parts <-chan part) *request.Failure {
	for open := true; open; p, open = <-parts {
		switch {
		case p.failure != nil:
			_, _ = w.Write(failureEvent(p.failure))
			_ = w.Flush()
			return p.failure
		case p.chunk.End:
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
			return nil
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", p.chunk.Position, p.chunk.Data)
		if w.Flush() != nil {
			break
		}
	}
	return &request.Failure{Outcome: request.Unknown, Code: request.UpstreamFailed, Message: "the caller left before the end"}
}

// chunkBody is what the router reads of an engine's event.
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

// wholeBody is the answer to a request that does not stream.
type wholeBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   wholeUsage    `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         string        `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// collect answers with the whole text at once.
func (g *Gateway) collect(c fiber.Ctx, r request.Request, parts <-chan part, p part) error {
	var text strings.Builder
	var last chunkBody
	tokens := 0
	for open := true; open && !p.chunk.End; p, open = <-parts {
		if p.failure != nil {
			return g.refused(c, r.Account, p.failure)
		}
		last = chunkBody{}
		if json.Unmarshal(p.chunk.Data, &last) != nil || len(last.Choices) == 0 {
			return g.refused(c, r.Account, request.Refuse(request.UpstreamFailed, "the engine's answer makes no sense").WithOutcome(request.Unknown))
		}
		tokens++
		text.WriteString(last.Choices[0].Delta.Content + last.Choices[0].Text)
	}
	g.finish(r.ID, r.Account, nil)
	return c.JSON(whole(r, last, text.String(), tokens))
}

// whole builds the answer from the last event and the collected text.
func whole(r request.Request, last chunkBody, text string, tokens int) wholeBody {
	choice := wholeChoice{FinishReason: "stop"}
	if len(last.Choices) > 0 && last.Choices[0].FinishReason != nil {
		choice.FinishReason = *last.Choices[0].FinishReason
	}
	body := wholeBody{ID: last.ID, Model: r.Model, Object: "text_completion", Usage: wholeUsage{tokens}}
	if strings.HasSuffix(r.Path, "/chat/completions") {
		body.Object, choice.Message = "chat.completion", &wholeMessage{"assistant", text}
	} else {
		choice.Text = text
	}
	body.Choices = []wholeChoice{choice}
	return body
}

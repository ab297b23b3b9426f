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
	// bufferedChunks bounds the events that wait for a slow caller. With the
	// longest event an engine may send, it bounds a stream's memory to 1 MiB.
	bufferedChunks = 16
	// writeTimeout bounds one write to a caller that reads nothing.
	writeTimeout = 30 * time.Second
	// deadlineGrace is how long after its deadline a request is ended that
	// still waits for its caller.
	deadlineGrace = time.Second
)

// errCallerLeft ends a request whose caller closed its connection.
var errCallerLeft = errors.New("the caller has left")

// answer is a completion on its way from the runner to the caller.
type answer struct {
	// chunks holds events in order; it is closed after the last one.
	chunks chan upstream.Chunk
	// failure gets the outcome after chunks was closed.
	failure chan *request.Failure
	// cancel tells the runner that the caller has left.
	cancel context.CancelFunc
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
	g.open.Add(1)
	begun := time.Now()
	a := g.run(doc, r)
	// A stream notices by its next event that the caller has left.
	stop := disconnect.Notify(c.RequestCtx().Conn(), a.cancel)
	defer stop()
	first, ok := <-a.chunks
	if !ok {
		failure := <-a.failure
		if failure != nil {
			defer g.open.Add(-1)
			defer a.cancel()
			return g.refused(c, account.Name, failure)
		}
		// The answer is whole and has no tokens.
		first = upstream.Chunk{End: true}
		a.failure <- nil
	}
	g.firstToken(begun)
	c.Set(modelVersionHeader, first.Weights)
	if r.Stream {
		return g.stream(c, r, a, first)
	}
	defer g.open.Add(-1)
	defer a.cancel()
	return g.collect(c, r, a, first)
}

// run starts a completion.
func (g *Gateway) run(doc document.Document, r request.Request) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.Remaining+deadlineGrace)
	a := &answer{chunks: make(chan upstream.Chunk, bufferedChunks), failure: make(chan *request.Failure, 1), cancel: cancel}
	go func() {
		failure := g.Runner.Complete(ctx, doc, r, func(chunk upstream.Chunk) error {
			select {
			case a.chunks <- chunk:
				return nil
			case <-ctx.Done():
				return errCallerLeft
			}
		})
		a.failure <- failure
		close(a.chunks)
	}()
	return a
}

// refused answers with a failure and counts it.
func (g *Gateway) refused(c fiber.Ctx, account string, f *request.Failure) error {
	g.finish(c.GetRespHeader(requestIDHeader), account, f)
	return refuse(c, f)
}

// stream passes events on as they come.
func (g *Gateway) stream(c fiber.Ctx, r request.Request, a *answer, first upstream.Chunk) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	conn := c.RequestCtx().Conn()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer g.open.Add(-1)
		defer a.cancel()
		events := &eventWriter{w: w, extend: func() { _ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) }, left: a.cancel}
		events.write(chunkEvent(first))
		g.finish(r.ID, r.Account, events.writeAll(a))
	})
}

// eventWriter writes events until the first error.
type eventWriter struct {
	w *bufio.Writer
	// extend gives the caller's connection time for one more write.
	extend func()
	// left is called when the caller has left.
	left func()
	err  error
}

// writeAll writes the rest of an answer and its explicit end, and returns the
// outcome.
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
	e.extend()
	if _, e.err = e.w.Write(raw); e.err == nil {
		e.err = e.w.Flush()
	}
	if e.err != nil {
		e.left()
	}
}

// chunkEvent returns the event of a chunk. The end marker is written from the
// outcome instead, since a chunk may be lost when the request's time is over.
func chunkEvent(chunk upstream.Chunk) []byte {
	if chunk.End {
		return nil
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", chunk.Position, chunk.Data)
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
			return g.refused(c, r.Account, request.Refuse(request.UpstreamFailed, "the engine's answer makes no sense").WithOutcome(request.Unknown))
		}
		tokens++
		text.WriteString(last.Choices[0].Delta.Content + last.Choices[0].Text)
	}
	if failure := <-a.failure; failure != nil {
		return g.refused(c, r.Account, failure)
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

package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/request"
)

// sendCommand sends a completion or a call of a plain service.
type sendCommand struct {
	callerFlags

	Text           string        `arg:"" optional:"" help:"The prompt, or with --service the body of the call."`
	Key            string        `required:"" env:"KUMQUATHOIST_KEY" help:"The account's key."`
	Model          string        `help:"The model of a completion." xor:"what"`
	Service        string        `help:"Call this plain service instead of a model." xor:"what"`
	Path           string        `default:"/" help:"The path of the call at the service."`
	Method         string        `default:"POST" help:"The method of the call."`
	IdempotencyKey string        `help:"The key under which the call runs at most once; by default a new one, which is printed."`
	Repeatable     bool          `help:"Running the call twice does no harm."`
	Priority       int           `help:"From 0 to 9; higher goes first."`
	Deadline       time.Duration `help:"How long the answer may take."`
	Stream         bool          `default:"true" negatable:"" help:"Print the answer as it arrives."`
}

// Help explains which host gets the request and how to retry it.
func (sendCommand) Help() string {
	return "The command queries the host for addresses and sends the request to the first one that accepts a connection. If the call may have run but no answer arrived, the exit code is 4: send it again with the same --idempotency-key, and it runs at most once."
}

// Run sends the request and prints the answer.
func (c *sendCommand) Run(ctx context.Context, o console) error {
	if (c.Model == "") == (c.Service == "") {
		return trace.BadParameter("set either --model or --service")
	}
	answer, err := c.fetchAddresses(ctx)
	if err != nil {
		return err
	}
	if c.Service != "" && !c.Repeatable && c.IdempotencyKey == "" {
		c.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		fmt.Fprintf(o.err, "idempotency key %s\n", c.IdempotencyKey)
	}
	hosts := []string{strings.TrimPrefix(c.Host, "http://")}
	if len(answer.Addresses) > 0 {
		hosts = nil
	}
	for _, a := range answer.Addresses {
		hosts = append(hosts, a.Address)
	}
	resp, err := c.sendToFirst(ctx, hosts)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return failureError(resp)
	}
	if c.Service == "" && c.Stream {
		return printStream(o.out, resp.Body, c.Output == "json")
	}
	return c.printAnswer(o.out, resp.Body)
}

// sendToFirst sends the request to the first host that accepts the connection.
// Once a host has accepted it, the request may have run, so no other host is
// tried.
func (c *sendCommand) sendToFirst(ctx context.Context, hosts []string) (*http.Response, error) {
	var lastErr error
	for _, host := range hosts {
		req, err := c.request(ctx, host)
		if err != nil {
			return nil, err
		}
		resp, err := newHTTPClient().Do(req)
		if err == nil {
			return resp, nil
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, trace.ConnectionProblem(err, "no answer from %s; the request may have run", host)
		}
		lastErr = err
	}
	return nil, trace.Errorf("no host accepts connections: %v", lastErr)
}

// request builds the request for a host.
func (c *sendCommand) request(ctx context.Context, host string) (*http.Request, error) {
	method, path, body := c.Method, "/services/"+c.Service+c.Path, c.Text
	if c.Service == "" {
		raw, err := json.Marshal(map[string]any{
			"model": c.Model, "stream": c.Stream,
			"messages": []map[string]string{{"role": "user", "content": c.Text}},
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		method, path, body = http.MethodPost, "/v1/chat/completions", string(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return nil, trace.BadParameter("the request can't be sent: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Priority", strconv.Itoa(c.Priority))
	if c.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	if c.Repeatable {
		req.Header.Set("X-Repeatable", "true")
	}
	if c.Deadline > 0 {
		req.Header.Set("X-Deadline-Millis", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// failureBody is the JSON body of a failure.
type failureBody struct {
	Error struct {
		Message string          `json:"message"`
		Code    request.Code    `json:"code"`
		Outcome request.Outcome `json:"outcome"`
	} `json:"error"`
}

// failureError converts a failure into an error: trace.ConnectionProblem if the
// outcome is unknown, trace.LimitExceeded if the request was refused.
func failureError(resp *http.Response) error {
	raw, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return trace.ConnectionProblem(err, "the answer was truncated")
	}
	var f failureBody
	if json.Unmarshal(raw, &f) != nil || f.Error.Code == "" {
		return trace.LimitExceeded("answered %s: %s", resp.Status, raw)
	}
	return f.toError()
}

func (f failureBody) toError() error {
	if f.Error.Outcome == request.Unknown {
		return trace.ConnectionProblem(nil, "%s: %s; it may have run", f.Error.Code, f.Error.Message)
	}
	return trace.LimitExceeded("%s: %s; it did not run", f.Error.Code, f.Error.Message)
}

// printAnswer prints an answer that is not streamed.
func (c *sendCommand) printAnswer(w io.Writer, body io.Reader) error {
	raw, err := bounded.ReadAll(body, maxAnswerBytes)
	if err != nil {
		return trace.ConnectionProblem(err, "the answer was truncated")
	}
	text := string(raw)
	if c.Service == "" && c.Output == "table" {
		var completion struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if json.Unmarshal(raw, &completion) != nil || len(completion.Choices) == 0 {
			return trace.ConnectionProblem(nil, "the answer is not a completion: %s", raw)
		}
		text = completion.Choices[0].Message.Content
	}
	_, err = fmt.Fprintln(w, strings.TrimSpace(text))
	return err
}

// printStream prints the text of a stream as it arrives, or with events set the
// JSON of its events.
func printStream(w io.Writer, body io.Reader, events bool) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			if events {
				return nil
			}
			_, err := fmt.Fprintln(w)
			return err
		}
		var chunk struct {
			failureBody

			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			return chunk.toError()
		}
		if events {
			fmt.Fprintln(w, data)
			continue
		}
		fmt.Fprint(w, chunk.Choices[0].Delta.Content)
	}
	return trace.ConnectionProblem(scanner.Err(), "the answer ended early; the request may have run")
}

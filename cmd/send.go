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
	Stream         bool          `default:"true" negatable:"" help:"Read the answer as it comes."`
}

// Help tells what becomes of the request.
func (sendCommand) Help() string {
	return "The command asks the host for addresses and sends to the first that takes the connection. A call that may have run without an answer ends with exit code 4: send it again with the same --idempotency-key, and it runs at most once."
}

// Run sends the request and prints the answer.
func (c *sendCommand) Run(ctx context.Context, o console) error {
	if (c.Model == "") == (c.Service == "") {
		return trace.BadParameter("name either --model or --service")
	}
	answer, err := c.addresses(ctx)
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
		return refusal(resp)
	}
	if c.Service == "" && c.Stream {
		return printStream(o.out, resp.Body, c.Output == "json")
	}
	return c.printWhole(o.out, resp.Body)
}

// sendToFirst sends the request to the first host that takes the connection.
// Once a host took it, the request may have run.
func (c *sendCommand) sendToFirst(ctx context.Context, hosts []string) (*http.Response, error) {
	var last error
	for _, host := range hosts {
		req, err := c.request(ctx, host)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			return resp, nil
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, trace.ConnectionProblem(err, "no answer from %s; the request may have run", host)
		}
		last = err
	}
	return nil, trace.Errorf("no host takes connections: %v", last)
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

// failureBody is the JSON of a failure.
type failureBody struct {
	Error struct {
		Message string          `json:"message"`
		Code    request.Code    `json:"code"`
		Outcome request.Outcome `json:"outcome"`
	} `json:"error"`
}

// refusal turns a failure into an error: of an unknown outcome, or refused.
func refusal(resp *http.Response) error {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "the answer was cut")
	}
	var f failureBody
	if json.Unmarshal(raw, &f) != nil || f.Error.Code == "" {
		return trace.LimitExceeded("answered %s: %s", resp.Status, raw)
	}
	return f.problem()
}

func (f failureBody) problem() error {
	if f.Error.Outcome == request.Unknown {
		return trace.ConnectionProblem(nil, "%s: %s; it may have run", f.Error.Code, f.Error.Message)
	}
	return trace.LimitExceeded("%s: %s; it did not run", f.Error.Code, f.Error.Message)
}

// printWhole prints an answer that came at once.
func (c *sendCommand) printWhole(w io.Writer, body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return trace.ConnectionProblem(err, "the answer was cut")
	}
	text := string(raw)
	if c.Service == "" && c.Output == "table" {
		var whole struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if json.Unmarshal(raw, &whole) != nil || len(whole.Choices) == 0 {
			return trace.ConnectionProblem(nil, "the answer makes no sense: %s", raw)
		}
		text = whole.Choices[0].Message.Content
	}
	_, err = fmt.Fprintln(w, strings.TrimSpace(text))
	return err
}

// printStream prints the text of a stream as it comes, or its events.
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
			return chunk.problem()
		}
		if events {
			fmt.Fprintln(w, data)
			continue
		}
		fmt.Fprint(w, chunk.Choices[0].Delta.Content)
	}
	return trace.ConnectionProblem(scanner.Err(), "the answer stopped before its end; it may have run")
}

package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/user"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/settings"
)

// operatorFlags are the flags of commands that call a host's operator server.
type operatorFlags struct {
	Host   string `default:"http://127.0.0.1:8082" env:"KUMQUATHOIST_OPERATORS" help:"The base URL of a host's operators' address."`
	Output string `default:"table" enum:"table,json" help:"How to print the answer: ${enum}."`
}

// get sends a GET request to the operator server.
func (f operatorFlags) get(ctx context.Context, path string, into any) error {
	err := f.call(ctx, http.MethodGet, path, nil, into)
	if trace.IsConnectionProblem(err) {
		// A failed read changed nothing, so the outcome is not unknown.
		return trace.Errorf("%s", trace.UserMessage(err))
	}
	return err
}

// post sends a JSON body to the operator server.
func (f operatorFlags) post(ctx context.Context, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return f.call(ctx, http.MethodPost, path, raw, into)
}

func (f operatorFlags) call(ctx context.Context, method, path string, body []byte, into any) error {
	secret, err := settings.Default().Secrets.Operators.Read()
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, f.Host+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("%s is not a URL: %v", f.Host, err)
	}
	req.Header.Set("Authorization", "Bearer "+secret.Reveal())
	req.Header.Set("Content-Type", "application/json")
	resp, err := newHTTPClient().Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no answer from %s", f.Host)
	}
	defer resp.Body.Close()
	raw, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return trace.ConnectionProblem(err, "the answer from %s was truncated", f.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp.StatusCode, raw)
	}
	return trace.Wrap(json.Unmarshal(raw, into), "decoding the answer")
}

// answerError converts an error response into an error.
func answerError(status int, raw []byte) error {
	var p operator.Problem
	if json.Unmarshal(raw, &p) != nil || p.Message == "" {
		p.Message = string(raw)
	}
	if p.Unknown {
		return trace.ConnectionProblem(nil, "%s", p.Message)
	}
	return trace.ReadError(status, []byte(p.Message))
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// operatorName returns the name of the user who runs the command.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

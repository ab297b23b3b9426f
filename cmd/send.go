package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/gateway"
)

// callerFlags are the flags of commands that act as a caller.
type callerFlags struct {
	Host string `default:"http://127.0.0.1:8080" env:"KUMQUATHOIST_CALLERS" help:"The base URL of a host's callers' address."`
}

// addressesCommand asks for addresses.
type addressesCommand struct {
	callerFlags

	Output string `default:"table" enum:"table,json" help:"How to print the answer: ${enum}."`
}

// Run prints the addresses that callers should use.
func (c *addressesCommand) Run(ctx context.Context, o console) error {
	var answer gateway.AddressAnswer
	if err := fetchAddresses(ctx, c.Host, &answer); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	for _, a := range answer.Addresses {
		fmt.Fprintf(o.out, "%s\t%s\t%s\n", a.Address, a.Host, a.FailureDomain)
	}
	_, err := fmt.Fprintf(o.out, "keep for %d s\n", answer.KeepSeconds)
	return err
}

func fetchAddresses(ctx context.Context, host string, into *gateway.AddressAnswer) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, host+"/v1/addresses", nil)
	if err != nil {
		return trace.BadParameter("%s is not a URL: %v", host, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no answer from %s", host)
	}
	defer resp.Body.Close()
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(into), "decoding the addresses")
}

// sendCommand sends a completion.
type sendCommand struct {
	callerFlags

	Model  string `required:"" help:"The model."`
	Prompt string `arg:"" help:"The prompt."`
	Key    string `required:"" env:"KUMQUATHOIST_KEY" help:"The account's key."`
}

// Run asks for an address, sends the request there and prints the answer.
func (c *sendCommand) Run(ctx context.Context, o console) error {
	var answer gateway.AddressAnswer
	if err := fetchAddresses(ctx, c.Host, &answer); err != nil {
		return err
	}
	host := c.Host
	if len(answer.Addresses) > 0 {
		host = "http://" + answer.Addresses[0].Address
	}
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": c.Prompt}},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no answer from %s", host)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		return trace.LimitExceeded("the request was refused: %s", raw)
	}
	return printAnswer(o.out, resp.Body)
}

// printAnswer prints the text of a stream as it comes.
func printAnswer(w io.Writer, body io.Reader) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			_, err := fmt.Fprintln(w)
			return err
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			return trace.ConnectionProblem(nil, "the answer ended with an error: %s", data)
		}
		fmt.Fprint(w, chunk.Choices[0].Delta.Content)
	}
	return trace.ConnectionProblem(scanner.Err(), "the answer stopped before its end")
}

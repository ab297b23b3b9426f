package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/workload"
)

// driveCommand sends the requests of a user's workload through running routers.
type driveCommand struct {
	User    string        `default:"halvorsen" enum:"halvorsen,kupola" help:"Whose arrivals: halvorsen or kupola."`
	Routers []string      `required:"" help:"IP:port of routers for callers."`
	Engines []string      `required:"" help:"IP:port of the stand-in engines, for their counts."`
	Key     string        `default:"account-%d-key" help:"The accounts' keys; %d stands for their numbers from 0."`
	Model   string        `default:"matcher" help:"The model to ask."`
	Rate    float64       `default:"30" help:"Requests a second."`
	Span    time.Duration `default:"20s" help:"How long to send."`
	Seed    uint64        `default:"1" help:"The seed of the arrivals."`
}

// driveRun is the state of one run.
type driveRun struct {
	*driveCommand

	// mu guards the fields below.
	mu           sync.Mutex
	firstEvent   *hdrhistogram.Histogram
	statusCounts map[int]int
	late         int
	levelTexts   map[prefix.Key]string
}

// Run sends the arrivals and prints their hit rate, latencies and outcomes.
func (c *driveCommand) Run(ctx context.Context) error {
	profile := workload.Halvorsen()
	if c.User == "kupola" {
		profile = workload.HviezdnaKupola()
	}
	d := &driveRun{driveCommand: c, firstEvent: hdrhistogram.New(1, 600_000, 3), statusCounts: map[int]int{}, levelTexts: map[prefix.Key]string{}}
	before, err := d.counts(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	var wait conc.WaitGroup
	arrivals := profile.WithRate(c.Rate).Generate(c.Seed, c.Span)
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(a.At))):
		}
		wait.Go(func() { d.send(ctx, a) })
	}
	wait.Wait()
	after, err := d.counts(ctx)
	if err != nil {
		return err
	}
	tokens := after.PromptTokens - before.PromptTokens
	fmt.Printf("hit %.1f%% of at most %.1f%% p50 %d ms p95 %d ms p99 %d ms late %d outcomes %v\n",
		100*float64(after.CachedTokens-before.CachedTokens)/float64(max(tokens, 1)), 100*repeatedShare(arrivals),
		d.firstEvent.ValueAtQuantile(50), d.firstEvent.ValueAtQuantile(95), d.firstEvent.ValueAtQuantile(99), d.late, d.statusCounts)
	return nil
}

// repeatedShare returns the share of prompt tokens in pieces that occur in
// an earlier arrival, the upper bound of the hit rate of any cache.
func repeatedShare(arrivals []workload.Arrival) float64 {
	seen := map[prefix.Key]bool{}
	tokens, repeated := 0, 0
	for _, a := range arrivals {
		tokens += a.Tokens
		for _, k := range a.Pieces {
			if seen[k] {
				repeated += prefix.PieceTokens
			}
			seen[k] = true
		}
	}
	return float64(repeated) / float64(max(tokens, 1))
}

// send sends one request and records its status and time to first event.
func (d *driveRun) send(ctx context.Context, a workload.Arrival) {
	begin := time.Now()
	body, err := json.Marshal(d.body(a))
	if err != nil {
		return
	}
	url := "http://" + d.Routers[a.Random%uint64(len(d.Routers))] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+fmt.Sprintf(d.Key, a.Account))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Priority", fmt.Sprint(a.Class.Priority))
	req.Header.Set("X-Deadline-Millis", fmt.Sprint(a.Class.Deadline.Milliseconds()))
	status, first := 0, time.Duration(0)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		status = resp.StatusCode
		if n, _ := resp.Body.Read(make([]byte, 1)); n > 0 {
			first = time.Since(begin)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statusCounts[status]++
	if status == http.StatusOK {
		_ = d.firstEvent.RecordValue(max(first.Milliseconds(), 1))
	}
	if time.Since(begin) > a.Class.Deadline {
		d.late++
	}
}

// body returns a request with one message for each level of its prompt and a
// final question.
func (d *driveRun) body(a workload.Arrival) any {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	var messages []message
	end := 0
	for _, l := range a.Levels {
		messages = append(messages, message{"system", d.levelText(l, l.Tokens-end)})
		end = l.Tokens
	}
	question := fmt.Sprintf("%0*d", a.Class.TailTokens*prefix.TokenBytes, a.Random)
	messages = append(messages, message{"user", question})
	return struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{d.Model, true, a.Class.AnswerTokens, messages}
}

// levelText returns the random text of a level; the same key always has the same
// text.
func (d *driveRun) levelText(l prefix.Level, tokens int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if text, ok := d.levelTexts[l.Key]; ok {
		return text
	}
	random := rand.New(rand.NewPCG(uint64(l.Key), 0))
	raw := make([]byte, tokens*prefix.TokenBytes)
	for i := range raw {
		raw[i] = byte('a' + random.IntN(26))
	}
	d.levelTexts[l.Key] = string(raw)
	return string(raw)
}

// counts returns the sum of the engines' counts.
func (d *driveRun) counts(ctx context.Context) (standin.EngineCounts, error) {
	var sum standin.EngineCounts
	for _, address := range d.Engines {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counts", nil)
		if err != nil {
			return sum, trace.Wrap(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return sum, trace.ConnectionProblem(err, "reading the counts of %s", address)
		}
		var counts standin.EngineCounts
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			return sum, trace.Wrap(err, "decoding the counts of %s", address)
		}
		sum.Requests += counts.Requests
		sum.PromptTokens += counts.PromptTokens
		sum.CachedTokens += counts.CachedTokens
	}
	return sum, nil
}

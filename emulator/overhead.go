package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/pool"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/local"
	"github.com/kumquathoist/kumquathoist/standin"
)

// overheadCommand measures the latency and throughput cost of a router.
type overheadCommand struct {
	Requests    int     `default:"500" help:"Pairs of requests of one repetition."`
	Repetitions int     `default:"3" help:"Repetitions of each case."`
	Callers     int     `default:"4" help:"Concurrent callers when measuring the requests a second."`
	PromptBytes []int   `default:"2000,65536" help:"Sizes of the prompt."`
	Tokens      int     `default:"16" help:"Tokens of an answer."`
	TokenMillis float64 `default:"0" help:"Milliseconds between two tokens."`
}

// maxLatencyMicros is the longest latency that the histogram records, a minute.
const maxLatencyMicros = 60_000_000

// target is a path to the engine, straight or through the router.
type target struct {
	client    *http.Client
	url, key  string
	body      string
	latency   *hdrhistogram.Histogram
	perSecond float64
}

// Run prints a table that compares requests sent straight to the engine with
// requests sent through the router. Everything runs in one process.
func (c *overheadCommand) Run(ctx context.Context) error {
	event.Discard()
	system, err := local.New(ctx, local.Options{Routers: 1, Engines: 1, Engine: func(o *standin.EngineOptions) {
		o.TokenMillis, o.AnswerTokens, o.PrefillTokensPerSecond, o.Slots = c.TokenMillis, c.Tokens, 1e9, 64
	}})
	if err != nil {
		return err
	}
	fmt.Println("| prompt | answer | run | straight p50 / p99 | router p50 / p99 | added p50 / p99 | straight req/s | router req/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, size := range c.PromptBytes {
		for _, stream := range []bool{true, false} {
			for run := range c.Repetitions {
				straight := newTarget(system.Engines[0].URL(), system, size, stream)
				router := newTarget("http://"+system.Routers[0].Callers(), system, size, stream)
				if err := c.measure(ctx, straight, router); err != nil {
					return err
				}
				printRow(size, stream, run+1, straight, router)
			}
		}
	}
	return nil
}

func newTarget(url string, s *local.System, size int, stream bool) *target {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, s.Model, stream, strings.Repeat("x", size))
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &target{
		client: &http.Client{Transport: transport}, url: url + "/v1/chat/completions", key: s.Key,
		body: body, latency: hdrhistogram.New(1, maxLatencyMicros, 3),
	}
}

// measure records latencies with pairs of requests sent one after the other, and
// then the throughput of each target with concurrent callers.
func (c *overheadCommand) measure(ctx context.Context, straight, router *target) error {
	defer straight.client.CloseIdleConnections()
	defer router.client.CloseIdleConnections()
	for i := range c.Requests {
		pair := []*target{straight, router}
		for n := range pair {
			t := pair[(n+i)%2]
			begin := time.Now()
			if err := t.send(ctx); err != nil {
				return err
			}
			if err := t.latency.RecordValue(time.Since(begin).Microseconds()); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	for _, t := range []*target{straight, router} {
		begin := time.Now()
		callers := pool.New().WithMaxGoroutines(c.Callers).WithErrors().WithFirstError()
		for range 4 * c.Requests {
			callers.Go(func() error { return t.send(ctx) })
		}
		if err := callers.Wait(); err != nil {
			return err
		}
		t.perSecond = float64(4*c.Requests) / time.Since(begin).Seconds()
	}
	return nil
}

// send sends one request and reads the whole answer.
func (t *target) send(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, strings.NewReader(t.body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(bufio.NewReader(resp.Body))
	if err != nil || resp.StatusCode != http.StatusOK {
		return trace.BadParameter("answered %s: %s (%v)", resp.Status, raw, err)
	}
	return nil
}

func printRow(size int, stream bool, run int, straight, router *target) {
	answer := "whole"
	if stream {
		answer = "streamed"
	}
	quantile := func(t *target, q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	s50, s99, r50, r99 := quantile(straight, 50), quantile(straight, 99), quantile(router, 50), quantile(router, 99)
	fmt.Printf("| %d B | %s | %d | %.2f / %.2f ms | %.2f / %.2f ms | %.2f / %.2f ms | %.0f | %.0f |\n",
		size, answer, run, s50, s99, r50, r99, r50-s50, r99-s99, straight.perSecond, router.perSecond)
}

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/standin"
)

// controlCommand measures the network traffic, CPU and memory of idle hosts.
// Each host is a separate process; the engines are stand-ins.
type controlCommand struct {
	Program  string        `required:"" type:"existingfile" help:"The router's program."`
	Hosts    []int         `default:"3,9,30" help:"Numbers of hosts."`
	Engines  int           `default:"2" help:"Engines for each host."`
	Accounts int           `default:"8" help:"Client accounts."`
	Settle   time.Duration `default:"15s" help:"How long the hosts run before they are measured."`
	Span     time.Duration `default:"20s" help:"How long the hosts are measured."`
}

// Run prints a row for each number of hosts.
func (c *controlCommand) Run(ctx context.Context) error {
	const header = "HOSTS\tENGINES\tACCOUNTS\tWIRE B/S/HOST\tCPU %/HOST\tRSS MB/HOST"
	return measureFleets(ctx, fleetOptions{program: c.Program, hosts: c.Hosts}, header, c.measureRow)
}

// measureRow measures one fleet.
func (c *controlCommand) measureRow(ctx context.Context, f *fleet) (string, error) {
	hosts := len(f.hosts)
	if err := c.configure(ctx, f, hosts*c.Engines); err != nil {
		return "", err
	}
	time.Sleep(c.Settle)
	before, err := loopbackBytes()
	if err != nil {
		return "", err
	}
	idle := f.measureIdle(c.Span)
	after, err := loopbackBytes()
	if err != nil {
		return "", err
	}
	wire := float64(after-before) / c.Span.Seconds() / float64(hosts)
	return fmt.Sprintf("%d\t%d\t%d\t%.0f\t%.2f\t%.1f", hosts, hosts*c.Engines, c.Accounts, wire, idle.cpuPercent, idle.residentMB), nil
}

// configure starts engines and publishes a configuration that lists them.
func (c *controlCommand) configure(ctx context.Context, f *fleet, engines int) error {
	pool := document.Pool{Name: "engines", Kind: document.EnginePool}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		e, err := standin.NewEngine(ctx, "127.0.0.1:0", standin.DefaultEngineOptions(name))
		if err != nil {
			return err
		}
		pool.Upstreams = append(pool.Upstreams, document.Upstream{Name: name, Address: e.Address(), FailureDomain: "domain-1"})
	}
	var accounts document.Accounts
	for i := range c.Accounts {
		name := fmt.Sprintf("account-%d", i+1)
		accounts.Accounts = append(accounts.Accounts, document.Account{Name: name, KeyHash: document.HashKey(name), Weight: 1, RequestsPerSecond: 10})
	}
	sections := []struct {
		section document.Section
		body    any
	}{
		{document.CapacitySection, document.Capacity{Pools: []document.Pool{pool}}},
		{document.ModelsSection, document.Models{Models: []document.Model{{Name: "model", Pool: "engines", Version: "v1"}}}},
		{document.AccountsSection, accounts},
	}
	for _, s := range sections {
		body, err := yaml.Marshal(s.body)
		if err != nil {
			return trace.Wrap(err)
		}
		var result document.EditResult
		e := document.Edit{ID: uuid.NewString(), Section: s.section, Author: "measure", Body: string(body)}
		if err := f.hosts[0].post(ctx, "/operator/edits", e, &result); err != nil {
			return trace.Wrap(err, "publishing %s", s.section)
		}
		if !result.Accepted {
			return trace.CompareFailed("%s was refused: %s", s.section, result.Reason)
		}
	}
	return nil
}

// loopbackBytes returns the bytes that the loopback interface has carried,
// including TCP and IP headers. Data between two processes counts once.
func loopbackBytes() (int64, error) {
	raw, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(raw)) {
		if counters, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			return strconv.ParseInt(strings.Fields(counters)[0], 10, 64)
		}
	}
	return 0, trace.NotFound("there is no loopback interface")
}

package soak_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/soak"
)

// program is the daemon's program, built with the race detector.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "kumquathoist")
	if out, err := exec.Command("go", "build", "-race", "-o", program, "..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building the daemon: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestPlan checks that a seed always gives the same faults, that they lie within
// the run, and that every kind occurs.
func TestPlan(t *testing.T) {
	is := is.New(t)
	const span = 20 * time.Second
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(200) {
		plan := soak.Plan(seed, span)
		is.Equal(plan, soak.Plan(seed, span))
		for i, f := range plan {
			is.True(f.At >= span/10 && f.At <= span*3/4)
			is.True(i == 0 || f.At >= plan[i-1].At)
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), 24) // each kind is drawn
}

// TestSeeds runs short soaks of a few hosts, and seeds that once found faults.
func TestSeeds(t *testing.T) {
	for _, o := range []soak.Options{
		{Seed: 1, Span: 6 * time.Second, Hosts: 3, Engines: 4, Services: 2, Callers: 8},
		{Seed: 2, Span: 6 * time.Second, Hosts: 3, Engines: 4, Services: 2, Callers: 8},
		// A call and a read that crash upstreams were retried without limit.
		{Seed: 5003, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		{Seed: 5004, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// A host received SIGHUP before it handled signals, and ended.
		{Seed: 8029, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// The stand-in carried out orders that were meant for another instance.
		{Seed: 9002, Span: 10 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// Requests that share a part crash engines.
		{Seed: 21012, Span: 10 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// Requests to services that another request had crashed were refused like that one.
		{Seed: 52010, Span: 10 * time.Second, Hosts: 6, Engines: 5, Services: 2, Callers: 16},
		// An engine loaded weights for a host that was killed. Whenever it refused
		// the other hosts, they assumed newer weights than it had, and never ordered
		// it again.
		{Seed: 2009, Span: 14 * time.Second, Hosts: 3, Engines: 6, Services: 2, Callers: 24},
	} {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			is := is.New(t)
			o.Program, o.OutputDir = program, t.TempDir()
			report, err := soak.Run(context.Background(), o)
			is.NoErr(err)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				logTails(t, o.OutputDir)
			}
			is.True(report.Answered > 0)
		})
	}
}

// logTails logs the last bytes of each host's output.
func logTails(t *testing.T, dir string) {
	t.Helper()
	const maxBytes = 8 << 10
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s ends with\n%s", filepath.Base(path), raw[max(0, len(raw)-maxBytes):])
	}
}

// TestInterrupted checks that an interrupted soak returns the context's error and
// no violations.
func TestInterrupted(t *testing.T) {
	for _, after := range []time.Duration{0, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			report, err := soak.Run(ctx, soak.Options{Program: program, Seed: 1, Span: time.Minute, Hosts: 2, Engines: 2, Services: 1, Callers: 2})
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(report.Violations, nil)
		})
	}
}

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

// TestPlan plans the same faults for the same seed, within the run.
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

// TestSeeds runs short soaks of a few hosts, and seeds that found something.
func TestSeeds(t *testing.T) {
	for _, o := range []soak.Options{
		{Seed: 1, Span: 6 * time.Second, Hosts: 3, Engines: 4, Services: 2, Callers: 8},
		{Seed: 2, Span: 6 * time.Second, Hosts: 3, Engines: 4, Services: 2, Callers: 8},
		// A call and a read that end upstreams were sent on without end.
		{Seed: 5003, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		{Seed: 5004, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// A host got SIGHUP before it took signals, and ended.
		{Seed: 8029, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// The stand-in carried out orders for another instance.
		{Seed: 9002, Span: 10 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// An engine loaded for a host that was killed; others took it for newer
		// than it was, each time it refused them, and never ordered it again.
		{Seed: 2009, Span: 14 * time.Second, Hosts: 3, Engines: 6, Services: 2, Callers: 24},
	} {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			is := is.New(t)
			o.Program, o.Keep = program, t.TempDir()
			report, err := soak.Run(context.Background(), o)
			is.NoErr(err)
			for _, wrong := range report.Wrong {
				t.Error(wrong)
			}
			if t.Failed() {
				logTails(t, o.Keep)
			}
			is.True(report.Answered > 0)
		})
	}
}

// logTails logs the end of each host's output.
func logTails(t *testing.T, dir string) {
	t.Helper()
	const most = 8 << 10
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s ends with\n%s", filepath.Base(path), raw[max(0, len(raw)-most):])
	}
}

// TestInterrupted ends a soak early: it tells that, and no broken promise.
func TestInterrupted(t *testing.T) {
	for _, after := range []time.Duration{0, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			report, err := soak.Run(ctx, soak.Options{Program: program, Seed: 1, Span: time.Minute, Hosts: 2, Engines: 2, Services: 1, Callers: 2})
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(report.Wrong, nil)
		})
	}
}

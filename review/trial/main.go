// Command trial plays one case of the review: it starts hosts as separate
// processes in front of stand-ins for clients, engines and the platform's store,
// disrupts them and checks one rule of the users' pages.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// trialLimit is the longest time that a case may take.
const trialLimit = 100 * time.Second

// trial is a case in progress.
type trial struct {
	*record

	// disrupted is false if the case runs without its disruption.
	disrupted bool
	dir       string
}

// cases holds the cases by name. Each reports whether the rule was broken, or an
// error if it could not run.
var cases = map[string]func(context.Context, *trial) (broken bool, err error){
	"isolation":    playIsolation,
	"long-streams": playLongStreams,
	"old-weights":  playOldWeights,
	"large-bodies": playLargeBodies,
	"stale-order":  playStaleOrder,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		return exitNotRun
	}
	output, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer output.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, trialLimit)
	defer cancel()
	t := &trial{record: newRecord(output), disrupted: os.Getenv("TROUBLE") != "0", dir: dir}
	t.logf("case %s, disruption: %v", os.Args[1], t.disrupted)
	broken, err := cases[os.Args[1]](ctx, t)
	switch {
	case err != nil:
		t.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		t.logf("the rule was BROKEN")
		return exitBroken
	}
	t.logf("the rule held")
	return exitHeld
}

package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/revision"
)

// statusCommand shows hosts and engines.
type statusCommand struct {
	operatorFlags
}

// Help tells how to read the status.
func (statusCommand) Help() string {
	return "Shows what one host knows: the entry hosts, each engine's last load report, and how far each pool is with its version. Ask another host with --host to see whether they agree."
}

// Run prints the status as one host sees it.
func (c *statusCommand) Run(ctx context.Context, o console) error {
	var answer operator.StatusAnswer
	if err := c.get(ctx, "/operator/status", &answer); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "host %s, configuration position %d, %s\n\n", answer.Host, answer.Position, standing(answer.Configuration))
	fmt.Fprintln(w, "HOST\tFAILURE DOMAIN\tREGION\tCALLERS")
	for _, h := range answer.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", h.Name, h.FailureDomain, h.Region, h.Callers)
	}
	fmt.Fprintln(w, "\nPOOL\tENGINE\tREACHABLE\tVERSION\tRUNNING\tQUEUED")
	for _, e := range answer.Engines {
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%d\t%d\n", e.Pool, e.Name, e.Reachable, e.Version, e.Running, e.Queued)
	}
	fmt.Fprintln(w, "\nPOOL\tWANTED\tFENCE\tDONE\tLOADING\tWAITING\tUNREACHABLE\tHELD")
	for _, r := range answer.Rollouts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d of %d\t%d\t%d\t%d\t%s\n", r.Pool, r.Version, r.Fence, r.Done, r.Engines, r.Loading, r.Waiting, r.Unreachable, r.Held)
	}
	return w.Flush()
}

// standing tells how far the configuration of a host can be relied on.
func standing(s revision.Status) string {
	text := "ready"
	if !s.Ready {
		text = "not ready"
	}
	if s.StaleSeconds >= 0 {
		text += fmt.Sprintf(", known to be current %.0f s ago", s.StaleSeconds)
	}
	if s.Reason != "" {
		text += ": " + s.Reason
	}
	return text
}

// drainCommand begins a planned stop.
type drainCommand struct {
	operatorFlags
}

// Help tells what a planned stop does.
func (drainCommand) Help() string {
	return "The host leaves the address answers, serves until no kept answer names it, finishes its streams and ends. No request is cut; one that is longer than the allowance is told to go on at another host."
}

// Run begins a planned stop of the host that is asked.
func (c *drainCommand) Run(ctx context.Context, o console) error {
	var answer struct{ Stopping bool }
	if err := c.post(ctx, "/operator/drain", struct{}{}, &answer); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	_, err := fmt.Fprintln(o.out, "the host is stopping")
	return err
}

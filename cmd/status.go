package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/revision"
)

// statusCommand shows the status of hosts, engines and rollouts.
type statusCommand struct {
	operatorFlags
}

// Help explains the status.
func (statusCommand) Help() string {
	return "Shows the state of the system as one host sees it: the entry hosts, each engine's last load report, and the progress of each pool's rollout. Query another host with --host to see whether they agree."
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
	fmt.Fprintf(w, "host %s, configuration position %d, %s\n\n", answer.Host, answer.Position, configurationStatus(answer.Configuration))
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

// configurationStatus describes whether a host's configuration is ready and how
// stale it may be.
func configurationStatus(status revision.Status) string {
	text := "ready"
	if !status.Ready {
		text = "not ready"
	}
	if status.StaleSeconds >= 0 {
		text += fmt.Sprintf(", known to be current %.0f s ago", status.StaleSeconds)
	}
	if status.Reason != "" {
		text += ": " + status.Reason
	}
	return text
}

// drainCommand begins a planned stop.
type drainCommand struct {
	operatorFlags
}

// Help explains a planned stop.
func (drainCommand) Help() string {
	return "The host leaves the address answers, serves until no cached answer lists it, finishes its streams and exits. No request is cut off: a stream that outlasts the configured time ends with an event that lets the caller resume it at another host."
}

// Run begins a planned stop of the host given by --host.
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

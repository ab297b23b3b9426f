package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/operator"
)

// showCommand shows a section.
type showCommand struct {
	operatorFlags

	Section string `arg:"" help:"The section: Capacity, Models, Accounts or Routing."`
}

// Run prints the section in force.
func (c *showCommand) Run(ctx context.Context, o console) error {
	var answer operator.SectionAnswer
	if err := c.get(ctx, "/operator/sections/"+c.Section, &answer); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	_, err := fmt.Fprintf(o.out, "# %s, revision %d\n%s", answer.Section, answer.Revision, answer.Body)
	return err
}

// auditCommand shows the audit trail.
type auditCommand struct {
	operatorFlags
}

// Run prints the audit trail.
func (c *auditCommand) Run(ctx context.Context, o console) error {
	var answer struct{ Verdicts []document.Verdict }
	if err := c.get(ctx, "/operator/audit", &answer); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tTIME\tAUTHOR\tSECTION\tBASE\tVERDICT\tREASON")
	for _, v := range answer.Verdicts {
		verdict := "refused"
		if v.Accepted {
			verdict = "accepted"
		}
		at := time.UnixMilli(v.AppendedMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\t%s\n", v.Offset, at, v.Author, v.Section, v.Base, verdict, v.Reason)
	}
	return w.Flush()
}

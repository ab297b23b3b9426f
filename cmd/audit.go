package cmd

import (
	"context"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/kumquathoist/kumquathoist/document"
)

// auditCommand shows the audit trail.
type auditCommand struct {
	operatorFlags

	ID      string `help:"Show only the edit with this id; exit code 3 if it was refused."`
	Section string `help:"Show only edits of this section."`
}

// Run prints the audit trail.
func (c *auditCommand) Run(ctx context.Context, o console) error {
	if c.ID != "" {
		var v document.EditResult
		if err := c.get(ctx, "/operator/edits/"+url.PathEscape(c.ID), &v); err != nil {
			return err
		}
		return printVerdict(o, c.Output, v)
	}
	var answer struct{ Verdicts []document.EditResult }
	if err := c.get(ctx, "/operator/audit", &answer); err != nil {
		return err
	}
	kept := []document.EditResult{}
	for _, v := range answer.Verdicts {
		if c.Section == "" || string(v.Section) == c.Section {
			kept = append(kept, v)
		}
	}
	answer.Verdicts = kept
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	return printTrail(o, kept)
}

// printTrail prints verdicts as a table.
func printTrail(o console, verdicts []document.EditResult) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tAUTHOR\tSECTION\tFROM\tNOW\tVERDICT\tEDIT\tREASON")
	for _, v := range verdicts {
		at := time.UnixMilli(v.AppendedMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", at, v.Author, v.Section, v.Base, v.Current, outcome(v), v.Edit, v.Reason)
	}
	return w.Flush()
}

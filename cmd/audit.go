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
		var result document.EditResult
		if err := c.get(ctx, "/operator/edits/"+url.PathEscape(c.ID), &result); err != nil {
			return err
		}
		return printEditResult(o, c.Output, result)
	}
	var answer struct{ Verdicts []document.EditResult }
	if err := c.get(ctx, "/operator/audit", &answer); err != nil {
		return err
	}
	selected := []document.EditResult{}
	for _, result := range answer.Verdicts {
		if c.Section == "" || string(result.Section) == c.Section {
			selected = append(selected, result)
		}
	}
	answer.Verdicts = selected
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	return printAuditTrail(o, selected)
}

// printAuditTrail prints edit results as a table.
func printAuditTrail(o console, results []document.EditResult) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tAUTHOR\tSECTION\tFROM\tNOW\tVERDICT\tEDIT\tREASON")
	for _, result := range results {
		at := time.UnixMilli(result.AppendedMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", at, result.Author, result.Section, result.Base, result.Current, outcome(result), result.Edit, result.Reason)
	}
	return w.Flush()
}

package cmd

import (
	"context"
	"fmt"
)

// showCommand shows a configuration section.
type showCommand struct {
	operatorFlags

	Section  string `arg:"" help:"The section: Capacity, Models, Accounts, Routing or Audit."`
	Revision *int64 `help:"Show this older accepted revision, if it is still retained."`
}

// Run prints the section in force or an older one.
func (c *showCommand) Run(ctx context.Context, o console) error {
	answer, err := c.fetchSection(ctx, c.Section, c.Revision)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(o.out, answer)
	}
	_, err = fmt.Fprintf(o.out, "# %s, revision %d\n%s", answer.Section, answer.Revision, answer.Body)
	return err
}

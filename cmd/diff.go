package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
)

// diffCommand compares a file with a configuration section.
type diffCommand struct {
	operatorFlags

	Section  string `arg:"" help:"The section: Capacity, Models, Accounts, Routing or Audit."`
	File     string `arg:"" type:"existingfile" help:"The body to compare (YAML)."`
	Revision *int64 `help:"Compare with this older accepted revision instead of the one in force."`
}

// diffOutput is the JSON output of the command.
type diffOutput struct {
	Section document.Section
	// Revision is the revision that the file was compared with.
	Revision int64
	Same     bool
	Lines    []document.Line
}

// Run prints the changes that publishing the file would make.
func (c *diffCommand) Run(ctx context.Context, o console) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	section, err := c.fetchSection(ctx, c.Section, c.Revision)
	if err != nil {
		return err
	}
	changes := document.Difference(section.Body, string(body))
	if c.Output == "json" {
		return printJSON(o.out, diffOutput{section.Section, section.Revision, changes == nil, changes})
	}
	if changes == nil {
		_, err = fmt.Fprintf(o.out, "%s is the same as revision %d of %s\n", c.File, section.Revision, section.Section)
		return err
	}
	fmt.Fprintf(o.out, "--- %s, revision %d\n+++ %s\n", section.Section, section.Revision, c.File)
	for _, line := range changes {
		fmt.Fprintf(o.out, "%s%s\n", line.Mark, line.Text)
	}
	return nil
}

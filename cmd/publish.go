package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/operator"
)

// publishCommand publishes a section.
type publishCommand struct {
	operatorFlags

	Section string `arg:"" help:"The section: Capacity, Models, Accounts or Routing."`
	File    string `arg:"" type:"existingfile" help:"The new body of the section (YAML)."`
	Base    *int64 `help:"The revision that the new body is built on; by default the one in force."`
	Author  string `help:"Who makes the change; by default the user who runs the command."`
	ID      string `help:"The edit's id; give the id of an edit with unknown outcome to send it again safely."`
}

// Run publishes the section and prints the verdict.
func (c *publishCommand) Run(ctx context.Context, o console) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	edit := document.Edit{ID: c.ID, Section: document.Section(c.Section), Author: c.Author, Body: string(body)}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if edit.Author == "" {
		edit.Author = operatorName()
	}
	if edit.Base, err = c.base(ctx); err != nil {
		return err
	}
	var v document.Verdict
	if err := c.post(ctx, "/operator/edits", edit, &v); err != nil {
		return trace.Wrap(err, "edit %s", edit.ID)
	}
	if c.Output == "json" {
		err = printJSON(o.out, v)
	} else {
		err = printVerdict(o, v)
	}
	if err == nil && !v.Accepted {
		return trace.CompareFailed("edit %s was refused: %s", v.Edit, v.Reason)
	}
	return err
}

// base returns the revision that the edit builds on.
func (c *publishCommand) base(ctx context.Context) (int64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	var answer operator.SectionAnswer
	err := c.get(ctx, "/operator/sections/"+c.Section, &answer)
	return answer.Revision, err
}

func printVerdict(o console, v document.Verdict) error {
	word := "refused"
	if v.Accepted {
		word = "accepted"
	}
	_, err := fmt.Fprintf(o.out, "edit %s of %s: %s, revision %d\n", v.Edit, v.Section, word, v.Current)
	return err
}

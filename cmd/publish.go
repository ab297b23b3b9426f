package cmd

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/operator"
)

// editFlags are the flags of commands that change a section.
type editFlags struct {
	operatorFlags

	Base   *int64 `help:"The revision that the new body is built on; by default the one in force."`
	Author string `help:"Who makes the change; by default the user who runs the command."`
	ID     string `help:"The edit's id; give the id of an edit with unknown outcome to send it again safely."`
}

// publishCommand publishes a section.
type publishCommand struct {
	editFlags

	Section string `arg:"" help:"The section: Capacity, Models, Accounts, Routing or Audit."`
	File    string `arg:"" type:"existingfile" help:"The new body of the section (YAML)."`
}

// Run publishes the section and prints the edit's result.
func (c *publishCommand) Run(ctx context.Context, o console) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return c.publish(ctx, o, document.Section(c.Section), string(body))
}

// rollForwardCommand publishes an older body as a new edit.
type rollForwardCommand struct {
	editFlags

	Section  string `arg:"" help:"The section: Capacity, Models, Accounts, Routing or Audit."`
	Revision int64  `arg:"" help:"The accepted revision whose body is published again."`
}

// Run publishes the body of an older revision as a new revision.
func (c *rollForwardCommand) Run(ctx context.Context, o console) error {
	older, err := c.fetchSection(ctx, c.Section, &c.Revision)
	if err != nil {
		return err
	}
	return c.publish(ctx, o, older.Section, older.Body)
}

// publish publishes a body and prints the edit's result.
func (f editFlags) publish(ctx context.Context, o console, section document.Section, body string) error {
	edit := document.Edit{ID: f.ID, Section: section, Author: f.Author, Body: body}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if edit.Author == "" {
		edit.Author = operatorName()
	}
	var err error
	if edit.Base, err = f.baseRevision(ctx, string(section)); err != nil {
		return err
	}
	var result document.EditResult
	err = f.post(ctx, "/operator/edits", edit, &result)
	if trace.IsConnectionProblem(err) {
		return trace.ConnectionProblem(err, "%s. To query the outcome, run: kumquathoist audit --id %s. To send the edit again safely, add: --id %s --base %d",
			trace.UserMessage(err), edit.ID, edit.ID, edit.Base)
	}
	if err != nil {
		return err
	}
	return printEditResult(o, f.Output, result)
}

// baseRevision returns the revision that the edit is based on.
func (f editFlags) baseRevision(ctx context.Context, section string) (int64, error) {
	if f.Base != nil {
		return *f.Base, nil
	}
	answer, err := f.fetchSection(ctx, section, nil)
	if trace.IsConnectionProblem(err) {
		// Only a read was sent, so the outcome is not unknown.
		return 0, trace.BadParameter("%s", trace.UserMessage(err))
	}
	return answer.Revision, err
}

// fetchSection returns a section in force, or an older revision of it.
func (f operatorFlags) fetchSection(ctx context.Context, section string, revision *int64) (operator.SectionAnswer, error) {
	path := "/operator/sections/" + url.PathEscape(section)
	if revision != nil {
		path += "?Revision=" + strconv.FormatInt(*revision, 10)
	}
	var answer operator.SectionAnswer
	err := f.get(ctx, path, &answer)
	return answer, err
}

// printEditResult prints the result of an edit, and returns an error if the edit
// was refused.
func printEditResult(o console, output string, result document.EditResult) error {
	var err error
	if output == "json" {
		err = printJSON(o.out, result)
	} else {
		_, err = fmt.Fprintf(o.out, "edit %s of %s: %s, revision %d\n", result.Edit, result.Section, outcome(result), result.Current)
	}
	if err == nil && !result.Accepted {
		return trace.CompareFailed("edit %s was refused: %s", result.Edit, result.Reason)
	}
	return err
}

// outcome returns whether an edit was accepted, as text.
func outcome(result document.EditResult) string {
	if result.Accepted {
		return "accepted"
	}
	return "refused"
}

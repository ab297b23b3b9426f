package cmd

import (
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/settings"
)

// checkCommand checks a settings file or a configuration section.
type checkCommand struct {
	File    string `arg:"" type:"existingfile" help:"The file to check."`
	Section string `help:"Check the file as this section of the configuration (Capacity, Models, Accounts, Routing, Audit); without it, as settings."`
}

// Run checks the file.
func (c *checkCommand) Run(o console) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if c.Section == "" {
		_, err = settings.Decode(raw)
	} else {
		_, err = document.Document{}.WithSection(document.Section(c.Section), raw)
	}
	if err != nil {
		// One line for each problem, as compilers print them.
		return trace.BadParameter("%s is invalid:\n%s:%s", c.File, c.File, strings.ReplaceAll(trace.UserMessage(err), "\n", "\n"+c.File+":"))
	}
	_, err = fmt.Fprintf(o.out, "%s: ok\n", c.File)
	return err
}

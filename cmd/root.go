// Package cmd implements the command line of the daemon and of the clients for
// operators and callers.
package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that the command failed and changed nothing.
	exitFailed = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
	// exitRefused means that an edit or a request was refused.
	exitRefused = 3
	// exitUnknown means that the command may have taken effect.
	exitUnknown = 4
)

// root holds the subcommands.
type root struct {
	Run         runCommand         `cmd:"" group:"host" help:"Run the router daemon on this host."`
	Local       localCommand       `cmd:"" group:"host" help:"Run routers and stand-ins in one process, to try the system out."`
	Check       checkCommand       `cmd:"" group:"configuration" help:"Check a settings file or a configuration section without starting or changing anything."`
	Publish     publishCommand     `cmd:"" group:"configuration" help:"Publish a new body of a configuration section."`
	RollForward rollForwardCommand `cmd:"" group:"configuration" help:"Publish the body of an older accepted revision as a new edit."`
	Diff        diffCommand        `cmd:"" group:"configuration" help:"Compare a file with a configuration section in force."`
	Show        showCommand        `cmd:"" group:"configuration" help:"Show a configuration section in force and its revision."`
	Audit       auditCommand       `cmd:"" group:"configuration" help:"Show who changed what and when, and whether it was accepted."`
	Status      statusCommand      `cmd:"" group:"operation" help:"Show hosts and engines as one host sees them."`
	Story       storyCommand       `cmd:"" group:"operation" help:"Explain from the logs of hosts what happened to one request, and why."`
	Drain       drainCommand       `cmd:"" group:"operation" help:"Begin a planned stop of a host."`
	Addresses   addressesCommand   `cmd:"" group:"callers" help:"Ask a host which addresses callers should use."`
	Send        sendCommand        `cmd:"" group:"callers" help:"Send a completion or a call of a plain service, and print the answer."`
}

// console holds the streams that commands write to.
type console struct {
	out, err io.Writer
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var r root
	code := -1
	parser, err := kong.New(&r,
		kong.Name("kumquathoist"),
		kong.Description("A router for language-model traffic with long shared prompts.\n\nExit codes: 0 done; 1 failed, nothing was changed; 2 the command line is invalid; 3 refused; 4 unknown, it may have taken effect."),
		kong.ExplicitGroups([]kong.Group{
			{Key: "host", Title: "Run:"},
			{Key: "configuration", Title: "Change the configuration:"},
			{Key: "operation", Title: "Operate hosts:"},
			{Key: "callers", Title: "Act as a caller:"},
		}),
		kong.Writers(out, errOut),
		kong.Exit(func(c int) { code = c }),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err)
	}
	parsed, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		parser.Errorf("%s", err)
		return exitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run(console{out, errOut})
	if err != nil {
		parser.Errorf("%s", trace.UserMessage(err))
	}
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case trace.IsCompareFailed(err), trace.IsLimitExceeded(err):
		return exitRefused
	case trace.IsConnectionProblem(err):
		return exitUnknown
	}
	return exitFailed
}

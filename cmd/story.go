package cmd

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/diagnosis"
)

// maxLineBytes limits the size of a log line.
const maxLineBytes = 1 << 20

// storyCommand diagnoses one request from the logs of hosts.
type storyCommand struct {
	Request string   `arg:"" help:"The request's id."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files of any hosts; standard input without one."`
	Output  string   `enum:"text,json" default:"text" help:"text or json."`
}

// Help explains the output and where the logs come from.
func (storyCommand) Help() string {
	return "Prints the log lines that mention the request in the order of their times, and the cause that they indicate. The daemon writes its log to standard output."
}

// Run reads the logs and prints the diagnosis.
func (c *storyCommand) Run(o console) error {
	var lines []diagnosis.Line
	read := func(r io.Reader) error {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := diagnosis.Read(scanner.Text(), c.Request); ok {
				lines = append(lines, l)
			}
		}
		return trace.Wrap(scanner.Err(), "reading a log")
	}
	if len(c.Logs) == 0 {
		if err := read(os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		err = read(file)
		file.Close()
		if err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return trace.NotFound("no log line mentions request %s", c.Request)
	}
	result := diagnosis.New(lines)
	if c.Output == "json" {
		return printJSON(o.out, result)
	}
	for _, l := range result.Lines {
		fmt.Fprintln(o.out, l.Text)
	}
	fmt.Fprintln(o.out, "Cause:", result.Cause)
	return nil
}

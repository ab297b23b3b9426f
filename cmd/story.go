package cmd

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/diagnosis"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// storyCommand tells what the logs hold of one request.
type storyCommand struct {
	Request string   `arg:"" help:"The request's id."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files of any hosts; standard input without one."`
	Output  string   `enum:"text,json" default:"text" help:"text or json."`
}

// Help tells where logs come from.
func (storyCommand) Help() string {
	return "Prints the lines that name the request in the order of their times, and the cause that they show. The daemon writes its log to standard output."
}

// Run reads the logs.
func (c *storyCommand) Run(con console) error {
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
		return trace.NotFound("no line names request %s", c.Request)
	}
	told := diagnosis.New(lines)
	if c.Output == "json" {
		return printJSON(con.out, told)
	}
	for _, l := range told.Lines {
		fmt.Fprintln(con.out, l.Text)
	}
	fmt.Fprintln(con.out, "Cause:", told.Cause)
	return nil
}

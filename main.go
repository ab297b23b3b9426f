// Command kumquathoist is the router daemon and the client for operators and
// callers.
package main

import (
	"os"

	"github.com/kumquathoist/kumquathoist/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}

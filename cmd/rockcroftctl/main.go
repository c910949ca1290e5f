// Command rockcroftctl is the command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/rockcroft/rockcroft/ctl"
)

func main() {
	err := ctl.Command(os.Stdout).Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(ctl.ExitCode(err))
}

// Command rockcroftctl is the operators' command line.
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

// Command rockload drives and measures deployments made of stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/rockcroft/rockcroft/bench/rockload"
)

func main() {
	if err := rockload.Command(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Command rockload generates load on deployments with simulated upstreams and platform, and
// measures them.
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

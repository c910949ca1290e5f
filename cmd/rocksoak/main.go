// Command rocksoak runs soak tests: it injects a seeded random sequence of faults into real gateway
// processes.
package main

import (
	"fmt"
	"os"

	"github.com/rockcroft/rockcroft/bench/soak"
	"github.com/rockcroft/rockcroft/process"
)

func main() {
	if err := soak.Command(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitFailure)
	}
}

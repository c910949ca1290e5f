// Command review-standin plays the cases of the review: it starts gateways as separate processes, and
// stands in for the platform's store, the instances and the consumers. See review/REPORT.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// longestRun bounds one run.
const longestRun = 115 * time.Second

func main() {
	cases := map[string]func(dir, folder string, troubled bool) (int, error){"extra": playExtra, "losses": playLosses, "flood": playFlood}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitCouldNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(dir, folder string, troubled bool) (int, error), folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs of the gateways:", dir)
	}
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-asked:
		case <-time.After(longestRun):
			_, _ = fmt.Fprintln(os.Stderr, "the case took too long")
		}
		started.killAll()
		os.Exit(exitCouldNotRun)
	}()
	code, err := play(dir, filepath.Clean(folder), os.Getenv("TROUBLE") != "0")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	return code
}

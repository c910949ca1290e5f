package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{"limits": playLimits, "voters": playVoters, "first": playFirst}

func main() {
	const arguments = 4
	if len(os.Args) != 1+arguments || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCENARIO PROGRAM FOLDER RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3], os.Args[4]))
}

func play(s scenario, program, dir, recordFile string) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec := &record{file: file, began: time.Now()}
	d, err := newDeployment(dir, program, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.stopAll()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		d.stopAll()
		os.Exit(exitFailed)
	}()
	broken, err := s(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.printf("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}

// Command standin plays the cases of the review. It runs the daemons of a small deployment
// as separate processes and stands in for the clients, the engines and the platform, all on
// loopback addresses. Its exit code is 0 if the rule of the case held, 1 if it was broken,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime is when a case is given up. The limit for a script is 120 s.
const maxRunTime = 100 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	// broken holds one line for each time that the rule was broken.
	broken []string
	// summary says what was counted.
	summary string
}

// cases are the cases by name. trouble is false if the disruption is to be left out.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"twice":   twice,
	"hangup":  hangup,
	"leaving": leaving,
	"memory":  memory,
	"poison":  poison,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, where FOLDER gets record.txt")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		return rec.fail(err)
	}
	defer f.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", os.Args[1], trouble)
	type outcome struct {
		verdict
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[os.Args[1]](f, trouble)
		done <- outcome{v, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return rec.fail(o.err)
		}
		return rec.conclude(o.verdict)
	case <-time.After(maxRunTime):
		return rec.fail(fmt.Errorf("the case took more than %s", maxRunTime))
	case s := <-ended:
		return rec.fail(fmt.Errorf("stopped by signal %s", s))
	}
}

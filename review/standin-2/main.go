// Command standin-2 plays the cases of the review: it is the platform, the engines and the clients of a
// few daemons, which it starts and ends.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(f *fleet, trouble bool) []string{
	"stale-list":  staleList,
	"silent-move": silentMove,
	"slow-engine": slowEngine,
	"cut-watches": cutWatches,
}

func main() { os.Exit(play()) }

// play plays the case that the first argument names and writes the record that the second one names.
func play() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD PROGRAM")
		return exitCannotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(folder) }() // it is a temporary folder
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }() // the record is read by people
	program, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	r := &record{file: file, began: time.Now()}
	defer func() {
		if v := recover(); v != nil {
			r.add("the case cannot run: %v", v)
			fmt.Fprintln(os.Stderr, "the case cannot run:", v)
			code = exitCannotRun
		}
	}()
	f := newFleet(folder, program, r)
	defer f.end()
	broken := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	for _, s := range broken {
		r.add("BROKEN: %s", s)
		fmt.Println("BROKEN:", s)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// Error describes the error.
func (c cannotRun) Error() string { return c.err.Error() }

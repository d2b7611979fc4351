package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close() // all is written
}

// fail reports that the case could not run.
func (r *record) fail(err error) int {
	r.add("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitFailed
}

// maxPrinted is the number of breaks of the rule that are printed. All are recorded.
const maxPrinted = 5

// conclude reports the verdict.
func (r *record) conclude(v verdict) int {
	for i, line := range v.broken {
		r.add("BROKEN: %s", line)
		if i < maxPrinted {
			fmt.Println("BROKEN:", line)
		}
	}
	r.add("%s", v.summary)
	fmt.Println(v.summary)
	if len(v.broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(v.broken))
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

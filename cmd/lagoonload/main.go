// Command lagoonload sends streamed completions to a daemon at a set rate and
// reports how they were answered. The load is bounded in rate, number and time.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/lagoonhead/lagoonhead/timer"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usageText = `lagoonload sends streamed completions and reports how they were answered.

Usage: lagoonload -url http://IP:PORT -key KEY -model MODEL [flags]

Requests start at random times with the mean rate given, whatever the answers do, so
that a slow system is not spared. The run ends after -requests or -for, whichever is
first, and waits for open answers.

Exit codes: 0 every request was answered, 1 some were not, 2 wrong arguments.

Flags:
`

// options are the arguments of a run.
type options struct {
	url, key, model string
	rate            float64
	requests        int
	length          time.Duration
	most            int
	promptTokens    int
	maxTokens       int
	priority        string
	seed            uint64
	asJSON          bool
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	o, code, done := parse(args, errOut)
	if done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r := newLoad(o, &timer.Service{}).run(ctx)
	if o.asJSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			fmt.Fprintln(errOut, err)
			return exitFailed
		}
	} else {
		r.print(out)
	}
	if r.Failed > 0 {
		return exitFailed
	}
	return exitDone
}

func parse(args []string, errOut io.Writer) (o options, code int, done bool) {
	f := flag.NewFlagSet("lagoonload", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.Usage = func() {
		fmt.Fprint(errOut, usageText)
		f.PrintDefaults()
	}
	f.StringVar(&o.url, "url", "", "base URL of the daemon")
	f.StringVar(&o.key, "key", "", "key of a workspace")
	f.StringVar(&o.model, "model", "", "model")
	f.Float64Var(&o.rate, "rate", 10, "requests per second")
	f.IntVar(&o.requests, "requests", 100, "number of requests")
	f.DurationVar(&o.length, "for", time.Minute, "longest time in which requests start")
	f.IntVar(&o.most, "open", 500, "most requests open at once; more are counted as skipped")
	f.IntVar(&o.promptTokens, "prompt", 500, "length of the prompt in tokens")
	f.IntVar(&o.maxTokens, "max", 64, "most output tokens")
	f.StringVar(&o.priority, "priority", "", "interactive, normal or deferrable")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the start times and prompts")
	f.BoolVar(&o.asJSON, "json", false, "print JSON")
	switch err := f.Parse(args); {
	case err == flag.ErrHelp: //nolint:errorlint // Parse returns it as it is.
		return o, exitDone, true
	case err != nil:
		return o, exitUsage, true
	}
	if o.url == "" || o.model == "" || o.rate <= 0 || o.requests <= 0 || o.most <= 0 || f.NArg() > 0 {
		f.Usage()
		return o, exitUsage, true
	}
	o.url = strings.TrimRight(o.url, "/")
	return o, exitDone, false
}

// prompt returns a text of about n tokens that begins with its number, so that no
// two prompts share a cached prefix.
func prompt(r *rand.Rand, i, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %d: ", i)
	for b.Len() < n*bytesPerToken {
		fmt.Fprintf(&b, "%x ", r.Uint32())
	}
	return b.String()
}

// bytesPerToken is the estimate that daemons use too.
const bytesPerToken = 4

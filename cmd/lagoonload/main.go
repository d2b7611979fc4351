// Command lagoonload is a load generator. It sends requests for streamed chat
// completions to a daemon at a given mean rate and reports their results and latencies.
// The load is bounded in rate, number and time.
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

// Exit codes of the command.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usageText = `lagoonload sends requests for streamed chat completions and reports their results
and latencies.

Usage: lagoonload -url http://IP:PORT -key KEY -model MODEL [flags]

Requests start at random times with the given mean rate and do not wait for earlier
answers, so a slow system gets the same load. No request starts after -requests or
-for, whichever is reached first; the run ends when all open requests have ended.

Exit codes: 0 no request failed, 1 some failed, 2 wrong arguments.

Flags:
`

// options are the command-line flags.
type options struct {
	url, key, model string
	rate            float64
	requests        int
	duration        time.Duration
	maxOpen         int
	promptTokens    int
	maxTokens       int
	priority        string
	seed            uint64
	asJSON          bool
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run is main with its exit code returned.
func run(args []string, out, errOut io.Writer) int {
	o, code, done := parse(args, errOut)
	if done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r := newLoad(o, &timer.System{}).run(ctx)
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

// parse reads the command line. If done is set, the command exits with code.
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
	f.Float64Var(&o.rate, "rate", 10, "mean number of requests per second")
	f.IntVar(&o.requests, "requests", 100, "maximum number of requests")
	f.DurationVar(&o.duration, "for", time.Minute, "maximum time in which requests start")
	f.IntVar(&o.maxOpen, "open", 500, "maximum number of requests open at once; those above it are not sent and count as skipped")
	f.IntVar(&o.promptTokens, "prompt", 500, "approximate length of each prompt in tokens")
	f.IntVar(&o.maxTokens, "max", 64, "maximum number of output tokens of a request")
	f.StringVar(&o.priority, "priority", "", "priority of the requests: interactive, normal or deferrable; empty leaves it to the daemon")
	f.Uint64Var(&o.seed, "seed", 1, "random seed of the start times and prompts")
	f.BoolVar(&o.asJSON, "json", false, "print the result as JSON")
	switch err := f.Parse(args); {
	case err == flag.ErrHelp: //nolint:errorlint // Parse returns it as it is.
		return o, exitDone, true
	case err != nil:
		return o, exitUsage, true
	}
	if o.url == "" || o.model == "" || o.rate <= 0 || o.requests <= 0 || o.maxOpen <= 0 || f.NArg() > 0 {
		f.Usage()
		return o, exitUsage, true
	}
	o.url = strings.TrimRight(o.url, "/")
	return o, exitDone, false
}

// prompt returns a text of about n tokens. It begins with the number i of the request,
// so that no two prompts share a cached prefix.
func prompt(r *rand.Rand, i, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %d: ", i)
	for b.Len() < n*bytesPerToken {
		fmt.Fprintf(&b, "%x ", r.Uint32())
	}
	return b.String()
}

// bytesPerToken is the mean length of a token, as daemons estimate it too.
const bytesPerToken = 4

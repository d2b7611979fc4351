// Command lagoondemo runs a whole fleet in one process on loopback: three daemons,
// four fake engines, a fake booking service and a fake platform. It shows five things:
// a request is served, a booking sent several times is executed once, a rate limit holds
// across all daemons, an engine is drained, and a stream resumes after its daemon has
// crashed. The fleet then keeps running for requests of your own.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes; usageText describes them.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usageText = `lagoondemo runs a whole fleet in one process on loopback and demonstrates it step by step.

Usage: lagoondemo [-exit]

Exit codes: 0 done, 1 the fleet did not start or a step failed, 2 invalid arguments.

Flags:
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	f := flag.NewFlagSet("lagoondemo", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.Usage = func() {
		fmt.Fprint(errOut, usageText)
		f.PrintDefaults()
	}
	exitAfter := f.Bool("exit", false, "exit after the last step")
	switch err := f.Parse(args); {
	case err == flag.ErrHelp: //nolint:errorlint // Parse returns it as it is.
		return exitDone
	case err != nil || f.NArg() > 0:
		return exitUsage
	}
	started, err := startFleet(ctx)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	defer started.stop()
	if err := show(ctx, started, out); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if *exitAfter {
		return exitDone
	}
	fmt.Fprintf(out, `
The fleet runs on. Send requests to it, or press Ctrl-C to end it:

  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"reader","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hello"}]}'
  go run ./cmd/lagoonctl status -address http://%s
`, started.daemons[1].url(), frontDeskKey, started.daemons[1].operatorAddress)
	<-ctx.Done()
	return exitDone
}

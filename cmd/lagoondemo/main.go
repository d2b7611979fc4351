// Command lagoondemo runs a whole fleet in one process on loopback: three daemons,
// four stand-in engines, a stand-in booking service and a stand-in platform. It shows
// a request served, a booking that runs once, a limit that holds, an engine drained
// and a daemon lost, and then leaves the fleet running for requests of your own.
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

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usageText = `lagoondemo runs a whole fleet in one process on loopback and shows what it does.

Usage: lagoondemo [-exit]

Exit codes: 0 done, 1 a step failed, 2 wrong arguments.

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
	leave := f.Bool("exit", false, "exit after the last step")
	switch err := f.Parse(args); {
	case err == flag.ErrHelp: //nolint:errorlint // Parse returns it as it is.
		return exitDone
	case err != nil || f.NArg() > 0:
		return exitUsage
	}
	l, err := startFleet(ctx)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	defer l.stop()
	if err := show(ctx, l, out); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if *leave {
		return exitDone
	}
	fmt.Fprintf(out, `
The fleet runs on. Send requests to it, or press Ctrl-C to end it:

  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"reader","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hello"}]}'
  go run ./cmd/lagoonctl status -address http://%s
`, l.daemons[1].url(), frontDeskKey, l.daemons[1].operator)
	<-ctx.Done()
	return exitDone
}

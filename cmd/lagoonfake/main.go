// Command lagoonfake runs one of the fakes that the tests and the demo use as a separate
// process: the platform, a model engine or a plain service.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/fakeservice"
	"github.com/lagoonhead/lagoonhead/timer"
)

const usageText = `lagoonhead's stand-ins, for tests and trials.

  lagoonfake platform  the key-value service, ordering, usage and VM list
  lagoonfake engine    a model engine
  lagoonfake service   a plain service

Each prints "listening on ADDRESS" when it is ready. "lagoonfake COMMAND -h" lists
the flags.
`

// exitUsage is the exit code for invalid arguments.
const exitUsage = 2

// shutdownTimeout is how long open requests may take to finish after SIGTERM or an
// interrupt.
const shutdownTimeout = 2 * time.Second

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errOut, usageText)
		return exitUsage
	}
	build := map[string]func(*flag.FlagSet, *string, []string) (http.Handler, error){
		"platform": buildPlatform, "engine": buildEngine, "service": buildService,
	}[args[0]]
	if build == nil {
		fmt.Fprint(errOut, usageText)
		return exitUsage
	}
	f := flag.NewFlagSet("lagoonfake "+args[0], flag.ContinueOnError)
	f.SetOutput(errOut)
	listen := f.String("listen", "127.0.0.1:0", "IP:port to listen on")
	h, err := build(f, listen, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		return exitUsage
	}
	if err := serve(*listen, h, out); err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

// serve prints the address and serves HTTP until SIGTERM or an interrupt.
func serve(listen string, h http.Handler, out io.Writer) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: fakeplatform.HeaderTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	fmt.Fprintln(out, "listening on", l.Addr())
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return s.Close()
	}
	return nil
}

func buildPlatform(f *flag.FlagSet, _ *string, args []string) (http.Handler, error) {
	listLag := f.Duration("list-lag", 0, "delay until the VM list shows a change")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	return fakeplatform.New(&timer.System{}, *listLag).Handler(), nil
}

func buildEngine(f *flag.FlagSet, _ *string, args []string) (http.Handler, error) {
	e := &fakeengine.Engine{Timer: &timer.System{}}
	f.StringVar((*string)(&e.ID), "id", "engine", "endpoint identifier in load reports")
	f.StringVar(&e.Model, "model", "", "model to load, with an optional version after \"@\"; empty accepts requests for every model")
	f.IntVar(&e.Slots, "slots", 8, "maximum number of requests in the batch")
	f.Float64Var(&e.PrefillRate, "prefill", 50000, "prompt tokens prefilled per second by the whole engine")
	f.Float64Var(&e.DecodeRate, "decode", 200, "output tokens decoded per second for each request")
	f.IntVar(&e.CacheBlocks, "cache", 100, "capacity of the prefix cache in blocks; 0 disables it")
	f.DurationVar(&e.LoadReportMaxAge, "load-lag", 200*time.Millisecond, "age at which a load report is renewed")
	f.DurationVar(&e.CacheEventDelay, "cache-lag", 200*time.Millisecond, "delay until a cache event becomes visible")
	f.DurationVar(&e.ChangeDuration, "role-time", 2*time.Second, "how long a change of role or adapter keeps the engine out of service")
	f.BoolVar(&e.Fenced, "fenced", true, "refuse orders with an old sequence number or for another incarnation")
	role := f.String("role", string(lagoonhead.RoleMixed), "role at the start: mixed, prefill or decode")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	e.Role = lagoonhead.Role(*role)
	e.OnCrash = func() { os.Exit(1) }
	return e, nil
}

func buildService(f *flag.FlagSet, _ *string, args []string) (http.Handler, error) {
	s := &fakeservice.Service{Timer: &timer.System{}}
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	return s.Handler(), nil
}

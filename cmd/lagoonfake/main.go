// Command lagoonfake runs one of the stand-ins that the tests and the demo use, as
// a process of its own: the platform, a model engine or a plain service.
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

// exitUsage is the exit code for wrong arguments.
const exitUsage = 2

// shutdownTimeout bounds the time for open requests after a signal.
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
	end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(end); err != nil {
		return s.Close()
	}
	return nil
}

func buildPlatform(f *flag.FlagSet, _ *string, args []string) (http.Handler, error) {
	lag := f.Duration("list-lag", 0, "time after which the VM list shows a change")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	return fakeplatform.New(&timer.Service{}, *lag).Handler(), nil
}

func buildEngine(f *flag.FlagSet, _ *string, args []string) (http.Handler, error) {
	e := &fakeengine.Engine{Timer: &timer.Service{}}
	f.StringVar((*string)(&e.ID), "id", "engine", "endpoint identifier in load reports")
	f.StringVar(&e.Model, "model", "", "model that is loaded; empty accepts every model")
	f.IntVar(&e.Slots, "slots", 8, "requests in the batch")
	f.Float64Var(&e.PrefillRate, "prefill", 50000, "prompt tokens per second")
	f.Float64Var(&e.DecodeRate, "decode", 200, "output tokens per second of each request")
	f.IntVar(&e.CacheBlocks, "cache", 100, "room of the prefix cache in blocks")
	f.DurationVar(&e.LoadLag, "load-lag", 200*time.Millisecond, "age that a load report may reach")
	f.DurationVar(&e.CacheLag, "cache-lag", 200*time.Millisecond, "delay of cache events")
	f.DurationVar(&e.RoleTime, "role-time", 2*time.Second, "time that a role change takes")
	f.BoolVar(&e.Fenced, "fenced", true, "refuse orders with an old sequence number")
	role := f.String("role", string(lagoonhead.RoleMixed), "role at the start: mixed, prefill or decode")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	e.Role = lagoonhead.Role(*role)
	e.OnCrash = func() { os.Exit(1) }
	return e, nil
}

func buildService(f *flag.FlagSet, _ *string, args []string) (http.Handler, error) {
	s := &fakeservice.Service{Timer: &timer.Service{}}
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	return s.Handler(), nil
}

// Command lagoonheadd runs the daemon of one VM, which accepts the requests of callers and
// sends them to model engines and services.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lagoonhead/lagoonhead/daemon"
	"github.com/lagoonhead/lagoonhead/outlog"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usageText = `lagoonheadd runs the daemon of one VM, which accepts the requests of callers and sends
them to model engines and services.

Usage: lagoonheadd -settings FILE [-check]
       lagoonheadd -platform [-log-level LEVEL] [-check]

With -platform the daemon uses the interfaces of the platform that package platform
implements, and reads the settings file whose path the platform sets in the
environment.

SIGTERM drains the daemon: it reports that it is not ready, keeps accepting requests until
the load balancer has noticed that, finishes all requests and exits. SIGHUP makes it check
the settings file and log the result; a running daemon keeps its settings. docs/operators.md
lists the settings.

Exit codes: 0 done, 1 the daemon failed, 2 wrong arguments or settings.

Flags:
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	f := flag.NewFlagSet("lagoonheadd", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.Usage = func() {
		fmt.Fprint(errOut, usageText)
		f.PrintDefaults()
	}
	file := f.String("settings", "", "settings file (YAML)")
	onPlatform := f.Bool("platform", false, "run on the platform, with the settings file that the platform names")
	level := f.String("log-level", "info", "with -platform, minimum `level` of log lines: debug, info, warn or error")
	check := f.Bool("check", false, "check the settings and exit")
	switch err := f.Parse(args); {
	case err == flag.ErrHelp: //nolint:errorlint // Parse returns it as it is.
		return exitDone
	case err != nil:
		return exitUsage
	}
	if (*file == "") != *onPlatform || f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	// A log without a reader must not end a daemon with requests in progress.
	signal.Ignore(syscall.SIGPIPE)
	hangups := catchHangups()
	if *onPlatform {
		return runOnPlatform(*level, *check, hangups, out, errOut)
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if *check {
		fmt.Fprintln(out, "the settings are valid")
		return exitDone
	}
	loadAgain := func() error {
		_, err := settings.Load(*file)
		return err
	}
	return serve(s, hangups, loadAgain, out, errOut)
}

// catchHangups returns the channel that gets SIGHUP. The signal is caught until the process
// exits, because its default action would end a daemon with requests in progress.
func catchHangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// logReloads loads the settings file again on each SIGHUP, which reports that the file has
// changed, and logs the result. A running daemon keeps its settings. It never returns.
func logReloads(hangups <-chan os.Signal, load func() error, log *zap.Logger) {
	for range hangups {
		log.Info("settings read again", zap.Error(load()))
	}
}

// serve runs the daemon with settings from -settings until SIGTERM or an interrupt and
// returns the exit code.
func serve(s settings.Settings, hangups <-chan os.Signal, loadAgain func() error, out, errOut io.Writer) int {
	log, _, closeLog, err := startLog(s.Log.Level, errOut)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go logReloads(hangups, loadAgain, log)
	daemon.Limits(s).BoundRuntime()
	d := &daemon.Daemon{
		Settings: s, Timer: &timer.System{}, Log: log,
		OnStarted: func(address string) { fmt.Fprintln(out, "listening on", address) },
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitDone
}

// startLog starts a goroutine that writes log lines to out. It returns a logger that never
// blocks on out, its sink, and a function that writes the buffered lines and ends the
// goroutine.
func startLog(level string, out io.Writer) (log *zap.Logger, sink *outlog.Sink, closeLog func(), err error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, nil, err
	}
	sink = outlog.New(out)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = sink.Run(ctx) // it never fails
	}()
	return sink.Logger(l), sink, func() {
		cancel()
		<-written
	}, nil
}

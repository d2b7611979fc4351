package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/dispatch"
	"github.com/lagoonhead/lagoonhead/entry"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/timer"
)

// runOnPlatform runs the daemon on the platform of package platform, with the settings file
// that the environment variable platform.SettingsVariable names, and returns the exit code.
func runOnPlatform(level string, check bool, hangups <-chan os.Signal, out, errOut io.Writer) int {
	file := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if check {
		fmt.Fprintln(out, "the settings are valid")
		return exitDone
	}
	log, sink, closeLog, err := startLog(level, out)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	defer closeLog()
	log = log.With(zap.String("vm", string(s.Entry.VM)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	loadAgain := func() error {
		_, err := platform.LoadSettings(file)
		return err
	}
	go logReloads(hangups, loadAgain, log)
	d := &entry.Daemon{Settings: s.Entry, Platform: platformParts(s, log), Timer: &timer.System{}, Log: log, LogVars: sink.Vars()}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitDone
}

// platformParts returns the parts of a daemon that package platform implements.
func platformParts(s platform.Settings, log *zap.Logger) entry.Platform {
	store := platform.NewStore(s.StoreAddress, entry.WatchTimeout)
	store.OnEra = func(former, era int64) {
		log.Info("store era", zap.Int64("era", era), zap.Int64("former", former))
	}
	orders := platform.NewClient(s.OrdersAddress)
	ordersFor := func(t *lease.Tenure) platform.Orders {
		return platform.Orders{Client: orders, Holder: s.Entry.VM, Authority: t.Check}
	}
	return entry.Platform{
		Store: store, Sender: platform.NewSender(),
		ConfigurationKey: platform.ConfigurationKey, EndpointPrefix: platform.EndpointPrefix,
		OperatorPrefix: platform.OperatorPrefix, EvacuationPrefix: platform.EvacuationPrefix,
		DecodeConfiguration: platform.DecodeConfiguration, DecodeRegistration: platform.DecodeRegistration,
		Callers: func(d *dispatch.Dispatcher, c entry.CallerLimits) *http.Server {
			return platform.NewServer(&platform.Ingress{Dispatcher: d, Limits: c, Log: log})
		},
		Refusal: platform.Refusal, Ready: platform.ReadyHandler,
		Usage: func(t *lease.Tenure) lagoonhead.UsageReporter {
			return &platform.UsageReporter{Orders: ordersFor(t), Fence: t.Epoch()}
		},
		Orders: func(t *lease.Tenure) entry.Orderer {
			o := ordersFor(t)
			return &o
		},
	}
}

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

// runOnPlatform runs the daemon with the settings file that the platform names.
func runOnPlatform(level string, check bool, out, errOut io.Writer) int {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if check {
		fmt.Fprintln(out, "the settings are valid")
		return exitDone
	}
	log, sink, end, err := startLog(level, out)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	defer end()
	log = log.With(zap.String("vm", string(s.Entry.VM)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go logReloads(ctx, log)
	d := &entry.Daemon{Settings: s.Entry, Platform: platformParts(s), Timer: &timer.Service{}, Log: log, LogVars: sink.Vars()}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFault
	}
	return exitDone
}

// logReloads reads the settings again when the platform says that they have changed. What
// a running daemon has to know of them does not change, so that a fault is only logged.
func logReloads(ctx context.Context, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			_, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
			log.Info("settings read again", zap.Error(err))
		}
	}
}

// platformParts returns what package platform provides.
func platformParts(s platform.Settings) entry.Platform {
	orders := platform.NewClient(s.OrdersAddress)
	under := func(t *lease.Tenure) platform.Orders {
		return platform.Orders{Client: orders, Holder: s.Entry.VM, Authority: t.Check}
	}
	return entry.Platform{
		Store: platform.NewStore(s.StoreAddress, entry.WatchTime), Sender: platform.NewSender(),
		ConfigurationKey: platform.ConfigurationKey, EndpointPrefix: platform.EndpointPrefix,
		DecodeConfiguration: platform.DecodeConfiguration, DecodeRegistration: platform.DecodeRegistration,
		Callers: func(d *dispatch.Dispatcher, leaving func() bool, bodyLimit func() int64) *http.Server {
			return platform.NewServer(&platform.Ingress{Dispatcher: d, Leaving: leaving, BodyLimit: bodyLimit})
		},
		Ready: platform.ReadyHandler,
		Usage: func(t *lease.Tenure) lagoonhead.UsageReporter {
			return &platform.UsageReporter{Orders: under(t), Fence: t.Epoch()}
		},
		Orders: func(t *lease.Tenure) entry.Orderer {
			o := under(t)
			return &o
		},
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/dispatch"
	"github.com/lagoonhead/lagoonhead/entry"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/timer"
)

// runOnPlatform runs the daemon with the settings file that the platform names.
func runOnPlatform(check bool, out, errOut io.Writer) int {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if check {
		fmt.Fprintln(out, "the settings are valid")
		return exitDone
	}
	log, err := newLogger("info", out)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFault
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	d := &entry.Daemon{Settings: s.Entry, Platform: platformParts(s), Timer: &timer.Service{}, Log: log}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFault
	}
	return exitDone
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

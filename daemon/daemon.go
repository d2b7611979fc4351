package daemon

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/caller"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Daemon is one process of the serving system. Set the exported fields before Run.
type Daemon struct {
	Settings settings.Settings
	Timer    timer.Timer
	Log      *zap.Logger
	// CallerListener is used instead of the listener of the settings when it is not nil.
	CallerListener net.Listener
	// ResumeKey seals the tokens by which streams are resumed. It has 32 bytes and is
	// used instead of the key file of the settings when it is not nil.
	ResumeKey []byte
	// OnStarted is called with the address of the caller listener once it is open. It
	// may be nil.
	OnStarted func(callerAddress string)

	incarnation lagoonhead.Incarnation
	caller      *caller.Server
}

// Run builds the components and runs them until ctx ends, then drains the daemon: it
// fails its readiness probes, keeps accepting connections for Settings.Drain.Delay, and
// waits at most Settings.Drain.InFlightTimeout more for the requests in flight. A background
// task that fails drains the daemon too.
func (d *Daemon) Run(ctx context.Context) error {
	d.incarnation = lagoonhead.Incarnation(string(d.Settings.VM.ID) + "/" + uuid.NewString())
	tracing, err := newTracing(ctx, d.Settings, os.Stderr)
	if err != nil {
		return err
	}
	tasks, err := d.build(tracing)
	if err != nil {
		return err
	}
	// It is opened last, because a start that fails resets the connections in its accept queue.
	l, err := d.callerListener()
	if err != nil {
		return err
	}
	d.caller.Listener = l
	if d.OnStarted != nil {
		d.OnStarted(l.Addr().String())
	}
	return d.run(ctx, tasks, tracing)
}

// task is a background task. It runs until its context ends.
type task func(context.Context) error

func (d *Daemon) run(ctx context.Context, tasks []task, tracing tracing) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	failed := make(chan struct{})
	reportFailure := sync.OnceFunc(func() { close(failed) })
	for _, t := range tasks {
		group.Go(func() error {
			err := t(inner)
			if err != nil && inner.Err() == nil {
				d.Log.Error("a background task failed", zap.Error(err))
				reportFailure()
			}
			return err
		})
	}
	select {
	case <-ctx.Done():
	case <-failed:
	}
	d.drain()
	cancel()
	err := group.Wait()
	end, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer stop()
	return errors.CombineErrors(err, tracing.stop(end))
}

func (d *Daemon) drain() {
	end, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Delay+d.Settings.Drain.InFlightTimeout)
	defer cancel()
	if err := d.caller.Drain(end); err != nil {
		d.Log.Warn("drain ended with requests still running", zap.Error(err))
	}
}

func (d *Daemon) callerListener() (net.Listener, error) {
	if d.CallerListener != nil {
		return d.CallerListener, nil
	}
	return listen(d.Settings.Listen.Caller, nil)
}

package daemon

import (
	"context"
	"crypto/rand"
	"hash/maphash"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/caller"
	"github.com/lagoonhead/lagoonhead/claim"
	"github.com/lagoonhead/lagoonhead/engine"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/place"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/service"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/store"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
	"github.com/lagoonhead/lagoonhead/vmlist"
)

// resumeKeyBytes is the length of the key that seals resume tokens.
const resumeKeyBytes = 32

// Daemon is one process of the system. Set the exported fields before Run.
type Daemon struct {
	Settings settings.Settings
	Timer    timer.Timer
	Log      *zap.Logger
	// CallerListener replaces the listener of the settings when it is not nil.
	CallerListener net.Listener
	// Started is called with the address of the caller listener once it is open. It
	// may be nil.
	Started func(callerAddress string)

	incarnation lagoonhead.Incarnation
	caller      *caller.Server
	vms         *vmPoller
}

// Run builds the parts and runs them until ctx ends, then drains: the daemon turns
// unready, keeps accepting for the drain lag, and finishes all requests.
func (d *Daemon) Run(ctx context.Context) error {
	d.incarnation = lagoonhead.Incarnation(string(d.Settings.VM.ID) + "/" + uuid.NewString())
	tracing, err := newTracing(ctx, d.Settings, os.Stderr)
	if err != nil {
		return err
	}
	l, err := d.callerListener()
	if err != nil {
		return err
	}
	parts, err := d.build(l, tracing)
	if err != nil {
		l.Close()
		return err
	}
	if d.Started != nil {
		d.Started(l.Addr().String())
	}
	return d.run(ctx, parts, tracing)
}

// part runs until its context ends.
type part func(context.Context) error

func (d *Daemon) run(ctx context.Context, parts []part, tracing tracing) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	for _, p := range parts {
		group.Go(func() error { return p(inner) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.drain()
		case <-inner.Done():
		}
		cancel()
		return nil
	})
	err := group.Wait()
	end, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer stop()
	return errors.CombineErrors(err, tracing.stop(end))
}

func (d *Daemon) drain() {
	end, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Lag+d.Settings.Drain.Max)
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

func (d *Daemon) build(l net.Listener, tracing tracing) ([]part, error) {
	s := d.Settings
	kv := &store.Client{Platform: platform.Client{BaseURL: s.Platform.Store}}
	d.vms = &vmPoller{
		lister: &vmlist.Client{Platform: platform.Client{BaseURL: s.Platform.VMs}}, timer: d.Timer,
		changed: func([]lagoonhead.VM, time.Duration) {},
	}
	config := &storeConfig{store: kv, timer: d.Timer}
	placer := &place.Placer{Source: config, Timer: d.Timer, Seed: maphash.String(maphash.MakeSeed(), string(s.VM.ID))}
	poller := &enginePoller{
		querier: &engine.Querier{Timer: d.Timer}, source: config, placer: placer, timer: d.Timer,
		self: s.VM.ID, vms: d.vms.VMs,
	}
	streamer := &engine.Streamer{Timer: d.Timer, IdleLimit: s.Limits.IdleTimeout, OnLoad: placer.Report}
	suspects := &suspect.Table{Timer: d.Timer}
	placer.Suspects = suspects
	budget := new(service.Budget)
	claims := &claim.Keeper{Store: kv, Holder: d.incarnation, Timer: d.Timer, Log: d.Log}
	sealer, err := d.sealer()
	if err != nil {
		return nil, err
	}
	d.caller = &caller.Server{
		Listener: l, Directories: config, Gate: config, Admitter: openAdmitter{}, Placer: placer,
		Engines: streamer, Suspects: suspects, Usage: noUsage{}, Decisions: explain.New(explain.DefaultSize),
		Services: &service.Client{Budget: budget, Suspects: suspects}, Claims: claims, Budget: budget, Relay: &caller.PlainRelay{Sealer: sealer},
		Sealer: sealer, Timer: d.Timer, Log: d.Log, Tracer: tracing.provider.Tracer("lagoonhead/caller"),
		Limits: caller.Limits{BodyBytes: s.Limits.MaxBodyBytes, DrainDelay: s.Drain.Lag},
	}
	return []part{d.vms.Run, config.Run, placer.Run, poller.Run, streamer.Run, claims.Run, d.caller.Run}, nil
}

func (d *Daemon) sealer() (caller.Sealer, error) {
	key, err := d.Settings.Resume.ReadKey()
	if err != nil {
		return nil, err
	}
	if key == nil {
		key = make([]byte, resumeKeyBytes)
		_, _ = rand.Read(key) // it never fails
	}
	return caller.NewSealer(key)
}

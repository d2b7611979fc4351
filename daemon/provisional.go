package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/timer"
)

// storeConfig reads the configuration from the store once a second.
type storeConfig struct {
	store lagoonhead.StoreReader
	timer timer.Timer
	dir   atomic.Pointer[inventory.Directory]
}

func (c *storeConfig) Directory() lagoonhead.Directory {
	if d := c.dir.Load(); d != nil {
		return d
	}
	return nil
}

func (c *storeConfig) Fresh() error { return nil }

func (c *storeConfig) Run(ctx context.Context) error {
	ticks := c.timer.Subscribe(time.Second)
	defer ticks.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
		}
	}
}

func (c *storeConfig) step(ctx context.Context) {
	e, err := c.store.Get(ctx, "config/manifest")
	if err != nil {
		return
	}
	m, err := inventory.DecodeManifest(e.Value)
	if err != nil {
		return
	}
	inv, err := inventory.Join(m, func(hash string) ([]byte, bool) {
		e, err := c.store.Get(ctx, "config/part/"+hash)
		return e.Value, err == nil
	})
	if err != nil {
		return
	}
	c.dir.Store(inventory.Compile(inv, m.Revision))
}

// openAdmitter admits everything.
type openAdmitter struct{}

func (openAdmitter) Admit(context.Context, *lagoonhead.Request) (lagoonhead.Reservation, error) {
	return openAdmitter{}, nil
}

func (openAdmitter) Settle(int64) {}

type noUsage struct{}

func (noUsage) Record(context.Context, lagoonhead.WorkspaceUsage) {}

package daemon

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/ring"
)

// The duties of the fleet. Each has one shard today.
var (
	dutyEngineOrders   = lease.Duty{Kind: "engineOrders"}
	dutyEndpointOrders = lease.Duty{Kind: "endpointOrders"}
	dutyUsage          = lease.Duty{Kind: "usage"}
)

const (
	// candidatesPerDuty is the number of VMs that try for a duty; the others leave it
	// alone, so that the store is not asked by all of them.
	candidatesPerDuty = 3
	// maxGained bounds the tenures that wait to be started.
	maxGained = 16
)

// duties runs what belongs to each duty while this daemon holds it.
type duties struct {
	log *zap.Logger
	// work returns what to run for a duty, or nil.
	work map[lease.Duty]func(*lease.Tenure) part

	gained *ring.Ring[*lease.Tenure]
}

func newDuties(log *zap.Logger, work map[lease.Duty]func(*lease.Tenure) part) *duties {
	return &duties{log: log, work: work, gained: ring.New[*lease.Tenure](maxGained)}
}

// gain takes a new tenure.
func (d *duties) gain(t *lease.Tenure) { d.gained.Push(t) }

// Run starts the work of each tenure and ends it with ctx. The work itself ends
// when the tenure has lapsed.
func (d *duties) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-d.gained.C():
			wait.Go(func() { d.serve(ctx, t) })
		}
	}
}

func (d *duties) serve(ctx context.Context, t *lease.Tenure) {
	work := d.work[t.Duty()]
	if work == nil {
		return
	}
	err := work(t)(ctx)
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindStale) {
		d.log.Error("duty ended with a fault", zap.Stringer("duty", t.Duty()), zap.Error(err))
	}
}

package daemon

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/ring"
)

// The duties of the fleet. Each has a single shard.
var (
	dutyEngineOrders   = lease.Duty{Kind: "engineOrders"}
	dutyEndpointOrders = lease.Duty{Kind: "endpointOrders"}
	dutyUsage          = lease.Duty{Kind: "usage"}
)

const (
	// candidatesPerDuty is the number of VMs that try to acquire a duty. The others do
	// not, which limits the calls to the store.
	candidatesPerDuty = 3
	// maxQueuedTenures bounds the tenures whose tasks wait to be started.
	maxQueuedTenures = 16
)

// duties runs the task of each duty while this daemon holds the duty. A tenure is a period
// in which it does.
type duties struct {
	log *zap.Logger
	// newTask holds, by duty, the function that returns the task of a tenure.
	newTask map[lease.Duty]func(*lease.Tenure) task

	gained *ring.Ring[*lease.Tenure]
}

func newDuties(log *zap.Logger, newTask map[lease.Duty]func(*lease.Tenure) task) *duties {
	return &duties{log: log, newTask: newTask, gained: ring.New[*lease.Tenure](maxQueuedTenures)}
}

// queue passes a new tenure to Run.
func (d *duties) queue(t *lease.Tenure) { d.gained.Push(t) }

// Run runs the task of each tenure until ctx ends. A task itself ends when its tenure has
// lapsed.
func (d *duties) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-d.gained.C():
			wait.Go(func() { d.runTask(ctx, t) })
		}
	}
}

// runTask runs the task of a tenure and logs its error, unless the duty was lost.
func (d *duties) runTask(ctx context.Context, t *lease.Tenure) {
	newTask := d.newTask[t.Duty()]
	if newTask == nil {
		return
	}
	err := newTask(t)(ctx)
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindStale) {
		d.log.Error("duty ended with an error", zap.Stringer("duty", t.Duty()), zap.Error(err))
	}
}

package daemon

import (
	"context"
	"sync/atomic"

	"github.com/lagoonhead/lagoonhead"
)

// classCounter counts the engine requests that wait for a placement or run, and how many
// of them are deferrable. The planner of endpoint orders needs the share.
type classCounter struct {
	lagoonhead.Placer

	all, deferrable atomic.Int64
}

// classCounts holds the counts of one daemon.
type classCounts struct{ all, deferrable int }

func (c *classCounter) counts() classCounts {
	return classCounts{all: int(c.all.Load()), deferrable: int(c.deferrable.Load())}
}

// Place places the request and counts it until the placement is done.
func (c *classCounter) Place(ctx context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	deferrable := r.Priority() == lagoonhead.PriorityDeferrable
	c.add(deferrable, 1)
	p, err := c.Placer.Place(ctx, r, avoid)
	if err != nil {
		c.add(deferrable, -1)
		return nil, err
	}
	if p.Endpoint().Kind() != lagoonhead.EndpointKindEngine {
		c.add(deferrable, -1)
		return p, nil
	}
	return &countedPlacement{Placement: p, counter: c, deferrable: deferrable}, nil
}

func (c *classCounter) add(deferrable bool, n int64) {
	c.all.Add(n)
	if deferrable {
		c.deferrable.Add(n)
	}
}

// countedPlacement removes its request from the counts when it is done.
type countedPlacement struct {
	lagoonhead.Placement
	counter    *classCounter
	deferrable bool
}

// Done ends the placement and removes its request from the counts.
func (p *countedPlacement) Done(o lagoonhead.Outcome) {
	p.counter.add(p.deferrable, -1)
	p.Placement.Done(o)
}

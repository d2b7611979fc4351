package place

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
)

// Queue orders the requests that need an endpoint. Every request passes through it,
// also when it need not wait, so that fair queueing accounts for all requests. It is
// not safe for concurrent use.
type Queue struct {
	order   fair.Policy
	entries *fair.Queue[*lagoonhead.Request]
	handles map[*lagoonhead.Request]queued
}

// queued is a request in the queue.
type queued struct {
	handle fair.Handle
	weight float64
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(order fair.Policy, limit int) *Queue {
	return &Queue{
		order: order, entries: fair.New[*lagoonhead.Request](order, limit),
		handles: make(map[*lagoonhead.Request]queued),
	}
}

// Push adds a request of a workspace with the given weight, which must be
// positive. It returns false when the queue is full.
func (q *Queue) Push(r *lagoonhead.Request, weight float64) bool {
	deadline := r.Deadline()
	if q.order == fair.FirstComeFirstServed {
		deadline = 0
	}
	return q.put(r, r.Priority(), weight, deadline)
}

// put adds the request with the given priority and deadline, which may differ from those
// of the request.
func (q *Queue) put(r *lagoonhead.Request, p lagoonhead.Priority, weight float64, deadline time.Duration) bool {
	h, ok := q.entries.Push(fair.Entry{
		Workspace: r.Workspace(), Priority: p, Cost: max(r.Charge(), 1), Weight: weight, Deadline: deadline,
	}, r)
	if ok {
		q.handles[r] = queued{h, weight}
	}
	return ok
}

// Pop removes and returns the first request in order for which fits returns true, or
// nil if there is none. fits may have side effects when it returns true; it is not
// called again after that. Requests whose deadline has passed are served after those
// that can still be answered in time.
func (q *Queue) Pop(now time.Duration, fits func(*lagoonhead.Request) bool) *lagoonhead.Request {
	for {
		r, late := q.entries.Expired(now)
		if !late {
			break
		}
		q.put(r, lagoonhead.PriorityDeferrable, q.handles[r].weight, 0)
	}
	r, ok := q.entries.Pop(func(_ fair.Entry, r *lagoonhead.Request) bool { return fits(r) })
	if !ok {
		return nil
	}
	delete(q.handles, r)
	return r
}

// Remove removes a request that is no longer waiting.
func (q *Queue) Remove(r *lagoonhead.Request) {
	q.entries.Remove(q.handles[r].handle)
	delete(q.handles, r)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.entries.Len() }

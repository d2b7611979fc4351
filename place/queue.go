package place

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
)

// Queue orders the requests that want an endpoint. Each request passes through it,
// so that it counts all work that is served. It is not safe for concurrent use.
type Queue struct {
	order   fair.Policy
	entries *fair.Queue[*lagoonhead.Request]
	handles map[*lagoonhead.Request]waiting
}

type waiting struct {
	handle fair.Handle
	weight float64
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(order fair.Policy, limit int) *Queue {
	return &Queue{
		order: order, entries: fair.New[*lagoonhead.Request](order, limit),
		handles: make(map[*lagoonhead.Request]waiting),
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

func (q *Queue) put(r *lagoonhead.Request, p lagoonhead.Priority, weight float64, deadline time.Duration) bool {
	h, ok := q.entries.Push(fair.Entry{
		Workspace: r.Workspace(), Priority: p, Cost: max(r.Charge(), 1), Weight: weight, Deadline: deadline,
	}, r)
	if ok {
		q.handles[r] = waiting{h, weight}
	}
	return ok
}

// Take removes and returns the first request in order that fits, or nil. fits may
// have side effects when it returns true; it is then not called again. Requests
// whose deadline has passed go behind those that can still be answered in time.
func (q *Queue) Take(now time.Duration, fits func(*lagoonhead.Request) bool) *lagoonhead.Request {
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

// Remove drops a request that waits no longer.
func (q *Queue) Remove(r *lagoonhead.Request) {
	q.entries.Remove(q.handles[r].handle)
	delete(q.handles, r)
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.entries.Len() }

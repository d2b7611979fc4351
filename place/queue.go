package place

import (
	"container/list"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Queue orders the requests that want an endpoint. Each request passes through
// it, so that it sees all work that is served. It need not be safe for concurrent
// use.
type Queue interface {
	// Push adds a request that is not in the queue.
	Push(now time.Duration, r *lagoonhead.Request)
	// Take removes the first request in order that fits and returns it, or nil. fits
	// has side effects when it returns true and is then not called again.
	Take(now time.Duration, fits func(*lagoonhead.Request) bool) *lagoonhead.Request
	// Remove drops a request that waits no longer.
	Remove(r *lagoonhead.Request)
	// Len returns the number of requests that wait.
	Len() int
}

// misfits is how many requests of one class a Take tries. Requests of one class
// mostly fail for the same reason, a lack of room.
const misfits = 64

// firstCome serves each priority class in order of arrival.
type firstCome struct {
	classes [lagoonhead.PriorityDeferrable + 1]list.List
	entries map[*lagoonhead.Request]*list.Element
}

// NewFirstCome returns a queue that serves more urgent classes first and each
// class in order of arrival.
func NewFirstCome() Queue {
	return &firstCome{entries: make(map[*lagoonhead.Request]*list.Element)}
}

func (q *firstCome) class(r *lagoonhead.Request) *list.List {
	return &q.classes[min(r.Priority(), lagoonhead.PriorityDeferrable)]
}

// Push adds a request.
func (q *firstCome) Push(_ time.Duration, r *lagoonhead.Request) {
	q.entries[r] = q.class(r).PushBack(r)
}

// Take removes the first request that fits.
func (q *firstCome) Take(_ time.Duration, fits func(*lagoonhead.Request) bool) *lagoonhead.Request {
	for i := range q.classes {
		left := misfits
		for e := q.classes[i].Front(); e != nil && left > 0; e = e.Next() {
			r := e.Value.(*lagoonhead.Request)
			if fits(r) {
				q.Remove(r)
				return r
			}
			left--
		}
	}
	return nil
}

// Remove drops a request.
func (q *firstCome) Remove(r *lagoonhead.Request) {
	if e, ok := q.entries[r]; ok {
		q.class(r).Remove(e)
		delete(q.entries, r)
	}
}

// Len returns the number of requests that wait.
func (q *firstCome) Len() int { return len(q.entries) }

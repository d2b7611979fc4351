package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events until their time in the simulation. The zero value is an empty queue.
type Queue struct {
	events events
	number int // of the last event
}

// Add adds an event that calls run at a time.
func (q *Queue) Add(at time.Duration, run func()) {
	q.number++
	heap.Push(&q.events, event{at, q.number, run})
}

// Pop removes the first event, unless it is later than end, and returns its time and its
// function. Events of the same time come in the order in which they were added. ok is false if
// there is none.
func (q *Queue) Pop(end time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

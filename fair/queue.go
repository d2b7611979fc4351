package fair

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Policy selects the order of service.
type Policy uint8

const (
	// VirtualCounters is the fair order described in the package documentation.
	VirtualCounters Policy = iota
	// FirstComeFirstServed is the baseline for comparisons: order of arrival, regardless of workspace
	// and priority.
	FirstComeFirstServed
)

// Handle identifies a waiting entry. Its zero value identifies none.
type Handle struct {
	index  int32
	number uint64
}

// Entry describes a request that waits.
type Entry struct {
	Workspace lagoonhead.WorkspaceID
	Priority  lagoonhead.Priority
	// Cost is the amount of service that the entry needs, in tokens.
	Cost int64
	// Weight is the relative share of the workspace, for example its rate in tokens per
	// second. It must be positive.
	Weight float64
	// Deadline is the time since boot from which on Expired returns the entry; 0 means
	// never.
	Deadline time.Duration
}

// none is the null value of indices and heap positions.
const none = int32(-1)

// Pop serves entries of tierDeferrable only if it can serve none of tierRegular. Within a
// tier, each flow has one list of entries, called a class, for each priority.
const (
	tierRegular    = 0
	tierDeferrable = 1
	tierCount      = 2
	classCount     = 3
)

type node[T any] struct {
	entry            Entry
	value            T
	number           uint64 // 0 while the node is unused
	flow             int32  // in Queue.flows
	prev             int32  // in the list of the flow's class
	next             int32  // in the list of the flow's class
	deadlinePosition int32  // in Queue.deadlines
	arrivalPosition  int32  // in Queue.arrivals
}

// list is a doubly linked list of nodes, given by their indices.
type list struct{ head, tail int32 }

// flow is the queue of one workspace.
type flow struct {
	workspace lagoonhead.WorkspaceID
	served    float64 // virtual counter: tokens served, divided by the weight
	classes   [classCount]list
	waiting   int
	position  [tierCount]int32 // in Queue.tiers
}

// Queue is a bounded fair queue of values of type T. It is not safe for
// concurrent use.
type Queue[T any] struct {
	policy      Policy
	limit       int
	nodes       []node[T]
	freeNodes   []int32
	flows       []flow
	freeFlows   []int32 // flows without a workspace
	byWorkspace map[lagoonhead.WorkspaceID]int32
	tiers       [tierCount]heap // flows with entries in the tier, by served
	deadlines   heap            // nodes with a deadline, by deadline
	arrivals    heap            // all nodes by arrival, for FirstComeFirstServed
	skipped     []int32         // scratch space of pick
	number      uint64          // of the last pushed node
	length      int
	level       float64 // largest counter of a flow at the time it was served
}

// New returns a queue that holds at most limit entries. It panics when limit is
// not positive.
func New[T any](p Policy, limit int) *Queue[T] {
	if limit <= 0 {
		panic("fair: limit must be positive")
	}
	q := &Queue[T]{policy: p, limit: limit, byWorkspace: make(map[lagoonhead.WorkspaceID]int32)}
	for t := range q.tiers {
		q.tiers[t] = heap{
			less:   func(a, b int32) bool { return q.flowLess(a, b) },
			onMove: func(i, pos int32) { q.flows[i].position[t] = pos },
		}
	}
	q.deadlines = heap{
		less:   func(a, b int32) bool { return q.deadlineLess(a, b) },
		onMove: func(i, pos int32) { q.nodes[i].deadlinePosition = pos },
	}
	q.arrivals = heap{
		less:   func(a, b int32) bool { return q.nodes[a].number < q.nodes[b].number },
		onMove: func(i, pos int32) { q.nodes[i].arrivalPosition = pos },
	}
	return q
}

func (q *Queue[T]) flowLess(a, b int32) bool {
	x, y := &q.flows[a], &q.flows[b]
	if x.served != y.served {
		return x.served < y.served
	}
	return x.workspace < y.workspace
}

func (q *Queue[T]) deadlineLess(a, b int32) bool {
	x, y := &q.nodes[a], &q.nodes[b]
	if x.entry.Deadline != y.entry.Deadline {
		return x.entry.Deadline < y.entry.Deadline
	}
	return x.number < y.number
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting entries of a workspace.
func (q *Queue[T]) Waiting(w lagoonhead.WorkspaceID) int {
	if f, ok := q.byWorkspace[w]; ok {
		return q.flows[f].waiting
	}
	return 0
}

func tierOf(p lagoonhead.Priority) int {
	if p >= lagoonhead.PriorityDeferrable {
		return tierDeferrable
	}
	return tierRegular
}

func classOf(p lagoonhead.Priority) int { return min(int(p), classCount-1) }

// Push adds a value. ok is false when the queue is full.
func (q *Queue[T]) Push(e Entry, v T) (h Handle, ok bool) {
	if q.length >= q.limit {
		return Handle{}, false
	}
	f := q.flowOf(e.Workspace)
	i := q.newNode()
	q.number++
	q.nodes[i] = node[T]{entry: e, value: v, number: q.number, flow: f, prev: none, next: none, deadlinePosition: none, arrivalPosition: none}
	q.length++
	q.append(f, classOf(e.Priority), i)
	if e.Deadline > 0 {
		q.deadlines.push(i)
	}
	if q.policy == FirstComeFirstServed {
		q.arrivals.push(i)
	}
	return Handle{i, q.number}, true
}

func (q *Queue[T]) newNode() int32 {
	if n := len(q.freeNodes); n > 0 {
		i := q.freeNodes[n-1]
		q.freeNodes = q.freeNodes[:n-1]
		return i
	}
	q.nodes = append(q.nodes, node[T]{})
	return int32(len(q.nodes) - 1)
}

// flowOf returns the flow of a workspace. The counter of a workspace without waiting
// entries is raised to the lowest counter of those that have some, if it is lower.
func (q *Queue[T]) flowOf(w lagoonhead.WorkspaceID) int32 {
	f, ok := q.byWorkspace[w]
	if !ok {
		f = q.newFlow(w)
	}
	fl := &q.flows[f]
	if fl.waiting == 0 {
		fl.served = max(fl.served, q.minServed())
	}
	return f
}

func (q *Queue[T]) newFlow(w lagoonhead.WorkspaceID) int32 {
	var f int32
	if n := len(q.freeFlows); n > 0 {
		f = q.freeFlows[n-1]
		q.freeFlows = q.freeFlows[:n-1]
	} else {
		q.flows = append(q.flows, flow{})
		f = int32(len(q.flows) - 1)
	}
	empty := list{none, none}
	q.flows[f] = flow{workspace: w, classes: [classCount]list{empty, empty, empty}, position: [tierCount]int32{none, none}}
	q.byWorkspace[w] = f
	return f
}

// minServed returns the smallest counter among the flows with waiting entries, or level
// when there are none.
func (q *Queue[T]) minServed() float64 {
	low, found := 0.0, false
	for t := range q.tiers {
		if q.tiers[t].len() == 0 {
			continue
		}
		if s := q.flows[q.tiers[t].top()].served; !found || s < low {
			low, found = s, true
		}
	}
	if !found {
		return q.level
	}
	return low
}

func (q *Queue[T]) append(f int32, class int, i int32) {
	fl := &q.flows[f]
	fl.waiting++
	l := &fl.classes[class]
	if l.tail == none {
		l.head, l.tail = i, i
	} else {
		q.nodes[l.tail].next, q.nodes[i].prev = i, l.tail
		l.tail = i
	}
	if t := tierOf(lagoonhead.Priority(class)); fl.position[t] == none {
		q.tiers[t].push(f)
	}
}

// Pop removes and returns the next value for which accept returns true. Nil accepts
// every value. accept is called at most once for each workspace and tier, where
// deferrable requests form one tier and all others the other, with the next entry
// of the workspace in that tier. If that entry is rejected, the later entries of the
// workspace in the same tier have to wait, too. With FirstComeFirstServed, accept is
// called only for the oldest entry.
func (q *Queue[T]) Pop(accept func(e Entry, v T) bool) (v T, ok bool) {
	if q.policy == FirstComeFirstServed {
		return q.popOldest(accept)
	}
	for t := range q.tiers {
		if i := q.pick(t, accept); i != none {
			return q.serve(i), true
		}
	}
	return v, false
}

// pick returns the accepted entry of tier t whose flow has the smallest counter, or none.
func (q *Queue[T]) pick(t int, accept func(Entry, T) bool) int32 {
	found := none
	h := &q.tiers[t]
	q.skipped = q.skipped[:0]
	for h.len() > 0 {
		f := h.top()
		i := q.headOf(f, t)
		if accept == nil || accept(q.nodes[i].entry, q.nodes[i].value) {
			found = i
			break
		}
		h.remove(0)
		q.skipped = append(q.skipped, f)
	}
	for _, f := range q.skipped {
		h.push(f)
	}
	return found
}

// headOf returns the next entry of a flow in a tier, or none.
func (q *Queue[T]) headOf(f int32, t int) int32 {
	fl := &q.flows[f]
	for c := range fl.classes {
		if tierOf(lagoonhead.Priority(c)) == t && fl.classes[c].head != none {
			return fl.classes[c].head
		}
	}
	return none
}

// popOldest serves the oldest entry. If it is rejected, all others wait, as in a plain
// queue.
func (q *Queue[T]) popOldest(accept func(Entry, T) bool) (v T, ok bool) {
	if q.arrivals.len() == 0 {
		return v, false
	}
	i := q.arrivals.top()
	if accept != nil && !accept(q.nodes[i].entry, q.nodes[i].value) {
		return v, false
	}
	return q.serve(i), true
}

func (q *Queue[T]) serve(i int32) T {
	e := q.nodes[i].entry
	f := q.nodes[i].flow
	q.level = max(q.level, q.flows[f].served)
	q.Charge(e.Workspace, e.Cost, e.Weight)
	return q.remove(i)
}

// Charge adds service to the counter of a workspace. Pop already charges the cost of the
// entry; a negative cost corrects it when the actual service was smaller.
func (q *Queue[T]) Charge(w lagoonhead.WorkspaceID, cost int64, weight float64) {
	f, ok := q.byWorkspace[w]
	if !ok {
		return
	}
	fl := &q.flows[f]
	fl.served += float64(cost) / weight
	for t := range q.tiers {
		if fl.position[t] != none {
			q.tiers[t].fix(fl.position[t])
		}
	}
}

// Remove removes a waiting entry. ok is false when it no longer waits.
func (q *Queue[T]) Remove(h Handle) (v T, ok bool) {
	if h.number == 0 || int(h.index) >= len(q.nodes) || q.nodes[h.index].number != h.number {
		return v, false
	}
	return q.remove(h.index), true
}

// Expired removes and returns the entry with the earliest deadline if that is not after
// now.
func (q *Queue[T]) Expired(now time.Duration) (v T, ok bool) {
	if q.deadlines.len() == 0 || q.nodes[q.deadlines.top()].entry.Deadline > now {
		return v, false
	}
	return q.remove(q.deadlines.top()), true
}

func (q *Queue[T]) remove(i int32) T {
	n := &q.nodes[i]
	v := n.value
	q.unlink(i)
	if n.deadlinePosition != none {
		q.deadlines.remove(n.deadlinePosition)
	}
	if n.arrivalPosition != none {
		q.arrivals.remove(n.arrivalPosition)
	}
	*n = node[T]{}
	q.freeNodes = append(q.freeNodes, i)
	q.length--
	return v
}

func (q *Queue[T]) unlink(i int32) {
	n := &q.nodes[i]
	fl := &q.flows[n.flow]
	class := classOf(n.entry.Priority)
	l := &fl.classes[class]
	if n.prev == none {
		l.head = n.next
	} else {
		q.nodes[n.prev].next = n.next
	}
	if n.next == none {
		l.tail = n.prev
	} else {
		q.nodes[n.next].prev = n.prev
	}
	fl.waiting--
	if t := tierOf(n.entry.Priority); q.headOf(n.flow, t) == none {
		q.tiers[t].remove(fl.position[t])
	}
}

// Forget drops the counter of a workspace if it has no waiting entries.
func (q *Queue[T]) Forget(w lagoonhead.WorkspaceID) {
	f, ok := q.byWorkspace[w]
	if !ok || q.flows[f].waiting > 0 {
		return
	}
	delete(q.byWorkspace, w)
	q.freeFlows = append(q.freeFlows, f)
}

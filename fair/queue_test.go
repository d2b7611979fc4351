package fair

import (
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model is a reference implementation of the queue that searches a plain list.
type model struct {
	waiting []modelEntry
	served  map[lagoonhead.WorkspaceID]float64
	level   float64
}

type modelEntry struct {
	Entry
	number int
	handle Handle
}

func (m *model) push(e modelEntry) {
	has := func(w lagoonhead.WorkspaceID) bool {
		return slices.ContainsFunc(m.waiting, func(x modelEntry) bool { return x.Workspace == w })
	}
	if !has(e.Workspace) {
		low := m.level
		for i, x := range m.waiting {
			if s := m.served[x.Workspace]; i == 0 || s < low {
				low = s
			}
		}
		m.served[e.Workspace] = max(m.served[e.Workspace], low)
	}
	m.waiting = append(m.waiting, e)
}

// before reports whether x is served before y.
func (m *model) before(x, y modelEntry) bool {
	if a, b := tierOf(x.Priority), tierOf(y.Priority); a != b {
		return a < b
	}
	if x.Workspace != y.Workspace {
		a, b := m.served[x.Workspace], m.served[y.Workspace]
		return a < b || a == b && x.Workspace < y.Workspace
	}
	if x.Priority != y.Priority {
		return x.Priority < y.Priority
	}
	return x.number < y.number
}

// pop removes the next entry and returns its number, or -1. Entries of the workspace
// blocked cannot be served.
func (m *model) pop(blocked lagoonhead.WorkspaceID) int {
	best := -1
	for i, x := range m.waiting {
		if x.Workspace != blocked && (best < 0 || m.before(x, m.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	x := m.waiting[best]
	m.level = max(m.level, m.served[x.Workspace])
	m.served[x.Workspace] += float64(x.Cost) / x.Weight
	m.waiting = slices.Delete(m.waiting, best, best+1)
	return x.number
}

func (m *model) expired(now time.Duration) int {
	best := -1
	for i, x := range m.waiting {
		if x.Deadline > 0 && x.Deadline <= now && (best < 0 || x.Deadline < m.waiting[best].Deadline) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	n := m.waiting[best].number
	m.waiting = slices.Delete(m.waiting, best, best+1)
	return n
}

// Guards against an order, a deadline or a removal that differs from the reference model,
// and against lost or duplicated entries.
func TestQueueIsLikeAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](VirtualCounters, 20)
		m := &model{served: map[lagoonhead.WorkspaceID]float64{}}
		number, now := 0, time.Duration(0)
		orNone := func(n int, ok bool) int {
			if !ok {
				return -1
			}
			return n
		}
		workspace := rapid.SampledFrom([]lagoonhead.WorkspaceID{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				number++
				e := Entry{
					Workspace: workspace.Draw(t, "workspace"),
					Priority:  lagoonhead.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Cost:      int64(rapid.IntRange(0, 5).Draw(t, "cost")), Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")),
					Deadline: time.Duration(rapid.IntRange(0, 50).Draw(t, "deadline")),
				}
				h, ok := q.Push(e, number)
				require.Equal(t, len(m.waiting) < 20, ok)
				if ok {
					m.push(modelEntry{e, number, h})
				}
			},
			"pop": func(t *rapid.T) {
				blocked := workspace.Draw(t, "blocked")
				require.Equal(t, m.pop(blocked), orNone(q.Pop(func(e Entry, _ int) bool { return e.Workspace != blocked })))
			},
			"popAny": func(t *rapid.T) { require.Equal(t, m.pop(""), orNone(q.Pop(nil))) },
			"remove": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "entry")
				x := m.waiting[i]
				m.waiting = slices.Delete(m.waiting, i, i+1)
				require.Equal(t, x.number, orNone(q.Remove(x.handle)))
				require.Equal(t, -1, orNone(q.Remove(x.handle)))
			},
			"expire": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 5).Draw(t, "wait"))
				n, ok := q.Expired(now)
				if want := m.expired(now); want < 0 {
					require.False(t, ok)
				} else {
					require.Equal(t, want, n)
				}
			},
			"": func(t *rapid.T) { require.Equal(t, len(m.waiting), q.Len()) },
		})
	})
}

// Guards against a workspace that delays another by sending many times its rate,
// or by marking all its requests as interactive.
func TestHotWorkspaceDelaysOnlyItself(t *testing.T) {
	q := New[int](VirtualCounters, 2000)
	for range 1000 {
		q.Push(Entry{Workspace: "hot", Priority: lagoonhead.PriorityInteractive, Cost: 100, Weight: 1}, 0)
	}
	for range 10 {
		q.Pop(nil)
	}
	for range 5 {
		q.Push(Entry{Workspace: "calm", Priority: lagoonhead.PriorityNormal, Cost: 100, Weight: 1}, 1)
	}
	calm := 0
	for range 11 {
		v, _ := q.Pop(nil)
		calm += v
	}
	require.Equal(t, 5, calm)
}

// Guards against service that is not proportional to the weights while all workspaces
// have waiting entries.
func TestServiceFollowsWeights(t *testing.T) {
	q := New[lagoonhead.WorkspaceID](VirtualCounters, 10_000)
	weights := map[lagoonhead.WorkspaceID]float64{"a": 1, "b": 2, "c": 5}
	for w, f := range weights {
		for range 2000 {
			q.Push(Entry{Workspace: w, Cost: 10, Weight: f}, w)
		}
	}
	got := map[lagoonhead.WorkspaceID]int{}
	for range 1600 {
		w, _ := q.Pop(nil)
		got[w]++
	}
	for w, f := range weights {
		require.InDelta(t, 200*f, got[w], 2, w)
	}
}

// Guards against deferrable requests that are served before others, or that are not
// served when no others wait.
func TestDeferrableRunsInGaps(t *testing.T) {
	q := New[string](VirtualCounters, 10)
	q.Push(Entry{Workspace: "a", Priority: lagoonhead.PriorityDeferrable, Cost: 1, Weight: 1}, "deferrable")
	q.Push(Entry{Workspace: "b", Priority: lagoonhead.PriorityNormal, Cost: 1e6, Weight: 1}, "normal")
	q.Push(Entry{Workspace: "b", Priority: lagoonhead.PriorityInteractive, Cost: 1e6, Weight: 1}, "interactive")
	for _, want := range []string{"interactive", "normal", "deferrable"} {
		v, ok := q.Pop(nil)
		require.True(t, ok)
		require.Equal(t, want, v)
	}
}

// Guards against a FirstComeFirstServed queue that orders by anything but arrival.
func TestFirstComeFirstServed(t *testing.T) {
	q := New[int](FirstComeFirstServed, 10)
	for i := range 6 {
		q.Push(Entry{Workspace: lagoonhead.WorkspaceID(strconv.Itoa(i % 2)), Priority: lagoonhead.Priority(2 - i%3), Cost: 1, Weight: 1}, i)
	}
	for i := range 6 {
		v, _ := q.Pop(nil)
		require.Equal(t, i, v)
	}
}

// Guards against memory allocation by Push and Pop in steady state.
func TestNoAllocation(t *testing.T) {
	for _, p := range []Policy{VirtualCounters, FirstComeFirstServed} {
		q := New[int](p, 1000)
		i := 0
		pushAndPop := func() {
			i++
			e := Entry{Workspace: testWorkspaces[i%len(testWorkspaces)], Priority: lagoonhead.Priority(i % 3), Cost: 5, Weight: 1, Deadline: time.Duration(i)}
			q.Push(e, i)
			if q.Len() > 50 {
				q.Pop(nil)
			}
		}
		for range 1000 {
			pushAndPop()
		}
		require.Zero(t, testing.AllocsPerRun(1000, pushAndPop))
	}
}

var testWorkspaces = []lagoonhead.WorkspaceID{"a", "b", "c", "d", "e"}

// BenchmarkPushPop measures one push and one pop with 500 entries of 5 workspaces
// waiting.
func BenchmarkPushPop(b *testing.B) {
	q := New[int](VirtualCounters, 1000)
	push := func(i int) {
		q.Push(Entry{Workspace: testWorkspaces[i%len(testWorkspaces)], Priority: lagoonhead.Priority(i % 3), Cost: 5, Weight: 1, Deadline: time.Duration(i)}, i)
	}
	for i := range 500 {
		push(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		push(i)
		q.Pop(nil)
	}
}

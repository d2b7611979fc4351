package place

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/timer"
)

// directory is a configuration with the model m and the service loans.
type directory struct {
	revision int64
	engines  []lagoonhead.Endpoint
	services []lagoonhead.Endpoint
	ceiling  float64
}

func (d *directory) Revision() int64                                     { return d.revision }
func (d *directory) Authenticate(string) (lagoonhead.WorkspaceID, error) { return "", nil }
func (d *directory) Models() []string                                    { return []string{"m"} }
func (d *directory) Quota(lagoonhead.WorkspaceID) (lagoonhead.Quota, bool) {
	return lagoonhead.Quota{}, false
}
func (d *directory) ServiceRoute(_, _, _ string) (lagoonhead.Route, bool) {
	return lagoonhead.Route{}, false
}
func (d *directory) Rule(lagoonhead.WorkspaceID, string) lagoonhead.WorkRule {
	return lagoonhead.WorkRule{CostCeiling: d.ceiling}
}

func (d *directory) TokenRates(lagoonhead.EndpointID) (prefill, decode float64) { return 5000, 0 }

func (d *directory) Endpoints(k lagoonhead.EndpointKind, serves string) []lagoonhead.Endpoint {
	switch {
	case k == lagoonhead.EndpointKindEngine && serves == "m":
		return d.engines
	case k == lagoonhead.EndpointKindService && serves == "loans":
		return d.services
	}
	return nil
}

type source struct {
	mu sync.Mutex
	d  *directory
}

func (s *source) Directory() lagoonhead.Directory {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.d == nil {
		return nil
	}
	return s.d
}

func (s *source) set(engines ...lagoonhead.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(1)
	if s.d != nil {
		n = s.d.revision + 1
	}
	loan := lagoonhead.NewEndpoint("loan", lagoonhead.EndpointKindService, "loans", "http://x", "a")
	s.d = &directory{revision: n, engines: engines, services: []lagoonhead.Endpoint{loan}}
}

func engine(id string) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(lagoonhead.EndpointID(id), lagoonhead.EndpointKindEngine, "m", "http://"+id, "a")
}

func newPlacer(es ...lagoonhead.Endpoint) (*Placer, *source, *timer.Manual) {
	s, m := &source{}, timer.NewManual(time.Hour, time.Unix(0, 0))
	s.set(es...)
	return &Placer{Source: s, Timer: m}, s, m
}

var requests int

func request(serves string) *lagoonhead.Request {
	requests++
	r := lagoonhead.NewRequest(lagoonhead.RequestID(strconv.Itoa(requests)), "w", serves, 0)
	r.SetTokens(4000, 100)
	r.SetFingerprint(uint64(requests))
	return r
}

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func place(t *testing.T, p *Placer, r *lagoonhead.Request, avoid ...lagoonhead.EndpointID) lagoonhead.Placement {
	m, err := p.Place(ended(), r, avoid)
	require.NoError(t, err)
	return m
}

// Guards against a request past its deadline that delays one that can still be
// answered in time, and against requests lost from the queue.
func TestQueueServesLateRequestsLast(t *testing.T) {
	for order, want := range map[fair.Policy][]int{fair.VirtualCounters: {1, 0}, fair.FirstComeFirstServed: {0, 1}} {
		q := NewQueue(order, 2)
		rs := []*lagoonhead.Request{request("m"), request("m")}
		rs[0].SetDeadline(time.Second)
		for _, r := range rs {
			require.True(t, q.Push(r, 1))
		}
		require.False(t, q.Push(request("m"), 1))
		for _, i := range want {
			require.Same(t, rs[i], q.Pop(time.Minute, func(*lagoonhead.Request) bool { return true }))
		}
		require.Zero(t, q.Len())
		require.Empty(t, q.handles)
	}
}

// Guards against wrong kinds of error, which determine the response to the caller.
func TestPlaceErrors(t *testing.T) {
	p, s, _ := newPlacer(engine("a"))
	kind := func(r *lagoonhead.Request, avoid ...lagoonhead.EndpointID) lagoonhead.Kind {
		_, err := p.Place(ended(), r, avoid)
		require.Error(t, err)
		return lagoonhead.KindOf(err)
	}
	require.Equal(t, lagoonhead.KindNotFound, kind(request("x")))
	require.Equal(t, lagoonhead.KindUnavailable, kind(request("m"), "a"))
	place(t, p, request("m"))
	require.Equal(t, lagoonhead.KindTimeout, kind(request("m")))
	require.Zero(t, p.Waiting())
	s.set(engine("a").WithLeaving(true))
	require.Equal(t, lagoonhead.KindUnavailable, kind(request("m")))
	s.set(engine("a").WithPrice(5))
	s.d.ceiling = 4
	require.Equal(t, lagoonhead.KindUnavailable, kind(request("m")))
	s.set()
	require.Equal(t, lagoonhead.KindNotFound, kind(request("m")))
	s.d = nil
	require.Equal(t, lagoonhead.KindUnavailable, kind(request("m")))
}

// Guards against more requests on an endpoint than it has slots, and against
// waiting requests that are never placed or are placed out of order.
func TestWaitersAreServedInOrderWithinSlots(t *testing.T) {
	p, _, _ := newPlacer(engine("a").WithSlots(2), engine("b").WithSlots(1))
	running := make([]lagoonhead.Placement, 0, 3)
	for range 3 {
		running = append(running, place(t, p, request("m")))
	}
	require.Equal(t, 2, p.InFlight("a"))
	require.Equal(t, 1, p.InFlight("b"))
	order := make(chan int, 2)
	for i := range 2 {
		r := request("m")
		if i == 0 {
			r.SetPriority(lagoonhead.PriorityDeferrable)
		}
		go func() {
			m, err := p.Place(context.Background(), r, nil)
			if err == nil {
				order <- i
				m.Done(lagoonhead.Outcome{})
			}
		}()
		for p.Waiting() != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	running[0].Done(lagoonhead.Outcome{})
	require.Equal(t, 1, <-order, "the request with the higher priority first")
	running[1].Done(lagoonhead.Outcome{})
	running[2].Done(lagoonhead.Outcome{})
	require.Equal(t, 0, <-order)
	running[0].Done(lagoonhead.Outcome{})
	require.EqualValues(t, 1, p.metrics.doubleDone.Value())
}

// Guards against new requests on an endpoint that was removed from the directory, and
// against losing the count of requests that still run on it.
func TestLeavingEndpointKeepsItsCount(t *testing.T) {
	p, s, _ := newPlacer(engine("a").WithSlots(9))
	m := place(t, p, request("m"))
	s.set(engine("b").WithSlots(9))
	require.Equal(t, lagoonhead.EndpointID("b"), place(t, p, request("m")).Endpoint().ID())
	require.Equal(t, 1, p.InFlight("a"))
	m.Done(lagoonhead.Outcome{})
	require.Equal(t, 0, p.InFlight("a"))
	require.Len(t, p.States(), 1)
	s.set(engine("b").WithSlots(9), engine("c"))
	place(t, p, request("m"))
	require.Len(t, p.States(), 2)
}

// Guards against requests that are not placed after a back-off has ended.
func TestTickServesWaitersAfterBackOff(t *testing.T) {
	p, _, c := newPlacer(engine("a"))
	place(t, p, request("m")).Done(lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindCrashed})
	placed := make(chan error)
	go func() {
		_, err := p.Place(context.Background(), request("m"), nil)
		placed <- err
	}()
	for p.Waiting() != 1 {
		time.Sleep(time.Millisecond)
	}
	p.tick(c.Now())
	require.Equal(t, 1, p.Waiting())
	c.Advance(time.Minute)
	p.tick(c.Now())
	require.NoError(t, <-placed)
}

// Guards against a Run that does not return when its context ends or that accepts an
// unknown policy.
func TestRunEnds(t *testing.T) {
	p, _, _ := newPlacer(engine("a"))
	require.NoError(t, p.Run(ended()))
	p.Policy = "fastest"
	require.Equal(t, lagoonhead.KindInvalid, lagoonhead.KindOf(p.Run(ended())))
}

// watch is a SuspectTracker with fixed suspects. It counts the calls that only the caller
// of Place may make.
type watch struct {
	suspect map[uint64]bool
	calls   int
}

func (w *watch) Check(h uint64) (bool, error)              { return w.suspect[h], nil }
func (w *watch) Crashed(_ uint64, _ lagoonhead.EndpointID) { w.calls++ }
func (w *watch) Avoid(uint64) []lagoonhead.EndpointID      { return nil }
func (w *watch) Finished(_ uint64)                         { w.calls++ }

// Guards against two suspect requests on one endpoint, where a crash would be
// attributed to both.
func TestSuspectsAreKeptApart(t *testing.T) {
	p, _, _ := newPlacer(engine("a").WithSlots(9), engine("b").WithSlots(9))
	one, two, three := request("m"), request("m"), request("m")
	w := &watch{suspect: map[uint64]bool{one.Fingerprint(): true, two.Fingerprint(): true, three.Fingerprint(): true}}
	p.Suspects = w
	a, b := place(t, p, one), place(t, p, two)
	require.NotEqual(t, a.Endpoint().ID(), b.Endpoint().ID())
	_, err := p.Place(ended(), three, nil)
	require.Equal(t, lagoonhead.KindTimeout, lagoonhead.KindOf(err))
	a.Done(lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindStale})
	require.Equal(t, a.Endpoint().ID(), place(t, p, three).Endpoint().ID())
	b.Done(lagoonhead.Outcome{})
	require.Zero(t, w.calls, "only the caller knows whether an attempt was made")
}

// Guards against requests to services that are not placed, and against missing reasons
// in Explain.
func TestServicesAndReasons(t *testing.T) {
	p, _, _ := newPlacer(engine("a"))
	r := request("loans")
	m := place(t, p, r)
	require.Equal(t, lagoonhead.EndpointID("loan"), m.Endpoint().ID())
	m.FirstToken()
	p.Report(lagoonhead.LoadReport{Endpoint: "a", Number: 1, Incarnation: "1", Running: 1})
	p.CacheEvents("a", []lagoonhead.CacheEvent{{Number: 1, Block: 7, Stored: true}})
	ds := p.Explain(r.ID(), 5)
	require.Len(t, ds, 1)
	require.Equal(t, "placed on loan", ds[0].Result)
	require.Contains(t, ds[0].Reason, "fewest outstanding")
	require.Equal(t, "1", p.Vars().Get("placed").String())
	for _, s := range p.States() {
		require.InDelta(t, 5000, s.PrefillRate, 0, "the directory's rate")
	}
}

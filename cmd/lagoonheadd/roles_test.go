package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/ordering"
)

// role returns the role that an engine reports.
func role(t *testing.T, p *process) lagoonhead.Role {
	t.Helper()
	var r lagoonhead.LoadReport
	fetch(t, p.url()+"/lagoonhead/load", &r)
	return r.Role
}

// Lengths of streams in tokens; the stand-in engines send 400 tokens a second. A long
// stream outlasts the steps of a role change, which are a second apart.
const (
	shortStream = 200
	longStream  = 1600
)

// traffic streams completions through all daemons until the test has seen enough,
// and fails the test for each one that is not whole.
type traffic struct {
	stop  chan struct{}
	wait  sync.WaitGroup
	whole atomic.Int64
	mu    sync.Mutex
	bad   []string
}

func (f *fleet) traffic(t *testing.T, streams, tokens int) *traffic {
	t.Helper()
	tr := &traffic{stop: make(chan struct{})}
	for i := range streams {
		tr.wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-tr.stop:
					return
				default:
				}
				text := fmt.Sprintf("stream %d %d", i, n)
				e := read(t.Context(), f.daemons[i%len(f.daemons)], frontDeskKey, streamBody(text, tokens), "", nil)
				tr.check(e, expected(t, text, int64(tokens)))
			}
		})
	}
	return tr
}

func (tr *traffic) check(e *events, want string) {
	if e.done && e.text.String() == want {
		tr.whole.Add(1)
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.bad = append(tr.bad, fmt.Sprintf("status %d, run %s, %d tokens: %s", e.status, e.run, e.count, e.failed))
}

func (tr *traffic) end(t *testing.T) {
	t.Helper()
	close(tr.stop)
	tr.wait.Wait()
	require.Empty(t, tr.bad)
	require.Positive(t, tr.whole.Load())
}

// Guards against a role change that cuts a stream, one that never comes to its end,
// and a second order to an engine without fencing (e3).
func TestRoleChangesCutNoRequest(t *testing.T) {
	f := newFleet(t, 3, 3)
	tr := f.traffic(t, 9, longStream)
	for _, i := range []int{0, 2} {
		f.want(t, f.engines[i].name, lagoonhead.RolePrefill)
	}
	for _, i := range []int{0, 2} {
		eventually(t, f.engines[i].name+" has changed", func() bool { return role(t, f.engines[i]) == lagoonhead.RolePrefill })
	}
	f.want(t, "e1", lagoonhead.RoleMixed)
	f.want(t, "e3", lagoonhead.RoleMixed)
	eventually(t, "e1 has changed back", func() bool { return role(t, f.engines[0]) == lagoonhead.RoleMixed })
	require.Equal(t, lagoonhead.RolePrefill, role(t, f.engines[2]), "an engine without fencing gets one order only")
	tr.end(t)
	for _, e := range f.engines {
		for _, o := range orders(t, e) {
			require.Zero(t, o.Cut, "order %d of %s cut requests off", o.Order.Sequence, e.name)
		}
	}
	require.Len(t, orders(t, f.engines[2]), 1)
}

// want commits a wanted role as an operator does.
func (f *fleet) want(t *testing.T, id string, r lagoonhead.Role) {
	t.Helper()
	f.commitRetry(t, func(inv *inventory.Inventory) *inventory.Inventory {
		next := inv.Clone()
		require.NoError(t, next.SetWantedRole(lagoonhead.EndpointID(id), r))
		return next
	})
}

// Guards against new work at an endpoint that is leaving, and against streams that a
// drain cuts.
func TestDrainedEngineGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2, 3)
	tr := f.traffic(t, 6, shortStream)
	f.commitRetry(t, func(inv *inventory.Inventory) *inventory.Inventory {
		next := inv.Clone()
		require.NoError(t, next.SetLeaving("e1", true))
		return next
	})
	f.awaitLeaving(t, "e1")
	before := served(t, f.engines[0])
	elsewhere := served(t, f.engines[1])
	eventually(t, "the other engine has served more", func() bool { return served(t, f.engines[1]) > elsewhere+20 })
	require.Equal(t, before, served(t, f.engines[0]))
	tr.end(t)
}

// awaitLeaving waits until every daemon shows the engines as leaving, and a little
// longer for requests that were placed before.
func (f *fleet) awaitLeaving(t *testing.T, ids ...string) {
	t.Helper()
	for i, d := range f.daemons {
		eventually(t, d.name+" has the mark", func() bool {
			s, err := f.queries(i).Status(t.Context(), &operator.StatusRequest{})
			require.NoError(t, err)
			n := 0
			for _, e := range s.GetEndpoints() {
				if e.GetState() == "leaving" && slices.Contains(ids, e.GetEndpoint()) {
					n++
				}
			}
			return n == len(ids)
		})
	}
	time.Sleep(300 * time.Millisecond)
}

// orders returns the orders that have reached an engine.
func orders(t *testing.T, p *process) []fakeengine.OrderRecord {
	t.Helper()
	var list []fakeengine.OrderRecord
	fetch(t, p.url()+"/fake/orders", &list)
	return list
}

// fetch reads JSON from a child process.
func fetch(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url) //nolint:noctx // The address is a child process on loopback.
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
}

// served returns how many completions have reached an engine.
func served(t *testing.T, p *process) int {
	t.Helper()
	var list []fakeengine.Record
	fetch(t, p.url()+"/fake/records", &list)
	return len(list)
}

// Guards against work that goes on at engines which the platform reclaims, a whole
// failure domain at a time, and against streams that the reclaim's notice cuts.
func TestReclaimOfAFailureDomainCutsNoRequest(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.apply(t, f.inventory(defaultQuota)+"planner: {orderEndpoints: true}\n")
	tr := f.traffic(t, 6, shortStream)
	var list ordering.EndpointsResponse
	for i, e := range f.engines {
		list.Endpoints = append(list.Endpoints, lagoonhead.PlatformEndpoint{
			ID: lagoonhead.EndpointID(e.name), Serves: "reader", Supply: lagoonhead.SupplyReclaimable, Ready: true,
			FailureDomain: lagoonhead.FailureDomain(domain(i)), Leaving: domain(i) == "a",
		})
	}
	post(t, f.platform.url()+fakeplatform.PathSetEndpoints, list, nil)
	f.awaitLeaving(t, "e1", "e4")
	before := served(t, f.engines[0]) + served(t, f.engines[3])
	elsewhere := served(t, f.engines[1]) + served(t, f.engines[2])
	eventually(t, "the other engines have served more", func() bool {
		return served(t, f.engines[1])+served(t, f.engines[2]) > elsewhere+20
	})
	require.Equal(t, before, served(t, f.engines[0])+served(t, f.engines[3]))
	tr.end(t)
}

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
	getJSON(t, p.url()+"/lagoonhead/load", &r)
	return r.Role
}

// Lengths of streams in tokens. The fake engines send 400 tokens a second, so a long stream
// takes 4 s and outlasts the steps of a role change, which are a second apart.
const (
	shortStream = 200
	longStream  = 1600
)

// traffic is a load of streamed completions through all daemons. finish ends it and fails
// the test if one of them was incomplete.
type traffic struct {
	stop chan struct{}
	wait sync.WaitGroup
	// completed counts the streams that were complete; failures describes the others.
	completed atomic.Int64
	mu        sync.Mutex
	failures  []string
}

// startTraffic starts a number of concurrent callers, each of which sends one streamed completion
// after another.
func (f *fleet) startTraffic(t *testing.T, streams, tokens int) *traffic {
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
				e := readStream(t.Context(), f.daemons[i%len(f.daemons)], frontDeskKey, streamBody(text, tokens), "", nil)
				tr.check(e, expected(t, text, int64(tokens)))
			}
		})
	}
	return tr
}

func (tr *traffic) check(e *events, want string) {
	if e.done && e.text.String() == want {
		tr.completed.Add(1)
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failures = append(tr.failures, fmt.Sprintf("status %d, run %s, %d tokens: %s", e.status, e.run, e.count, e.failure))
}

func (tr *traffic) finish(t *testing.T) {
	t.Helper()
	close(tr.stop)
	tr.wait.Wait()
	require.Empty(t, tr.failures)
	require.Positive(t, tr.completed.Load())
}

// Guards against a role change that cuts off a stream, one that never completes, and a
// second order to an engine without fencing (e3).
func TestRoleChangesCutNoRequest(t *testing.T) {
	f := newFleet(t, 3, 3)
	tr := f.startTraffic(t, 9, longStream)
	for _, i := range []int{0, 2} {
		f.setDesiredRole(t, f.engines[i].name, lagoonhead.RolePrefill)
	}
	for _, i := range []int{0, 2} {
		eventually(t, f.engines[i].name+" has changed", func() bool { return role(t, f.engines[i]) == lagoonhead.RolePrefill })
	}
	f.setDesiredRole(t, "e1", lagoonhead.RoleMixed)
	f.setDesiredRole(t, "e3", lagoonhead.RoleMixed)
	eventually(t, "e1 has changed back", func() bool { return role(t, f.engines[0]) == lagoonhead.RoleMixed })
	require.Equal(t, lagoonhead.RolePrefill, role(t, f.engines[2]), "an engine without fencing gets one order only")
	tr.finish(t)
	for _, e := range f.engines {
		for _, o := range orders(t, e) {
			require.Zero(t, o.AbortedRequests, "order %d of %s cut requests off", o.Order.Sequence, e.name)
		}
	}
	require.Len(t, orders(t, f.engines[2]), 1)
}

// setDesiredRole commits the desired role of an engine as an operator does.
func (f *fleet) setDesiredRole(t *testing.T, id string, r lagoonhead.Role) {
	t.Helper()
	f.commitRetry(t, func(inv *inventory.Inventory) *inventory.Inventory {
		next := inv.Clone()
		require.NoError(t, next.SetDesiredRole(lagoonhead.EndpointID(id), r))
		return next
	})
}

// Guards against new requests to an endpoint that is marked as leaving, and against streams
// that a drain cuts off.
func TestDrainedEngineGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2, 3)
	tr := f.startTraffic(t, 6, shortStream)
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
	tr.finish(t)
}

// awaitLeaving waits until every daemon reports the engines as leaving, and 300 ms longer
// for requests that were placed on them before.
func (f *fleet) awaitLeaving(t *testing.T, ids ...string) {
	t.Helper()
	for i, d := range f.daemons {
		eventually(t, d.name+" reports the engines as leaving", func() bool {
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

// orders returns the orders to change its role that an engine has received.
func orders(t *testing.T, p *process) []fakeengine.OrderRecord {
	t.Helper()
	var list []fakeengine.OrderRecord
	getJSON(t, p.url()+"/fake/orders", &list)
	return list
}

// getJSON decodes the JSON response to a GET request.
func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url) //nolint:noctx // The address is a child process on loopback.
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
}

// served returns how many completion requests an engine has received.
func served(t *testing.T, p *process) int {
	t.Helper()
	var list []fakeengine.Record
	getJSON(t, p.url()+"/fake/records", &list)
	return len(list)
}

// Guards against new requests to engines that the platform has announced to reclaim, here
// all of a failure domain at once, and against streams that the announcement cuts off.
func TestReclaimOfAFailureDomainCutsNoRequest(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.apply(t, f.inventory(defaultQuota)+"planner: {orderEndpoints: true}\n")
	tr := f.startTraffic(t, 6, shortStream)
	var list ordering.EndpointsResponse
	for i, e := range f.engines {
		list.Endpoints = append(list.Endpoints, lagoonhead.PlatformEndpoint{
			ID: lagoonhead.EndpointID(e.name), Serves: "reader", Supply: lagoonhead.SupplyReclaimable, Ready: true,
			FailureDomain: lagoonhead.FailureDomain(failureDomain(i)), Leaving: failureDomain(i) == "a",
		})
	}
	postJSON(t, f.platform.url()+fakeplatform.PathSetEndpoints, list, nil)
	f.awaitLeaving(t, "e1", "e4")
	before := served(t, f.engines[0]) + served(t, f.engines[3])
	elsewhere := served(t, f.engines[1]) + served(t, f.engines[2])
	eventually(t, "the other engines have served more", func() bool {
		return served(t, f.engines[1])+served(t, f.engines[2]) > elsewhere+20
	})
	require.Equal(t, before, served(t, f.engines[0])+served(t, f.engines[3]))
	tr.finish(t)
}

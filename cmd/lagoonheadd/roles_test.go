package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
)

// role returns the role that an engine reports.
func role(t *testing.T, p *process) lagoonhead.Role {
	t.Helper()
	resp, err := http.Get(p.url() + "/lagoonhead/load") //nolint:noctx // The address is a child process on loopback.
	require.NoError(t, err)
	defer resp.Body.Close()
	var r lagoonhead.LoadReport
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r.Role
}

// traffic streams completions through all daemons until the test has seen enough,
// and fails the test for each one that is not whole.
type traffic struct {
	stop  chan struct{}
	wait  sync.WaitGroup
	whole atomic.Int64
	mu    sync.Mutex
	bad   []string
}

func (f *fleet) traffic(t *testing.T, streams int) *traffic {
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
				e := read(t.Context(), f.daemons[i%len(f.daemons)], frontDeskKey, streamBody(text, 200), "", nil)
				tr.check(e, expected(t, text, 200))
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
	tr := f.traffic(t, 9)
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
	tr := f.traffic(t, 6)
	f.commitRetry(t, func(inv *inventory.Inventory) *inventory.Inventory {
		next := inv.Clone()
		require.NoError(t, next.SetLeaving("e1", true))
		return next
	})
	eventually(t, "the drained engine is idle", func() bool { return running(t, f.engines[0]) == 0 })
	for range 50 {
		require.Zero(t, running(t, f.engines[0]))
	}
	tr.end(t)
}

func running(t *testing.T, p *process) int {
	t.Helper()
	resp, err := http.Get(p.url() + "/lagoonhead/load") //nolint:noctx // The address is a child process on loopback.
	require.NoError(t, err)
	defer resp.Body.Close()
	var r lagoonhead.LoadReport
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r.Running
}

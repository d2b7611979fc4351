package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/inventory"
)

// ask sends a short completion and returns how it was answered.
func ask(ctx context.Context, p *process, key string) *events {
	return read(ctx, p, key, streamBody("ask", 5), "", nil)
}

// withoutKey returns an edit that withdraws a key.
func withoutKey(t *testing.T, id string) func(*inventory.Inventory) *inventory.Inventory {
	return func(inv *inventory.Inventory) *inventory.Inventory {
		next := inv.Clone()
		_, err := next.WithdrawKey(id)
		require.NoError(t, err)
		return next
	}
}

// Guards against a withdrawn key that goes on working, at a daemon that reaches the
// store, at one that hears of it from peers only, and on a connection that stays
// open.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.network.cutPlatform(2, true)
	for _, d := range f.daemons {
		require.True(t, ask(t.Context(), d, branchKey).done)
	}
	f.commit(t, withoutKey(t, "toys-key"))
	began := time.Now()
	for _, d := range f.daemons {
		eventually(t, d.name+" refuses the key", func() bool {
			e := ask(t.Context(), d, branchKey)
			return e.status == http.StatusUnauthorized && e.run == "no"
		})
	}
	t.Logf("the key stopped working at all daemons after %s", time.Since(began))
	for _, d := range f.daemons {
		require.True(t, ask(t.Context(), d, frontDeskKey).done, "other keys go on working")
	}
}

// Guards against a daemon that serves withdrawn keys because it has been cut off from
// everyone, and against one that never recovers.
func TestIsolatedDaemonRefusesWork(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.network.isolate(0, true)
	eventually(t, "the isolated daemon is unready", func() bool {
		return status(t, f.daemons[0].url()+"/readyz") == http.StatusServiceUnavailable
	})
	f.commit(t, withoutKey(t, "toys-key"))
	e := ask(t.Context(), f.daemons[0], branchKey)
	require.Equal(t, http.StatusServiceUnavailable, e.status)
	require.Equal(t, "no", e.run)
	for _, d := range f.daemons[1:] {
		require.True(t, ask(t.Context(), d, frontDeskKey).done, "the others serve")
	}
	f.network.isolate(0, false)
	eventually(t, "the daemon has recovered", func() bool {
		return ask(t.Context(), f.daemons[0], frontDeskKey).done
	})
	require.Equal(t, http.StatusUnauthorized, ask(t.Context(), f.daemons[0], branchKey).status)
}

// Guards against a frozen daemon that serves its old view after the thaw.
func TestThawedDaemonServesNothingStale(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.daemons[0].signal(t, syscall.SIGSTOP)
	f.commit(t, withoutKey(t, "toys-key"))
	for _, d := range f.daemons[1:] {
		eventually(t, d.name+" refuses the key", func() bool {
			return ask(t.Context(), d, branchKey).status == http.StatusUnauthorized
		})
	}
	time.Sleep(4 * time.Second) // an accepted configuration is in force everywhere by then
	answered := make(chan *events, 1)
	go func() { answered <- ask(context.Background(), f.daemons[0], branchKey) }()
	time.Sleep(100 * time.Millisecond)
	f.daemons[0].signal(t, syscall.SIGCONT)
	e := <-answered
	require.False(t, e.done, "status %d", e.status)
	require.Equal(t, "no", e.run)
}

// Guards against an outage of the store that stops serving, forgets keys or lifts
// limits, and against a daemon that starts during it and serves without a
// configuration or never.
func TestLongOutageOfTheStore(t *testing.T) {
	f := newPlatform(t, 1, 4)
	for i := range 3 {
		f.daemons = append(f.daemons, f.startDaemon(t, i))
	}
	f.awaitReady(t)
	f.outage(t, "kv", true)
	time.Sleep(2 * time.Second)
	f.daemons = append(f.daemons, f.startDaemon(t, 3))
	eventually(t, "the new daemon has the configuration of its peers", func() bool {
		return status(t, f.daemons[3].url()+"/readyz") == http.StatusOK
	})
	for range 4 {
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			e := ask(t.Context(), d, frontDeskKey)
			require.True(t, e.done, "%s: status %d %s", d.name, e.status, e.failed)
			require.Equal(t, http.StatusUnauthorized, ask(t.Context(), d, "lh-unknown-000000000000000000").status)
		}
	}
	f.outage(t, "kv", false)
	f.commit(t, withoutKey(t, "toys-key"))
	for _, d := range f.daemons {
		eventually(t, d.name+" has the next revision", func() bool {
			return ask(t.Context(), d, branchKey).status == http.StatusUnauthorized
		})
	}
}

// Guards against a workspace that gets more than its rate and burst over all daemons
// together, while one of them is cut off from the others.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	f := newPlatform(t, 2, 3)
	const rate, burst = 300, 900
	f.apply(t, f.inventory(fmt.Sprintf("rate: %dtok/s, burst: %dtok", rate, burst)))
	began := time.Now()
	for i := range 3 {
		f.daemons = append(f.daemons, f.startDaemon(t, i))
	}
	f.awaitReady(t)
	var used, refused atomic.Int64
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for i := range 24 {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				e := read(t.Context(), f.daemons[i*i%3], frontDeskKey, streamBody(fmt.Sprintf("flood %d %d", i, n), 40), "", nil)
				if !e.done {
					refused.Add(1)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				used.Add(int64(e.count))
			}
		})
	}
	time.Sleep(3 * time.Second)
	f.network.isolate(1, true)
	wait.Wait()
	elapsed := time.Since(began).Seconds()
	t.Logf("%d output tokens in %.1f s, %d refusals", used.Load(), elapsed, refused.Load())
	require.Positive(t, used.Load())
	require.LessOrEqual(t, float64(used.Load()), rate*elapsed+burst)
}

func (f *fleet) reports(t *testing.T) []lagoonhead.UsageWindow {
	t.Helper()
	var a fakeplatform.ReportsResponse
	post(t, f.platform.url()+fakeplatform.PathReports, struct{}{}, &a)
	return a.Reports
}

// billed returns the output tokens billed to a workspace. It fails the test when a
// window was reported with two different figures.
func (f *fleet) billed(t *testing.T, w lagoonhead.WorkspaceID) (tokens, requests int64) {
	t.Helper()
	windows := make(map[string]lagoonhead.UsageWindow)
	for _, r := range f.reports(t) {
		if have, ok := windows[r.Window]; ok {
			require.Equal(t, have.Usage, r.Usage, "window %s was reported twice with different figures", r.Window)
		}
		windows[r.Window] = r
	}
	for _, r := range windows {
		for _, u := range r.Usage {
			if u.Workspace == w {
				tokens += u.OutputTokens
				requests += u.Requests
			}
		}
	}
	return tokens, requests
}

// Guards against usage that is lost or billed twice when daemons are killed, the
// holder of the duty among them, and answers of the usage interface are lost.
func TestUsageIsBilledOnce(t *testing.T) {
	f := newFleet(t, 1, 3)
	post(t, f.platform.url()+fakeplatform.PathFaults, fakeplatform.FaultRequest{Interface: "usage", LoseAnswers: 2}, nil)
	want, requests := 0, 0
	for i := range 12 {
		e := read(t.Context(), f.daemons[i%3], frontDeskKey, streamBody(fmt.Sprintf("bill %d", i), 30), "", nil)
		require.True(t, e.done, e.failed)
		want += e.count
		requests++
	}
	f.daemons[0].signal(t, syscall.SIGKILL)
	eventually(t, "all requests are billed", func() bool {
		_, n := f.billed(t, "crates")
		return n >= int64(requests)
	})
	tokens, n := f.billed(t, "crates")
	require.EqualValues(t, requests, n)
	require.EqualValues(t, want, tokens)
}

// Guards against a paused holder of a duty that reports usage after another daemon
// has taken over.
func TestPausedHolderReportsNothingLate(t *testing.T) {
	f := newFleet(t, 1, 3)
	eventually(t, "a duty is held", func() bool { return len(f.reports(t)) > 0 })
	holder := slices.IndexFunc(f.daemons, func(d *process) bool {
		return f.gained(t, d)
	})
	require.GreaterOrEqual(t, holder, 0)
	f.daemons[holder].signal(t, syscall.SIGSTOP)
	before := len(f.reports(t))
	eventually(t, "another daemon reports", func() bool { return len(f.reports(t)) > before+1 })
	f.daemons[holder].signal(t, syscall.SIGCONT)
	after := len(f.reports(t))
	eventually(t, "reports go on", func() bool { return len(f.reports(t)) > after+3 })
	last := ""
	for _, r := range f.reports(t) {
		require.GreaterOrEqual(t, r.Window, last, "a window that was closed by a later holder is reported again")
		last = r.Window
	}
	f.billed(t, "crates")
}

// gained reports whether a daemon has said that it holds the usage duty.
func (f *fleet) gained(t *testing.T, d *process) bool {
	t.Helper()
	i := slices.Index(f.daemons, d)
	resp, err := http.Get(f.operatorURL(i) + "/debug/vars") //nolint:noctx // The address is a child process on loopback.
	require.NoError(t, err)
	defer resp.Body.Close()
	var v struct {
		UsageReports struct {
			Reported int64 `json:"reported"`
		} `json:"usageReports"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&v))
	return v.UsageReports.Reported > 0
}

// The store's rates and the number of daemons that share them at the size that the
// system is designed for.
const (
	storeReads    = 2000
	storeWrites   = 300
	largestFleet  = 390
	measuredFleet = 6
)

// Guards against daemons that ask more of the store than their share of its rates.
func TestStoreCallsStayWithinTheShare(t *testing.T) {
	f := newFleet(t, 2, measuredFleet)
	eventually(t, "the duties are held and reported", func() bool { return len(f.reports(t)) > 1 })
	before := f.storeCalls(t)
	began := time.Now()
	for i := 0; time.Since(began) < 12*time.Second; i++ {
		require.True(t, ask(t.Context(), f.daemons[i%measuredFleet], frontDeskKey).done)
		time.Sleep(50 * time.Millisecond)
	}
	elapsed := time.Since(began).Seconds()
	var reads, writes float64
	for op, n := range f.storeCalls(t) {
		rate := float64(n-before[op]) / elapsed
		t.Logf("%-12s %6.2f/s", op, rate)
		switch op {
		case "get", "list", "watch":
			reads += rate
		default:
			writes += rate
		}
	}
	t.Logf("%d daemons: %.1f reads/s, %.1f writes/s", measuredFleet, reads, writes)
	require.Less(t, reads, float64(storeReads*measuredFleet)/largestFleet)
	require.Less(t, writes, float64(storeWrites*measuredFleet)/largestFleet)
}

// storeCalls returns the number of calls of the store by operation.
func (f *fleet) storeCalls(t *testing.T) map[string]int64 {
	t.Helper()
	var a fakeplatform.CallsResponse
	post(t, f.platform.url()+fakeplatform.PathCalls, struct{}{}, &a)
	return a.Calls
}

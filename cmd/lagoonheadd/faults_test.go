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

// ask sends a request for a short streamed completion and returns the response.
func ask(ctx context.Context, p *process, key string) *events {
	return readStream(ctx, p, key, streamBody("ask", 5), "", nil)
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

// Guards against a withdrawn key that goes on working: at a daemon that reaches the store,
// at one that gets the revision from its peers only, and on an open connection.
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

// Guards against a daemon that accepts withdrawn keys while it is partitioned from the store
// and all peers, and against one that does not recover afterwards.
func TestIsolatedDaemonRefusesWork(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.network.isolate(0, true)
	eventually(t, "the isolated daemon is unready", func() bool {
		return getStatus(t, f.daemons[0].url()+"/readyz") == http.StatusServiceUnavailable
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

// Guards against a daemon that was stopped by SIGSTOP and, once continued, accepts a key that
// was withdrawn meanwhile.
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

// Guards against an outage of the store during which daemons reject requests, lose keys,
// accept unknown ones or lift limits, and against a daemon that is started during the outage
// and serves without a configuration or never becomes ready.
func TestLongOutageOfTheStore(t *testing.T) {
	f := newFleetWithoutDaemons(t, 1, 4)
	for i := range 3 {
		f.daemons = append(f.daemons, f.startDaemon(t, i))
	}
	f.awaitReady(t)
	f.setOutage(t, "kv", true)
	time.Sleep(2 * time.Second)
	f.daemons = append(f.daemons, f.startDaemon(t, 3))
	eventually(t, "the new daemon has the configuration of its peers", func() bool {
		return getStatus(t, f.daemons[3].url()+"/readyz") == http.StatusOK
	})
	for range 4 {
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			e := ask(t.Context(), d, frontDeskKey)
			require.True(t, e.done, "%s: status %d %s", d.name, e.status, e.failure)
			require.Equal(t, http.StatusUnauthorized, ask(t.Context(), d, "lh-unknown-000000000000000000").status)
		}
	}
	f.setOutage(t, "kv", false)
	f.commit(t, withoutKey(t, "toys-key"))
	for _, d := range f.daemons {
		eventually(t, d.name+" has the next revision", func() bool {
			return ask(t.Context(), d, branchKey).status == http.StatusUnauthorized
		})
	}
}

// Guards against a workspace that exceeds its rate and burst, summed over all daemons, when
// one of them is partitioned from the others.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	f := newFleetWithoutDaemons(t, 2, 3)
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
				e := readStream(t.Context(), f.daemons[i*i%3], frontDeskKey, streamBody(fmt.Sprintf("flood %d %d", i, n), 40), "", nil)
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

// reports returns the usage windows that the platform has received, in the order of
// their arrival.
func (f *fleet) reports(t *testing.T) []lagoonhead.UsageWindow {
	t.Helper()
	var a fakeplatform.ReportsResponse
	postJSON(t, f.platform.url()+fakeplatform.PathReports, struct{}{}, &a)
	return a.Reports
}

// billed returns the output tokens and requests billed to a workspace. It fails the test if
// a window was reported with two different figures.
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

// Guards against usage that is lost or billed twice when a daemon is killed, which may be the
// holder of the usage duty, and responses of the platform's usage interface are lost.
func TestUsageIsBilledOnce(t *testing.T) {
	f := newFleet(t, 1, 3)
	postJSON(t, f.platform.url()+fakeplatform.PathFaults, fakeplatform.FaultRequest{Interface: "usage", LoseAnswers: 2}, nil)
	want, requests := 0, 0
	for i := range 12 {
		e := readStream(t.Context(), f.daemons[i%3], frontDeskKey, streamBody(fmt.Sprintf("bill %d", i), 30), "", nil)
		require.True(t, e.done, e.failure)
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

// Guards against a holder of the usage duty that was stopped by SIGSTOP and, once continued,
// reports usage although another daemon has become the holder.
func TestPausedHolderReportsNothingLate(t *testing.T) {
	f := newFleet(t, 1, 3)
	holder := -1
	eventually(t, "the usage duty is held", func() bool {
		holder = slices.IndexFunc(f.daemons, func(d *process) bool { return f.hasReportedUsage(t, d) })
		return holder >= 0
	})
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

// hasReportedUsage reports whether a daemon has reported usage to the platform, as it does
// while it holds the usage duty.
func (f *fleet) hasReportedUsage(t *testing.T, d *process) bool {
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

const (
	// storeReadLimit and storeWriteLimit are the rate limits of the store for all daemons
	// together, in requests per second.
	storeReadLimit  = 2000
	storeWriteLimit = 300
	// maxDaemons is the number of daemons that the system is designed for.
	maxDaemons = 390
	// testDaemons is the number of daemons in the test.
	testDaemons = 6
)

// Guards against daemons that send more requests to the store than their share of its rate
// limits.
func TestStoreCallsStayWithinTheShare(t *testing.T) {
	f := newFleet(t, 2, testDaemons)
	eventually(t, "the duties are held and reported", func() bool { return len(f.reports(t)) > 1 })
	before := f.storeCalls(t)
	began := time.Now()
	for i := 0; time.Since(began) < 12*time.Second; i++ {
		require.True(t, ask(t.Context(), f.daemons[i%testDaemons], frontDeskKey).done)
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
	t.Logf("%d daemons: %.1f reads/s, %.1f writes/s", testDaemons, reads, writes)
	require.Less(t, reads, float64(storeReadLimit*testDaemons)/maxDaemons)
	require.Less(t, writes, float64(storeWriteLimit*testDaemons)/maxDaemons)
}

// storeCalls returns the number of requests that the store has received, by operation.
func (f *fleet) storeCalls(t *testing.T) map[string]int64 {
	t.Helper()
	var a fakeplatform.CallsResponse
	postJSON(t, f.platform.url()+fakeplatform.PathCalls, struct{}{}, &a)
	return a.Calls
}

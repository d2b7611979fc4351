package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// stepTimer is a manual timer whose Sleep advances the time and returns at once.
type stepTimer struct{ *timer.Manual }

func (s stepTimer) Sleep(ctx context.Context, d time.Duration) error {
	s.Advance(d)
	return ctx.Err()
}

// cluster is a set of daemons in one process that share a store. It implements Peers by
// calling them directly.
type cluster struct {
	timer timer.Timer
	store *fakeplatform.KV
	vms   []lagoonhead.VM

	mu      sync.Mutex
	runners map[lagoonhead.VMID]*Runner
}

func newCluster(n int, tm timer.Timer) *cluster {
	c := &cluster{timer: tm, store: fakeplatform.NewKV(tm), runners: make(map[lagoonhead.VMID]*Runner)}
	for i := range n {
		c.vms = append(c.vms, lagoonhead.NewVM(lagoonhead.VMID(fmt.Sprintf("vm%d", i)), "a", "", false))
	}
	for i := range n {
		c.restart(i, 0)
	}
	return c
}

func (c *cluster) restart(i, number int) *Runner {
	id := c.vms[i].ID()
	r := &Runner{
		Self: id, Incarnation: lagoonhead.Incarnation(fmt.Sprintf("%s-%d", id, number)),
		Store: c.store, Peers: c, Timer: c.timer,
	}
	r.SetVMs(c.vms, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners[id] = r
	return r
}

func (c *cluster) runner(id lagoonhead.VMID) *Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners[id]
}

func (c *cluster) at(i int) *Runner { return c.runner(c.vms[i].ID()) }

func (c *cluster) committer(i int) *Committer {
	return &Committer{Store: c.store, Runner: c.at(i), Peers: c, Timer: c.timer}
}

// Pull implements Peers.
func (c *cluster) Pull(
	_ context.Context, vm lagoonhead.VM, q *peer.PullConfigRequest,
) (*peer.PullConfigResponse, error) {
	return c.runner(vm.ID()).PullConfig(q), nil
}

// State implements Peers.
func (c *cluster) State(_ context.Context, vm lagoonhead.VM) (*peer.RevisionStateResponse, error) {
	return c.runner(vm.ID()).RevisionState(), nil
}

// exchange sends a heartbeat from one daemon to another and delivers the answer.
func (c *cluster) exchange(from, to int) {
	sent := c.timer.Now()
	h := &peer.Heartbeat{}
	c.at(to).FillHeartbeat(h)
	c.at(from).RecordAnswerHeartbeat(h, sent)
}

// addWorkspace returns an edit that adds a workspace.
func addWorkspace(id string) Edit {
	return func(inv *inventory.Inventory) (*inventory.Inventory, error) {
		out := inv.Clone()
		if len(out.FailureDomains) == 0 {
			out.Planner = inventory.Planner{Interval: 1e9}
		}
		w := inventory.Workspace{ID: lagoonhead.WorkspaceID(id), Rate: 1, Burst: 1, Weight: 1}
		out.Workspaces = append(out.Workspaces, w)
		return out, nil
	}
}

// Guards against a daemon that is fresh without a configuration, with an old one or
// without contact to the store and a majority, and against one that starts during an
// outage of the store and puts a revision in force without a majority.
func TestRunnerThroughAnOutage(t *testing.T) {
	tm := stepTimer{timer.NewManual(time.Minute, time.Unix(0, 0))}
	ctx := context.Background()
	c := newCluster(5, tm)
	require.Nil(t, c.at(0).Directory())
	require.True(t, lagoonhead.IsKind(c.at(0).Fresh(), lagoonhead.KindUnavailable))
	revision, err := c.committer(0).Commit(ctx, 0, addWorkspace("w"))
	require.NoError(t, err)
	require.EqualValues(t, 1, revision)
	for i := range 5 {
		_, err := c.at(i).readStore(ctx)
		require.NoError(t, err)
		require.NoError(t, c.at(i).Fresh())
		require.EqualValues(t, 1, c.at(i).Directory().Revision())
	}
	revision, err = c.committer(0).Commit(ctx, 1, addWorkspace("x"))
	require.NoError(t, err)
	require.EqualValues(t, 2, revision)
	c.store.Faults.SetOutage(true)

	// VMs 1 and 2 learn of the revision by a heartbeat and pull it.
	for i := 1; i < 3; i++ {
		c.exchange(i, 0)
		c.at(i).pull(ctx)
		require.EqualValues(t, 2, c.at(i).Directory().Revision())
	}
	require.NoError(t, c.at(4).Fresh())
	tm.Advance(FreshnessWindow + time.Millisecond)
	require.ErrorContains(t, c.at(4).Fresh(), string(ReasonNoContact))
	c.exchange(4, 1)
	require.ErrorContains(t, c.at(4).Fresh(), string(ReasonBehind))

	// A new process of VM 3 needs reports of a majority before it puts a revision in force.
	c.restart(3, 1)
	c.exchange(3, 0)
	c.exchange(3, 2)
	c.at(3).pull(ctx)
	require.Nil(t, c.at(3).Directory())
	c.exchange(3, 4)
	require.EqualValues(t, 2, c.at(3).Directory().Revision())
	require.NoError(t, c.at(3).Fresh())

	// A heartbeat from a peer's request proves only that its revision exists.
	h := &peer.Heartbeat{}
	c.at(0).FillHeartbeat(h)
	c.at(4).RecordRequestHeartbeat(h)
	c.at(4).pull(ctx)
	require.EqualValues(t, 2, c.at(4).Directory().Revision())
	confirmed, _ := c.at(3).Confirmed(2)
	require.Equal(t, []lagoonhead.VMID{"vm0", "vm1", "vm2", "vm3"}, confirmed)
}

// BenchmarkFresh measures Fresh, which is called for every request.
func BenchmarkFresh(b *testing.B) {
	c := newCluster(5, &timer.System{})
	for i := range c.vms {
		_, err := c.committer(i).Commit(context.Background(), 0, addWorkspace(fmt.Sprint("w", i)))
		require.NoError(b, err)
	}
	for b.Loop() {
		_ = c.at(0).Fresh()
	}
}

// Guards against heartbeats whose size grows with the fleet.
func TestHeartbeatIsBounded(t *testing.T) {
	r := Report{ConfirmationAge: time.Second, Peers: make([]PeerReport, maxPeerReports)}
	require.Len(t, limitPeerReports(r), maxPeerReports)
	r.Peers = make([]PeerReport, 390)
	require.Empty(t, limitPeerReports(r))
	r.ConfirmationAge = noConfirmation
	require.Len(t, limitPeerReports(r), maxPeerReports)
}

// Guards against a daemon that goes back to an older revision, or commits on top of it,
// when the store returns old data.
func TestOldStoreAnswers(t *testing.T) {
	tm := stepTimer{timer.NewManual(time.Minute, time.Unix(0, 0))}
	ctx := context.Background()
	c := newCluster(1, tm)
	for _, w := range []string{"w", "x"} {
		_, err := c.committer(0).Commit(ctx, 0, addWorkspace(w))
		require.NoError(t, err)
	}
	c.store.Faults.SetStaleReads(true)
	_, err := c.at(0).readStore(ctx)
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindStale))
	require.EqualValues(t, 2, c.at(0).Directory().Revision())
	_, err = c.committer(0).Commit(ctx, 0, addWorkspace("y"))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
}

// lostAnswerStore calls after when the answer to a write of the manifest was lost.
type lostAnswerStore struct {
	lagoonhead.Store
	after func()
}

func (s *lostAnswerStore) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	at, err := s.Store.Put(ctx, r)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) && r.Key == ManifestKey {
		s.after()
	}
	return at, err
}

// Guards against two concurrent edits of the same revision that both succeed, against
// an edit that is lost without an error, and against a wrong result after a lost answer
// of the store.
func TestRacingCommits(t *testing.T) {
	setChecks(100)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, stepTimer{timer.NewManual(time.Minute, time.Unix(0, 0))})
		ctx := context.Background()
		committed, failed := map[string]bool{}, map[string]bool{}
		lastInForce := map[int]int64{}
		commits := 0
		var commit func(depth int)
		commit = func(depth int) {
			commits++
			name := fmt.Sprintf("w%d", commits)
			i := rapid.IntRange(0, 2).Draw(t, "daemon")
			_, baseRevision := c.at(i).Inventory()
			if rapid.Bool().Draw(t, "newest") {
				baseRevision = 0
			}
			races := depth > 0 && rapid.Bool().Draw(t, "races")
			// The edit function runs between the read and the write, so a commit inside
			// it is concurrent with this one.
			committer := c.committer(i)
			committer.Store = &lostAnswerStore{Store: c.store, after: func() {
				if depth > 0 && rapid.Bool().Draw(t, "overtaken") {
					commit(depth - 1)
				}
			}}
			_, err := committer.Commit(ctx, baseRevision, func(inv *inventory.Inventory) (*inventory.Inventory, error) {
				if races {
					races = false
					commit(depth - 1)
				}
				c.store.Faults.LoseAnswers(rapid.SampledFrom([]int{0, 0, 1, 2, 3, 9}).Draw(t, "lost"))
				c.store.Faults.SetOutage(rapid.IntRange(0, 9).Draw(t, "outage") == 0)
				return addWorkspace(name)(inv)
			})
			c.store.Faults.SetOutage(false)
			var conflict *Conflict
			switch {
			case err == nil:
				committed[name] = true
			case errors.As(err, &conflict):
				require.True(t, lagoonhead.IsKind(err, lagoonhead.KindConflict))
				require.Greater(t, conflict.Current, conflict.Base)
				failed[name] = true
			default:
				// The store answers reads after the write, so the outcome is always known.
				require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable), "%v", err)
				failed[name] = true
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "commits") {
			commit(3)
			j := rapid.IntRange(0, 2).Draw(t, "reader")
			_, _ = c.at(j).readStore(ctx)
			for i := range 3 {
				_, in := c.at(i).Inventory()
				require.GreaterOrEqual(t, in, lastInForce[i])
				lastInForce[i] = in
			}
		}
		c.store.Faults.LoseAnswers(0)
		_, err := c.at(0).readStore(ctx)
		require.NoError(t, err)
		inv, _ := c.at(0).Inventory()
		for _, w := range inv.Workspaces {
			require.False(t, failed[string(w.ID)], "the commit of %s failed, but it is in the configuration", w.ID)
			delete(committed, string(w.ID))
		}
		require.Empty(t, committed, "committed, but not in the configuration")
		parts, _, err := c.store.List(ctx, PartPrefix)
		require.NoError(t, err)
		keys := make([]string, len(parts))
		for i, p := range parts {
			keys[i] = p.Key
		}
		if b := c.at(0).localBundle(); b != nil {
			for _, ref := range b.manifest.Parts {
				require.True(t, slices.Contains(keys, PartPrefix+ref.Hash))
			}
		}
	})
}

// Guards against an acceptance that adds up confirmations of different moments.
func TestAcceptanceNeedsOneMoment(t *testing.T) {
	listed := []lagoonhead.VMID{"a", "b", "c"}
	s := NewAcceptance(7)
	s.RecordAnswer("a", "a1", 7, 1, 2)
	s.RecordAnswer("b", "b1", 7, 3, 4)
	require.False(t, s.Accepted(listed), "a single answer of each VM has no common moment")
	s.RecordAnswer("a", "a2", 6, 5, 6)
	s.RecordAnswer("b", "b1", 7, 7, 8)
	require.False(t, s.Accepted(listed), "a has restarted with an older revision")
	s.RecordAnswer("a", "a2", 7, 9, 10)
	require.False(t, s.Accepted(listed))
	s.RecordAnswer("a", "a2", 7, 11, 12)
	require.False(t, s.Accepted(listed), "b was last queried before a had the revision again")
	s.RecordAnswer("b", "b1", 7, 13, 14)
	require.True(t, s.Accepted(listed))
	confirmed, unconfirmed := s.Split(listed)
	require.Equal(t, []lagoonhead.VMID{"a", "b"}, confirmed)
	require.Equal(t, []lagoonhead.VMID{"c"}, unconfirmed)
}

// Guards against loops of the daemons that do not work together: with real time, each
// edit must reach all daemons.
func TestApplyReachesAll(t *testing.T) {
	c := newCluster(5, &timer.System{})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range c.vms {
		done.Go(func() { _ = c.at(i).Run(ctx) })
		done.Go(func() {
			for j := 0; c.timer.Sleep(ctx, 20*time.Millisecond) == nil; j++ {
				c.exchange(i, j%len(c.vms))
			}
		})
	}
	for n := range 3 {
		r, err := c.committer(n).Apply(ctx, int64(n), time.Minute, addWorkspace(fmt.Sprint("w", n)))
		require.NoError(t, err)
		require.True(t, r.Accepted)
		require.Empty(t, r.Unconfirmed)
		require.EqualValues(t, n+1, r.Revision)
	}
	_, err := c.committer(4).Apply(ctx, 1, 0, addWorkspace("late"))
	require.ErrorContains(t, err, "the edit was made on revision 1, but the configuration has revision 3")
	for i := range c.vms {
		require.NoError(t, c.at(i).Fresh())
	}
	cancel()
	done.Wait()
}

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

// stepTimer moves its time on instead of waiting.
type stepTimer struct{ *timer.Manual }

func (s stepTimer) Sleep(ctx context.Context, d time.Duration) error {
	s.Advance(d)
	return ctx.Err()
}

// cluster is several daemons over one store, joined in process.
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

func (c *cluster) exchange(from, to int) {
	sent := c.timer.Now()
	h := &peer.Heartbeat{}
	c.at(to).Fill(h)
	c.at(from).Answered(h, sent)
}

// addWorkspace is an edit that shows in the result.
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

// Guards against a daemon that serves without a configuration, on an old one or
// without contact, and against one that starts in an outage and does not ask a
// majority.
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

	// Three VMs hear of the revision and pull it.
	for i := 1; i < 3; i++ {
		c.exchange(i, 0)
		c.at(i).pull(ctx)
		require.EqualValues(t, 2, c.at(i).Directory().Revision())
	}
	require.NoError(t, c.at(4).Fresh())
	tm.Advance(Window + time.Millisecond)
	require.ErrorContains(t, c.at(4).Fresh(), string(ReasonNoContact))
	c.exchange(4, 1)
	require.ErrorContains(t, c.at(4).Fresh(), string(ReasonBehind))

	// A new process of VM 3 needs a majority before it has a configuration.
	c.restart(3, 1)
	c.exchange(3, 0)
	c.exchange(3, 2)
	c.at(3).pull(ctx)
	require.Nil(t, c.at(3).Directory())
	c.exchange(3, 4)
	require.EqualValues(t, 2, c.at(3).Directory().Revision())
	require.NoError(t, c.at(3).Fresh())

	// A heartbeat that came as a request tells that a revision exists, no more.
	h := &peer.Heartbeat{}
	c.at(0).Fill(h)
	c.at(4).Told(h)
	c.at(4).pull(ctx)
	require.EqualValues(t, 2, c.at(4).Directory().Revision())
	confirmed, _ := c.at(3).Confirmed(2)
	require.Equal(t, []lagoonhead.VMID{"vm0", "vm1", "vm2", "vm3"}, confirmed)
}

// BenchmarkFresh measures the check that is made for every request.
func BenchmarkFresh(b *testing.B) {
	c := newCluster(5, &timer.Service{})
	for i := range c.vms {
		_, err := c.committer(i).Commit(context.Background(), 0, addWorkspace(fmt.Sprint("w", i)))
		require.NoError(b, err)
	}
	for b.Loop() {
		_ = c.at(0).Fresh()
	}
}

// Guards against heartbeats that grow with the fleet.
func TestHeartbeatIsBounded(t *testing.T) {
	r := Report{ProofAge: time.Second, Heard: make([]HeardReport, maxHeard)}
	require.Len(t, tell(r), maxHeard)
	r.Heard = make([]HeardReport, 390)
	require.Empty(t, tell(r))
	r.ProofAge = noProof
	require.Len(t, tell(r), maxHeard)
}

// Guards against an answer of the store that is older than what the daemon has.
func TestOldStoreAnswers(t *testing.T) {
	tm := stepTimer{timer.NewManual(time.Minute, time.Unix(0, 0))}
	ctx := context.Background()
	c := newCluster(1, tm)
	for _, w := range []string{"w", "x"} {
		_, err := c.committer(0).Commit(ctx, 0, addWorkspace(w))
		require.NoError(t, err)
	}
	c.store.Faults.SetOldReads(true)
	_, err := c.at(0).readStore(ctx)
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindStale))
	require.EqualValues(t, 2, c.at(0).Directory().Revision())
	_, err = c.committer(0).Commit(ctx, 0, addWorkspace("y"))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
}

// lateStore lets something happen after a write of the manifest whose answer is
// lost.
type lateStore struct {
	lagoonhead.Store
	after func()
}

func (s *lateStore) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	at, err := s.Store.Put(ctx, r)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) && r.Key == ManifestKey {
		s.after()
	}
	return at, err
}

// Guards against two racing edits that both win, an edit that is lost without a
// word, and a wrong answer after a lost answer of the store.
func TestRacingCommits(t *testing.T) {
	setChecks(100)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, stepTimer{timer.NewManual(time.Minute, time.Unix(0, 0))})
		ctx := context.Background()
		sure, never := map[string]bool{}, map[string]bool{}
		seen := map[int]int64{}
		edits := 0
		var commit func(depth int)
		commit = func(depth int) {
			edits++
			name := fmt.Sprintf("w%d", edits)
			i := rapid.IntRange(0, 2).Draw(t, "daemon")
			_, on := c.at(i).Inventory()
			if rapid.Bool().Draw(t, "newest") {
				on = 0
			}
			races := depth > 0 && rapid.Bool().Draw(t, "races")
			// The edit runs between the read and the write, so another commit in it
			// is a race.
			k := c.committer(i)
			k.Store = &lateStore{Store: c.store, after: func() {
				if depth > 0 && rapid.Bool().Draw(t, "overtaken") {
					commit(depth - 1)
				}
			}}
			_, err := k.Commit(ctx, on, func(inv *inventory.Inventory) (*inventory.Inventory, error) {
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
				sure[name] = true
			case errors.As(err, &conflict):
				require.True(t, lagoonhead.IsKind(err, lagoonhead.KindConflict))
				require.Greater(t, conflict.Current, conflict.Base)
				never[name] = true
			default:
				// The store answers reads, so that the outcome is always found out.
				require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable), "%v", err)
				never[name] = true
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "commits") {
			commit(3)
			j := rapid.IntRange(0, 2).Draw(t, "reader")
			_, _ = c.at(j).readStore(ctx)
			for i := range 3 {
				_, in := c.at(i).Inventory()
				require.GreaterOrEqual(t, in, seen[i])
				seen[i] = in
			}
		}
		c.store.Faults.LoseAnswers(0)
		_, err := c.at(0).readStore(ctx)
		require.NoError(t, err)
		inv, _ := c.at(0).Inventory()
		for _, w := range inv.Workspaces {
			require.False(t, never[string(w.ID)], "%s was refused and is there", w.ID)
			delete(sure, string(w.ID))
		}
		require.Empty(t, sure, "committed and not there")
		parts, _, err := c.store.List(ctx, PartPrefix)
		require.NoError(t, err)
		keys := make([]string, len(parts))
		for i, p := range parts {
			keys[i] = p.Key
		}
		if b := c.at(0).heldBundle(); b != nil {
			for _, ref := range b.manifest.Parts {
				require.True(t, slices.Contains(keys, PartPrefix+ref.Hash))
			}
		}
	})
}

// Guards against an acceptance that counts answers of different moments.
func TestAcceptanceNeedsOneMoment(t *testing.T) {
	listed := []lagoonhead.VMID{"a", "b", "c"}
	s := NewAcceptance(7)
	s.Answer("a", "a1", 7, 1, 2)
	s.Answer("b", "b1", 7, 3, 4)
	require.False(t, s.Accepted(listed), "one answer each")
	s.Answer("a", "a2", 6, 5, 6)
	s.Answer("b", "b1", 7, 7, 8)
	require.False(t, s.Accepted(listed), "a has forgotten")
	s.Answer("a", "a2", 7, 9, 10)
	require.False(t, s.Accepted(listed))
	s.Answer("a", "a2", 7, 11, 12)
	require.False(t, s.Accepted(listed), "b was last asked before a had it")
	s.Answer("b", "b1", 7, 13, 14)
	require.True(t, s.Accepted(listed))
	confirmed, unconfirmed := s.Split(listed)
	require.Equal(t, []lagoonhead.VMID{"a", "b"}, confirmed)
	require.Equal(t, []lagoonhead.VMID{"c"}, unconfirmed)
}

// Guards against parts that do not work together: the daemons run with real time,
// and an edit reaches all of them.
func TestApplyReachesAll(t *testing.T) {
	c := newCluster(5, &timer.Service{})
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

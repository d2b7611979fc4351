package billing

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// TestMain fixes the seed, so that every run has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func storeFault(k lagoonhead.Kind) error {
	return &Error{lagoonhead.Fault{Op: "test.store", Kind: k, Err: errors.New("drawn")}}
}

// memoryStore is a store in memory. Responses to writes can be lost, and writes can be
// lost or delayed until after the writer's call has failed.
type memoryStore struct {
	lagoonhead.Store
	entries    map[string]lagoonhead.Entry
	revision   int64
	down       bool
	outcome    func() int // 0: success, 1: response lost, 2: write delayed, 3: write lost
	delayed    []lagoonhead.PutRequest
	beforeCall func(key string) // runs before each Get, List and Put
}

func (s *memoryStore) begin(key string) {
	if s.beforeCall != nil {
		s.beforeCall(key)
	}
}

func (s *memoryStore) Get(_ context.Context, key string) (lagoonhead.Entry, error) {
	s.begin(key)
	e, ok := s.entries[key]
	if s.down {
		return e, storeFault(lagoonhead.KindUnavailable)
	}
	if !ok {
		return e, storeFault(lagoonhead.KindNotFound)
	}
	return e, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]lagoonhead.Entry, int64, error) {
	s.begin(prefix)
	if s.down {
		return nil, 0, storeFault(lagoonhead.KindUnavailable)
	}
	var l []lagoonhead.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			l = append(l, e)
		}
	}
	slices.SortFunc(l, func(a, b lagoonhead.Entry) int { return strings.Compare(a.Key, b.Key) })
	return l, s.revision, nil
}

func (s *memoryStore) apply(r lagoonhead.PutRequest) (int64, error) {
	if s.entries[r.Key].Revision != r.IfRevision {
		return 0, storeFault(lagoonhead.KindConflict)
	}
	s.revision++
	s.entries[r.Key] = lagoonhead.Entry{Key: r.Key, Value: r.Value, Revision: s.revision}
	return s.revision, nil
}

func (s *memoryStore) Put(_ context.Context, r lagoonhead.PutRequest) (int64, error) {
	s.begin(r.Key)
	if s.down {
		return 0, storeFault(lagoonhead.KindUnavailable)
	}
	switch s.outcome() {
	case 1:
		_, _ = s.apply(r)
		return 0, storeFault(lagoonhead.KindUnknown)
	case 2:
		s.delayed = append(s.delayed, r)
		return 0, storeFault(lagoonhead.KindUnknown)
	case 3:
		return 0, storeFault(lagoonhead.KindUnknown)
	}
	return s.apply(r)
}

func (s *memoryStore) Delete(_ context.Context, key string, revision int64) error {
	if s.entries[key].Revision == revision {
		delete(s.entries, key)
	}
	return nil
}

// platform accepts reports and records conflicting ones.
type platform struct {
	windows   map[string]lagoonhead.UsageWindow
	conflicts []string
	outcome   func() int // 1: response lost, 3: report lost, others: success
}

func (p *platform) Report(_ context.Context, w lagoonhead.UsageWindow) error {
	outcome := p.outcome()
	if outcome == 3 {
		return storeFault(lagoonhead.KindUnknown)
	}
	former, ok := p.windows[w.Window]
	if ok && !slices.Equal(former.Usage, w.Usage) {
		p.conflicts = append(p.conflicts, fmt.Sprintf("window %s: %v and %v", w.Window, former.Usage, w.Usage))
		return storeFault(lagoonhead.KindConflict)
	}
	p.windows[w.Window] = w
	if outcome == 1 {
		return storeFault(lagoonhead.KindUnknown)
	}
	return nil
}

func (p *platform) billed() totals {
	t := totals{}
	for _, w := range p.windows {
		t.addAll(w.Usage)
	}
	return t
}

// cluster is a few daemons with one store and one platform.
type cluster struct {
	t         *rapid.T
	clock     *timer.Manual
	store     *memoryStore
	platform  *platform
	nodes     []*node // by VM
	started   int
	minBilled totals // usage that must be billed
	maxBilled totals // usage that may be billed
	holder    *node
}

type node struct {
	cluster      *cluster
	vm           int
	disconnected bool
	recorder     *Recorder
	reporter     *Reporter
	unsaved      []lagoonhead.WorkspaceUsage // counted, but neither the buddy nor the store has it
}

func (c *cluster) draw(label string, hi int) int { return rapid.IntRange(0, hi).Draw(c.t, label) }

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{t: t, clock: timer.NewManual(0, time.Unix(1e9, 0)), minBilled: totals{}, maxBilled: totals{}}
	seed := uint32(c.draw("seed", 1<<20))
	outcome := func() int {
		seed = seed*1664525 + 1013904223
		return max(0, int(seed>>28)-12)
	}
	c.store = &memoryStore{entries: map[string]lagoonhead.Entry{}, outcome: outcome}
	c.platform = &platform{windows: map[string]lagoonhead.UsageWindow{}, outcome: outcome}
	c.nodes = make([]*node, n)
	for i := range c.nodes {
		c.start(i)
	}
	return c
}

func (c *cluster) start(vm int) {
	c.started++
	in := lagoonhead.Incarnation(fmt.Sprint("in", c.started))
	n := &node{cluster: c, vm: vm}
	n.recorder = &Recorder{VM: lagoonhead.VMID(strconv.Itoa(vm)), Incarnation: in, Timer: c.clock, Store: c.store, Buddies: n}
	n.reporter = &Reporter{Incarnation: in, Timer: c.clock, Store: c.store, Usage: c.platform, Window: 20 * time.Second}
	n.recorder.init()
	n.reporter.init()
	c.nodes[vm] = n
}

func (n *node) Buddy() (Buddy, bool) {
	b := n.cluster.nodes[(n.vm+1)%len(n.cluster.nodes)]
	return Buddy{b.recorder.VM, b.recorder.Incarnation, link{n, b}}, true
}

// link is the connection of a daemon to its buddy.
type link struct{ from, to *node }

func (l link) HandUsage(ctx context.Context, r *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	if l.from.disconnected || l.to.disconnected {
		return nil, storeFault(lagoonhead.KindUnavailable)
	}
	return l.to.recorder.HandUsage(ctx, r)
}

// finish counts a finished request at a daemon.
func (n *node) finish(u lagoonhead.WorkspaceUsage) {
	n.cluster.maxBilled.add(u)
	done := n.recorder.count(u)
	n.unsaved = append(n.unsaved, u)
	n.recorder.send(context.Background())
	select {
	case <-done:
		n.markSaved()
	default:
	}
}

// markSaved records that all usage counted by this daemon survives its loss.
func (n *node) markSaved() {
	n.cluster.minBilled.addAll(n.unsaved)
	n.unsaved = nil
}

func (n *node) save() {
	n.recorder.save(context.Background())
	if n.recorder.written {
		n.markSaved()
	}
	n.recorder.saveCopies(context.Background(), copyAge)
	n.recorder.sendKeepAlive()
	if n.recorder.send(context.Background()) {
		n.markSaved()
	}
}

// replace stops a daemon without a last write and starts another on its VM. All other
// daemons write to the store first, since usage need not survive the loss of a daemon
// together with its buddy.
func (c *cluster) replace(vm int) {
	down := c.store.down
	c.store.down = false
	c.clock.Advance(copyAge)
	outcome := c.store.outcome
	c.store.outcome = func() int { return 0 }
	for i, n := range c.nodes {
		if i != vm {
			n.save()
		}
	}
	c.store.outcome, c.store.down = outcome, down
	if c.holder == c.nodes[vm] {
		c.holder = nil
	}
	c.start(vm)
}

func (c *cluster) giveDuty(n *node) {
	if c.holder != nil {
		c.holder.reporter.LoseDuty()
	}
	c.holder = n
	n.reporter.GainDuty(func() error {
		if c.holder != n {
			return storeFault(lagoonhead.KindStale)
		}
		return nil
	})
}

func (c *cluster) stepDuty(n *node) { _ = n.reporter.step(context.Background()) }

// maxPause bounds the calls that a holder makes before it is paused.
const maxPause = 4

// pause suspends the holder before one of its next calls of the store, reads included.
// Another daemon gains the duty and reports, and then the former holder continues.
func (c *cluster) pause(next *node) {
	n := c.holder
	c.clock.Advance(20 * time.Second)
	left := c.draw("calls before the pause", maxPause)
	c.store.beforeCall = func(key string) {
		if !strings.HasPrefix(key, SealedPrefix) && !strings.HasPrefix(key, TotalsPrefix) {
			return
		}
		if left > 0 {
			left--
			return
		}
		c.store.beforeCall = nil
		c.holder = next // the former holder has not noticed
		next.reporter.GainDuty(func() error { return nil })
		c.finishRandom(next)
		next.save()
		c.stepDuty(next)
		c.clock.Advance(20 * time.Second)
		c.stepDuty(next)
	}
	c.stepDuty(n)
	c.store.beforeCall = nil
}

func (c *cluster) finishRandom(n *node) {
	ws := lagoonhead.WorkspaceID(fmt.Sprint("w", c.draw("workspace", 2)))
	n.finish(lagoonhead.WorkspaceUsage{
		Workspace: ws, Requests: 1,
		PromptTokens: int64(c.draw("prompt", 100)), OutputTokens: int64(c.draw("output", 100)),
	})
}

func (c *cluster) step() {
	n := c.nodes[c.draw("vm", len(c.nodes)-1)]
	switch c.draw("action", 11) {
	case 0:
		c.replace(n.vm)
	case 1:
		n.disconnected = !n.disconnected
	case 2:
		c.store.down = !c.store.down
	case 3:
		c.giveDuty(n)
	case 4:
		if c.holder != nil && c.holder != n {
			c.pause(n)
		}
	case 5:
		c.clock.Advance(time.Duration(c.draw("seconds", 40)) * time.Second)
	case 6:
		if len(c.store.delayed) > 0 {
			_, _ = c.store.apply(c.store.delayed[0])
			c.store.delayed = c.store.delayed[1:]
		}
	case 7:
		n.save()
	case 8:
		if c.holder != nil {
			c.stepDuty(c.holder)
		}
	default:
		c.finishRandom(n)
	}
}

// recoverAll ends all faults and runs the daemons until all usage must have been billed.
func (c *cluster) recoverAll() {
	c.store.down = false
	c.store.outcome = func() int { return 0 }
	c.platform.outcome = c.store.outcome
	for _, r := range c.store.delayed {
		_, _ = c.store.apply(r)
	}
	c.giveDuty(c.nodes[0])
	for range 4 {
		c.clock.Advance(30 * time.Second)
		for _, n := range c.nodes {
			n.disconnected = false
			n.save()
		}
		c.stepDuty(c.holder)
	}
}

// Guards against usage that is lost or billed twice, and against a window that is
// reported with two different figures, under any sequence of faults.
func TestUsageIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 4)
		c.giveDuty(c.nodes[0])
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			c.step()
		}
		c.recoverAll()
		require.Empty(t, c.platform.conflicts)
		billed := c.platform.billed()
		for ws, u := range billed {
			require.LessOrEqual(t, u.PromptTokens, c.maxBilled[ws].PromptTokens)
			require.LessOrEqual(t, u.OutputTokens, c.maxBilled[ws].OutputTokens)
			require.LessOrEqual(t, u.Requests, c.maxBilled[ws].Requests)
		}
		for ws, u := range c.minBilled {
			require.GreaterOrEqual(t, billed[ws].PromptTokens, u.PromptTokens)
			require.GreaterOrEqual(t, billed[ws].OutputTokens, u.OutputTokens)
			require.GreaterOrEqual(t, billed[ws].Requests, u.Requests)
		}
	})
}

// Guards against a report by a daemon that has lost the duty while LoseDuty has not been
// called yet.
func TestNoReportWithoutAuthority(t *testing.T) {
	clock := timer.NewManual(0, time.Unix(1e9, 0))
	none := func() int { return 0 }
	p := &platform{windows: map[string]lagoonhead.UsageWindow{}, outcome: none}
	r := &Reporter{
		Incarnation: "a", Timer: clock, Usage: p, Window: 20 * time.Second,
		Store: &memoryStore{entries: map[string]lagoonhead.Entry{}, outcome: none},
	}
	r.init()
	r.GainDuty(func() error { return storeFault(lagoonhead.KindStale) })
	for range 3 {
		require.True(t, lagoonhead.IsKind(r.step(context.Background()), lagoonhead.KindStale))
		clock.Advance(30 * time.Second)
	}
	require.Empty(t, p.windows)
	r.GainDuty(func() error { return nil })
	require.NoError(t, r.step(context.Background()))
	require.NotEmpty(t, p.windows)
}

// Guards against totals of an ended process that are billed again, or subtracted, when
// they are added to the sealed window and their key is deleted.
func TestRetiredTotalsAreKept(t *testing.T) {
	use := []lagoonhead.WorkspaceUsage{{Workspace: "a", PromptTokens: 5, Requests: 1}}
	present := map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage{"x": use, "y": use}
	first := seal(SealedWindow{}, present, nil, time.Unix(100, 0))
	require.EqualValues(t, 10, first.Usage[0].PromptTokens)
	second := seal(first, present, []lagoonhead.Incarnation{"x"}, time.Unix(50, 0))
	require.Empty(t, second.Usage)
	require.Equal(t, first.End, second.End)
	delete(present, "x")
	third := seal(second, present, nil, time.Unix(200, 0))
	require.Empty(t, third.Usage)
	present["x"] = use
	require.Empty(t, seal(third, present, nil, time.Unix(300, 0)).Usage)
}

// slowBuddy is a buddy that handles each call after a delay.
type slowBuddy struct {
	recorder *Recorder
	delay    time.Duration
	calls    atomic.Int64
}

func (p *slowBuddy) Buddy() (Buddy, bool) {
	return Buddy{VM: "b", Incarnation: "b1", Commands: p}, true
}

func (p *slowBuddy) HandUsage(ctx context.Context, r *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	p.calls.Add(1)
	select {
	case <-time.After(p.delay):
		return p.recorder.HandUsage(ctx, r)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against responses that end before the buddy has the copy or that wait too long
// for a buddy that doesn't answer, and against one call per request.
func TestRecordWaitsForTheCopy(t *testing.T) {
	for _, c := range []struct {
		delay, wait time.Duration
		copies      int64
	}{
		{5 * time.Millisecond, 10 * time.Millisecond, 100},
		{time.Minute, copyWait, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			clock := timer.NewManual(0, time.Unix(0, 0))
			p := &slowBuddy{recorder: &Recorder{Timer: clock}, delay: c.delay}
			r := &Recorder{VM: "a", Incarnation: "a1", Timer: clock, Buddies: p}
			r.init()
			ctx, cancel := context.WithCancel(context.Background())
			var w sync.WaitGroup
			w.Go(func() { r.runSend(ctx) })
			began := time.Now()
			var requests sync.WaitGroup
			for range 100 {
				requests.Go(func() { r.Record(ctx, lagoonhead.WorkspaceUsage{Workspace: "w", Requests: 1}) })
			}
			requests.Wait()
			require.LessOrEqual(t, time.Since(began), c.wait) // measured by the fake clock of synctest
			require.Equal(t, c.copies, r.counters.copied.Value())
			require.LessOrEqual(t, p.calls.Load(), int64(2))
			if c.copies > 0 {
				require.EqualValues(t, 100, p.recorder.copies["a1"].totals["w"].Requests)
			}
			cancel()
			w.Wait()
		})
	}
}

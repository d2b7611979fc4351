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

// TestMain fixes the seed, so that every run gives the same verdict.
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

// memoryStore is a store whose answers can be lost and whose writes can be
// delayed until the writer has gone on.
type memoryStore struct {
	lagoonhead.Store
	entries  map[string]lagoonhead.Entry
	revision int64
	down     bool
	fate     func() int // 0: in order, 1: answer lost, 2: write delayed, 3: write lost
	delayed  []lagoonhead.PutRequest
	before   func(key string) // runs before each call
}

func (s *memoryStore) begin(key string) {
	if s.before != nil {
		s.before(key)
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
	switch s.fate() {
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

// platform is the oracle's view of the reports.
type platform struct {
	windows map[string]lagoonhead.UsageWindow
	clashes []string
	fate    func() int // 1: answer lost, 3: report lost
}

func (p *platform) Report(_ context.Context, w lagoonhead.UsageWindow) error {
	fate := p.fate()
	if fate == 3 {
		return storeFault(lagoonhead.KindUnknown)
	}
	former, ok := p.windows[w.Window]
	if ok && !slices.Equal(former.Usage, w.Usage) {
		p.clashes = append(p.clashes, fmt.Sprintf("window %s: %v and %v", w.Window, former.Usage, w.Usage))
		return storeFault(lagoonhead.KindConflict)
	}
	p.windows[w.Window] = w
	if fate == 1 {
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

// world is a few daemons with one store and one platform.
type world struct {
	t        *rapid.T
	clock    *timer.Manual
	store    *memoryStore
	platform *platform
	vms      []*node
	started  int
	least    totals // usage that must be billed
	most     totals // usage that may be billed
	holder   *node
}

type node struct {
	world    *world
	vm       int
	cut      bool
	recorder *Recorder
	reporter *Reporter
	unsafe   []lagoonhead.WorkspaceUsage // counted, with neither the buddy nor the store
}

func (w *world) draw(label string, hi int) int { return rapid.IntRange(0, hi).Draw(w.t, label) }

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t, clock: timer.NewManual(0, time.Unix(1e9, 0)), least: totals{}, most: totals{}}
	seed := uint32(w.draw("seed", 1<<20))
	fate := func() int {
		seed = seed*1664525 + 1013904223
		return max(0, int(seed>>28)-12)
	}
	w.store = &memoryStore{entries: map[string]lagoonhead.Entry{}, fate: fate}
	w.platform = &platform{windows: map[string]lagoonhead.UsageWindow{}, fate: fate}
	w.vms = make([]*node, n)
	for i := range w.vms {
		w.start(i)
	}
	return w
}

func (w *world) start(vm int) {
	w.started++
	in := lagoonhead.Incarnation(fmt.Sprint("in", w.started))
	n := &node{world: w, vm: vm}
	n.recorder = &Recorder{VM: lagoonhead.VMID(strconv.Itoa(vm)), Incarnation: in, Timer: w.clock, Store: w.store, Buddies: n}
	n.reporter = &Reporter{Incarnation: in, Timer: w.clock, Store: w.store, Usage: w.platform, Window: 20 * time.Second}
	n.recorder.init()
	n.reporter.init()
	w.vms[vm] = n
}

func (n *node) Buddy() (Buddy, bool) {
	b := n.world.vms[(n.vm+1)%len(n.world.vms)]
	return Buddy{b.recorder.VM, b.recorder.Incarnation, link{n, b}}, true
}

// link is the connection of a daemon to its buddy.
type link struct{ from, to *node }

func (l link) HandUsage(ctx context.Context, r *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	if l.from.cut || l.to.cut {
		return nil, storeFault(lagoonhead.KindUnavailable)
	}
	return l.to.recorder.HandUsage(ctx, r)
}

// finish counts a request at a daemon.
func (n *node) finish(u lagoonhead.WorkspaceUsage) {
	n.world.most.add(u)
	done := n.recorder.count(u)
	n.unsafe = append(n.unsafe, u)
	n.recorder.hand(context.Background())
	select {
	case <-done:
		n.safe()
	default:
	}
}

// safe notes that what this daemon has counted survives it.
func (n *node) safe() {
	n.world.least.addAll(n.unsafe)
	n.unsafe = nil
}

func (n *node) save() {
	n.recorder.save(context.Background())
	if n.recorder.written {
		n.safe()
	}
	n.recorder.rescue(context.Background(), copyAge)
	n.recorder.sendBeat()
	if n.recorder.hand(context.Background()) {
		n.safe()
	}
}

// replace kills a daemon and starts another on its VM. Its buddy and the daemon
// whose copy it holds write first, since nothing promises to survive the loss of
// a daemon and its buddy together.
func (w *world) replace(vm int) {
	down := w.store.down
	w.store.down = false
	w.clock.Advance(copyAge)
	fate := w.store.fate
	w.store.fate = func() int { return 0 }
	for i, n := range w.vms {
		if i != vm {
			n.save()
		}
	}
	w.store.fate, w.store.down = fate, down
	if w.holder == w.vms[vm] {
		w.holder = nil
	}
	w.start(vm)
}

func (w *world) hold(n *node) {
	if w.holder != nil {
		w.holder.reporter.Lose()
	}
	w.holder = n
	n.reporter.Gain(func() error {
		if w.holder != n {
			return storeFault(lagoonhead.KindStale)
		}
		return nil
	})
}

func (w *world) duty(n *node) { _ = n.reporter.step(context.Background()) }

// maxPause bounds the calls that a holder makes before it is paused.
const maxPause = 4

// pause stops the holder before one of its next calls of the store, reads included.
// Another daemon takes the duty, works, and then the former one goes on.
func (w *world) pause(next *node) {
	n := w.holder
	w.clock.Advance(20 * time.Second)
	left := w.draw("calls before the pause", maxPause)
	w.store.before = func(key string) {
		if !strings.HasPrefix(key, SealedPrefix) && !strings.HasPrefix(key, TotalsPrefix) {
			return
		}
		if left > 0 {
			left--
			return
		}
		w.store.before = nil
		w.holder = next // the former holder has not noticed
		next.reporter.Gain(func() error { return nil })
		w.finishSome(next)
		next.save()
		w.duty(next)
		w.clock.Advance(20 * time.Second)
		w.duty(next)
	}
	w.duty(n)
	w.store.before = nil
}

func (w *world) finishSome(n *node) {
	ws := lagoonhead.WorkspaceID(fmt.Sprint("w", w.draw("workspace", 2)))
	n.finish(lagoonhead.WorkspaceUsage{
		Workspace: ws, Requests: 1,
		PromptTokens: int64(w.draw("prompt", 100)), OutputTokens: int64(w.draw("output", 100)),
	})
}

func (w *world) step() {
	n := w.vms[w.draw("vm", len(w.vms)-1)]
	switch w.draw("action", 11) {
	case 0:
		w.replace(n.vm)
	case 1:
		n.cut = !n.cut
	case 2:
		w.store.down = !w.store.down
	case 3:
		w.hold(n)
	case 4:
		if w.holder != nil && w.holder != n {
			w.pause(n)
		}
	case 5:
		w.clock.Advance(time.Duration(w.draw("seconds", 40)) * time.Second)
	case 6:
		if len(w.store.delayed) > 0 {
			_, _ = w.store.apply(w.store.delayed[0])
			w.store.delayed = w.store.delayed[1:]
		}
	case 7:
		n.save()
	case 8:
		if w.holder != nil {
			w.duty(w.holder)
		}
	default:
		w.finishSome(n)
	}
}

// settle lets everything work again until all usage must have been billed.
func (w *world) settle() {
	w.store.down = false
	w.store.fate = func() int { return 0 }
	w.platform.fate = w.store.fate
	for _, r := range w.store.delayed {
		_, _ = w.store.apply(r)
	}
	w.hold(w.vms[0])
	for range 4 {
		w.clock.Advance(30 * time.Second)
		for _, n := range w.vms {
			n.cut = false
			n.save()
		}
		w.duty(w.holder)
	}
}

// Guards against usage that is lost or billed twice, and against a window that is
// reported with two different figures, whatever fails.
func TestUsageIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		w.hold(w.vms[0])
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		require.Empty(t, w.platform.clashes)
		billed := w.platform.billed()
		for ws, u := range billed {
			require.LessOrEqual(t, u.PromptTokens, w.most[ws].PromptTokens)
			require.LessOrEqual(t, u.OutputTokens, w.most[ws].OutputTokens)
			require.LessOrEqual(t, u.Requests, w.most[ws].Requests)
		}
		for ws, u := range w.least {
			require.GreaterOrEqual(t, billed[ws].PromptTokens, u.PromptTokens)
			require.GreaterOrEqual(t, billed[ws].OutputTokens, u.OutputTokens)
			require.GreaterOrEqual(t, billed[ws].Requests, u.Requests)
		}
	})
}

// Guards against a report by a daemon that has lost the duty and has not been told
// so yet.
func TestNoReportWithoutAuthority(t *testing.T) {
	clock := timer.NewManual(0, time.Unix(1e9, 0))
	none := func() int { return 0 }
	p := &platform{windows: map[string]lagoonhead.UsageWindow{}, fate: none}
	r := &Reporter{
		Incarnation: "a", Timer: clock, Usage: p, Window: 20 * time.Second,
		Store: &memoryStore{entries: map[string]lagoonhead.Entry{}, fate: none},
	}
	r.init()
	r.Gain(func() error { return storeFault(lagoonhead.KindStale) })
	for range 3 {
		require.True(t, lagoonhead.IsKind(r.step(context.Background()), lagoonhead.KindStale))
		clock.Advance(30 * time.Second)
	}
	require.Empty(t, p.windows)
	r.Gain(func() error { return nil })
	require.NoError(t, r.step(context.Background()))
	require.NotEmpty(t, p.windows)
}

// Guards against totals of an ended process that are counted again, or taken off
// the bill, when they are folded into the sealed windows.
func TestRetiredTotalsAreKept(t *testing.T) {
	use := []lagoonhead.WorkspaceUsage{{Workspace: "a", PromptTokens: 5, Requests: 1}}
	present := map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage{"x": use, "y": use}
	first := seal(Sealed{}, present, nil, time.Unix(100, 0))
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

// pacedBuddy is a buddy that takes its time.
type pacedBuddy struct {
	recorder *Recorder
	delay    time.Duration
	calls    atomic.Int64
}

func (p *pacedBuddy) Buddy() (Buddy, bool) {
	return Buddy{VM: "b", Incarnation: "b1", Commands: p}, true
}

func (p *pacedBuddy) HandUsage(ctx context.Context, r *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	p.calls.Add(1)
	select {
	case <-time.After(p.delay):
		return p.recorder.HandUsage(ctx, r)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against answers that end before the buddy has the copy, that wait for a
// silent buddy, and against a call for each request.
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
			p := &pacedBuddy{recorder: &Recorder{Timer: clock}, delay: c.delay}
			r := &Recorder{VM: "a", Incarnation: "a1", Timer: clock, Buddies: p}
			r.init()
			ctx, cancel := context.WithCancel(context.Background())
			var w sync.WaitGroup
			w.Go(func() { r.runHand(ctx) })
			began := time.Now()
			var requests sync.WaitGroup
			for range 100 {
				requests.Go(func() { r.Record(ctx, lagoonhead.WorkspaceUsage{Workspace: "w", Requests: 1}) })
			}
			requests.Wait()
			require.LessOrEqual(t, time.Since(began), c.wait) // the clock of the bubble
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

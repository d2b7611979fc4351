package billing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

const tallyWindow = 5 * time.Second

func newTally(clock timer.Timer, in lagoonhead.Incarnation) *Tally {
	return &Tally{Incarnation: in, Timer: clock, Window: tallyWindow}
}

func requests(list []lagoonhead.WorkspaceUsage) map[lagoonhead.WorkspaceID]int64 {
	m := make(map[lagoonhead.WorkspaceID]int64)
	for _, u := range list {
		m[u.Workspace] = u.Requests
	}
	return m
}

// Guards against counts that are lost, or counted twice, between daemons.
func TestPeersCountsAddUp(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a, b := newTally(clock, "a"), newTally(clock, "b")
	for range 3 {
		a.Began("w")
	}
	b.Began("w")
	window := a.Current()
	for range 2 {
		b.Peer("a", a.Told())
		a.Peer("b", b.Told())
	}
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 4}, requests(a.Sum(window)))
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 4}, requests(b.Sum(window)))
	a.Began("w")
	b.Peer("a", a.Told())
	b.Peer("a", []Count{{"a", window, "w", 2}})
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 5}, requests(b.Sum(window)), "an old count changes nothing")
}

// Guards against counts that end with the process that made them.
func TestPeersPassOnTheCountsOfASilentProcess(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a, b, c := newTally(clock, "a"), newTally(clock, "b"), newTally(clock, "c")
	a.Began("w")
	window := a.Current()
	b.Peer("a", a.Told())
	c.Peer("b", b.Told())
	require.Empty(t, c.Sum(window), "a speaks for itself as long as it is heard")
	clock.Advance(leastSilence + time.Millisecond)
	c.Peer("b", b.Told())
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 1}, requests(c.Sum(window)))
}

// Guards against a Tally that grows without end.
func TestOldWindowsAreForgotten(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	for range 100 {
		a.Began("w")
		clock.Advance(tallyWindow)
	}
	require.LessOrEqual(t, len(a.counts), tallyWindows)
}

// reports keeps what the platform was told.
type reports struct {
	list []lagoonhead.UsageWindow
	fail int
}

func (r *reports) Report(_ context.Context, w lagoonhead.UsageWindow) error {
	r.list = append(r.list, w)
	if r.fail > 0 {
		r.fail--
		return storeFault(lagoonhead.KindUnknown)
	}
	return nil
}

func newReporter(clock timer.Timer, kv lagoonhead.Store, t *Tally, r *reports) *WindowReporter {
	return &WindowReporter{Tally: t, Timer: clock, Store: kv, Usage: r, Authority: func() error { return nil }, Log: zap.NewNop()}
}

// Guards against two reports of one window with different figures, when its holder loses
// an answer or the duty.
func TestAWindowHasOneFigure(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	kv := fakeplatform.NewKV(clock)
	a, b := newTally(clock, "a"), newTally(clock, "b")
	sent := &reports{fail: 1}
	first := newReporter(clock, kv, a, sent)
	second := newReporter(clock, kv, b, sent)
	a.Began("w")
	b.Began("w")
	b.Began("w")
	window := a.Current()
	first.step(t.Context())
	require.Empty(t, sent.list, "the window is open")
	clock.Advance(tallyWindow + settleTime)
	kv.Faults.LoseAnswers(1)
	first.step(t.Context())
	first.step(t.Context())
	require.Len(t, sent.list, 2, "the report whose answer was lost is repeated")
	b.Began("w")
	second.step(t.Context())
	first.step(t.Context())
	require.Len(t, sent.list, 3, "the new holder repeats the window")
	for _, w := range sent.list {
		require.Equal(t, a.End(window).Unix(), w.End.Unix())
		require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 1}, requests(w.Usage), "as sealed first")
	}
}

// Guards against a report by a daemon that has lost the duty.
func TestNoWindowIsReportedWithoutAuthority(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	sent := new(reports)
	r := newReporter(clock, fakeplatform.NewKV(clock), a, sent)
	r.Authority = func() error { return storeFault(lagoonhead.KindStale) }
	a.Began("w")
	clock.Advance(time.Minute)
	r.step(t.Context())
	require.Empty(t, sent.list)
}

// Guards against a clock that was ahead and keeps the windows after it from being reported.
func TestAClockThatWasAheadDoesNotStopTheReports(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	sent := new(reports)
	r := newReporter(clock, fakeplatform.NewKV(clock), a, sent)
	r.next = a.Current() + 50
	a.Began("w")
	clock.Advance(tallyWindow + settleTime)
	r.step(t.Context())
	require.Len(t, sent.list, 1)
}

// Guards against daemons of a large fleet that pass on the counts of peers that are only
// waiting for their turn to speak: heartbeats would grow with the square of the fleet.
func TestALargeFleetPassesOnOnlyWhatIsSilent(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	gap := 2 * time.Second // of 80 VMs that tell five others four times a second
	y := &Tally{Incarnation: "self", Timer: clock, Window: 5 * time.Second, Gap: func() time.Duration { return gap }}
	y.Peer("other", []Count{{Incarnation: "other", Window: y.Current(), Workspace: "w", Requests: 3}})
	clock.Advance(silentGaps * gap)
	require.Empty(t, y.Told())
	clock.Advance(time.Millisecond)
	require.Len(t, y.Told(), 1)
}

// Guards against a window that is sealed before the peers of a large fleet, whose
// heartbeats are seconds apart, have told what they counted.
func TestCountsAreAskedForBeforeAWindowIsSealed(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	holder, quiet := newTally(clock, "holder"), newTally(clock, "quiet")
	sent := new(reports)
	r := newReporter(clock, fakeplatform.NewKV(clock), holder, sent)
	asked := 0
	r.Gather = func() {
		asked++
		holder.Peer("quiet", quiet.Told())
	}
	r.step(t.Context())
	asked = 0 // the window before the first one
	holder.Began("w")
	quiet.Began("w")
	clock.Advance(tallyWindow)
	for range 2 * int(settleTime/windowStep) {
		clock.Advance(windowStep)
		r.step(t.Context())
	}
	require.Equal(t, 1, asked)
	require.Len(t, sent.list, 1)
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(sent.list[0].Usage))
}

// Guards against a window that is never reported because all VMs lost power between its end
// and its report, and against counts that come twice when only the holder changes.
func TestCountsOutliveAllDaemons(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	kv := fakeplatform.NewKV(clock)
	first, other := newTally(clock, "first"), newTally(clock, "other")
	sent := new(reports)
	r := newReporter(clock, kv, first, sent)
	first.Began("w")
	other.Began("w")
	first.Peer("other", other.Told())
	clock.Advance(openInterval)
	r.step(t.Context())
	clock.Advance(tallyWindow)
	require.Empty(t, sent.list, "the window is not sealed yet")

	// Only the holder is gone: the next one has the counts of the other process already.
	again := newTally(clock, "other")
	again.Peer("first", first.Told())
	again.Peer("third", other.Told())
	require.True(t, newReporter(clock, kv, again, sent).loadOpen(t.Context()))
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(again.Sum(again.Current()-1)))

	// All are gone.
	after := newTally(clock, "after")
	kv.Faults.SetOutage(true)
	next := newReporter(clock, kv, after, sent)
	clock.Advance(settleTime)
	next.step(t.Context())
	require.Empty(t, sent.list, "nothing is sealed before the kept counts are known")
	kv.Faults.SetOutage(false)
	next.step(t.Context())
	require.Len(t, sent.list, 1)
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(sent.list[0].Usage))
	require.NotEmpty(t, after.Told(), "peers do not hear of the processes that are gone")
}

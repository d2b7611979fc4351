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

// Guards against counts that are lost or added twice when daemons exchange them.
func TestPeersCountsAddUp(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a, b := newTally(clock, "a"), newTally(clock, "b")
	for range 3 {
		a.CountRequest("w")
	}
	b.CountRequest("w")
	window := a.Current()
	for range 2 {
		b.MergePeer("a", a.CountsToSend())
		a.MergePeer("b", b.CountsToSend())
	}
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 4}, requests(a.Sum(window)))
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 4}, requests(b.Sum(window)))
	a.CountRequest("w")
	b.MergePeer("a", a.CountsToSend())
	b.MergePeer("a", []Count{{"a", window, "w", 2}})
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 5}, requests(b.Sum(window)), "an older count has no effect")
}

// Guards against counts that are lost with the process that counted them.
func TestPeersPassOnTheCountsOfASilentProcess(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a, b, c := newTally(clock, "a"), newTally(clock, "b"), newTally(clock, "c")
	a.CountRequest("w")
	window := a.Current()
	b.MergePeer("a", a.CountsToSend())
	c.MergePeer("b", b.CountsToSend())
	require.Empty(t, c.Sum(window), "b does not pass on the counts of a until a is silent")
	clock.Advance(minSilence + time.Millisecond)
	c.MergePeer("b", b.CountsToSend())
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 1}, requests(c.Sum(window)))
}

// Guards against a window of a large fleet that lacks the counts of daemons which do not
// exchange heartbeats with the holder of the duty, or of a process that has ended, and
// against counts that are added twice when a daemon changes its hub.
func TestCountsAreFetchedFromHubs(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	attached, hub, other, holder := newTally(clock, "a"), newTally(clock, "h"), newTally(clock, "o"), newTally(clock, "r")
	attached.CountRequest("w")
	hub.MergePeer("a", attached.OwnCounts())
	attached.CountRequest("w")
	other.MergePeer("a", attached.OwnCounts())
	sent := new(reportLog)
	r := newReporter(clock, fakeplatform.NewKV(clock), holder, sent)
	r.FetchCounts = func(_ context.Context, oldest int64) {
		holder.Merge(hub.Counts(oldest))
		holder.Merge(other.Counts(oldest))
	}
	clock.Advance(tallyWindow + sealDelay)
	r.step(t.Context())
	require.Len(t, sent.list, 1)
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(sent.list[0].Usage))
}

// Guards against a heartbeat to a hub that grows with the time.
func TestOwnCountsAreThoseOfNewWindows(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	a.MergePeer("b", []Count{{"b", a.Current(), "w", 1}})
	for range 10 {
		a.CountRequest("w")
		clock.Advance(tallyWindow)
	}
	require.Len(t, a.OwnCounts(), sentWindows-1, "the open window has no request")
}

// Guards against a Tally that grows without bound.
func TestOldWindowsAreForgotten(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	for range 100 {
		a.CountRequest("w")
		clock.Advance(tallyWindow)
	}
	require.LessOrEqual(t, len(a.counts), tallyWindows)
}

// reportLog is a platform that records reports and loses the responses to the first of them.
type reportLog struct {
	list     []lagoonhead.UsageWindow
	failures int
}

func (r *reportLog) Report(_ context.Context, w lagoonhead.UsageWindow) error {
	r.list = append(r.list, w)
	if r.failures > 0 {
		r.failures--
		return storeFault(lagoonhead.KindUnknown)
	}
	return nil
}

func newReporter(clock timer.Timer, kv lagoonhead.Store, t *Tally, r *reportLog) *WindowReporter {
	return &WindowReporter{Tally: t, Timer: clock, Store: kv, Usage: r, Authority: func() error { return nil }, Log: zap.NewNop()}
}

// Guards against two reports of one window with different figures, when a response to the
// holder of the duty is lost or the holder changes.
func TestAWindowHasOneFigure(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	kv := fakeplatform.NewKV(clock)
	a, b := newTally(clock, "a"), newTally(clock, "b")
	sent := &reportLog{failures: 1}
	first := newReporter(clock, kv, a, sent)
	second := newReporter(clock, kv, b, sent)
	a.CountRequest("w")
	b.CountRequest("w")
	b.CountRequest("w")
	window := a.Current()
	first.step(t.Context())
	require.Empty(t, sent.list, "the window is open")
	clock.Advance(tallyWindow + sealDelay)
	kv.Faults.LoseAnswers(1)
	first.step(t.Context())
	first.step(t.Context())
	require.Len(t, sent.list, 2, "the report whose response was lost is retried")
	b.CountRequest("w")
	second.step(t.Context())
	first.step(t.Context())
	require.Len(t, sent.list, 3, "the new holder reports the window again")
	for _, w := range sent.list {
		require.Equal(t, a.End(window).Unix(), w.End.Unix())
		require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 1}, requests(w.Usage), "the figures of the first seal")
	}
}

// Guards against a second report of a window with other figures after the store came back from
// a copy without its seal, by the process that sealed it and by another.
func TestARestoreOpensNoWindowAgain(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	kv := fakeplatform.NewKV(clock)
	a, b := newTally(clock, "a"), newTally(clock, "b")
	sent := new(reportLog)
	a.CountRequest("w")
	window := a.Current()
	clock.Advance(tallyWindow + sealDelay)
	backup := kv.Backup()
	newReporter(clock, kv, a, sent).step(t.Context())
	require.Len(t, sent.list, 1)
	b.Merge([]Count{{Incarnation: "a", Window: window, Workspace: "w", Requests: 1}, {Incarnation: "c", Window: window, Workspace: "w", Requests: 5}})
	a.Merge([]Count{{Incarnation: "c", Window: window, Workspace: "w", Requests: 5}})

	kv.Restore(backup)
	other := newReporter(clock, kv, b, sent)
	other.KeptFrom = clock.Wall()
	other.step(t.Context())
	require.Len(t, sent.list, 1, "the other process cannot know the figures")
	again := newReporter(clock, kv, a, sent)
	again.KeptFrom = clock.Wall()
	again.step(t.Context())
	require.Len(t, sent.list, 2)
	require.Equal(t, sent.list[0], sent.list[1])

	b.CountRequest("w")
	clock.Advance(2*tallyWindow + sealDelay)
	other.step(t.Context())
	require.Len(t, sent.list, 3, "the window after the restore")
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 1}, requests(sent.list[2].Usage))
}

// Guards against a report by a daemon that has lost the duty.
func TestNoWindowIsReportedWithoutAuthority(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	sent := new(reportLog)
	r := newReporter(clock, fakeplatform.NewKV(clock), a, sent)
	r.Authority = func() error { return storeFault(lagoonhead.KindStale) }
	a.CountRequest("w")
	clock.Advance(time.Minute)
	r.step(t.Context())
	require.Empty(t, sent.list)
}

// Guards against windows that are never reported after a clock that was ahead is set back.
func TestAClockThatWasAheadDoesNotStopTheReports(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	a := newTally(clock, "a")
	sent := new(reportLog)
	r := newReporter(clock, fakeplatform.NewKV(clock), a, sent)
	r.nextWindow = a.Current() + 50
	a.CountRequest("w")
	clock.Advance(tallyWindow + sealDelay)
	r.step(t.Context())
	require.Len(t, sent.list, 1)
}

// Guards against daemons of a large fleet that pass on the counts of peers whose next
// heartbeat is merely not due yet: the heartbeats of all daemons together would grow with
// the square of the number of daemons.
func TestALargeFleetPassesOnOnlyWhatIsSilent(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	gap := 2 * time.Second // in a fleet of 80 VMs, each of which sends heartbeats to five others four times a second
	tally := &Tally{Incarnation: "self", Timer: clock, Window: 5 * time.Second, PeerInterval: func() time.Duration { return gap }}
	tally.MergePeer("other", []Count{{Incarnation: "other", Window: tally.Current(), Workspace: "w", Requests: 3}})
	clock.Advance(minSilentGaps * gap)
	require.Empty(t, tally.CountsToSend())
	clock.Advance(time.Millisecond)
	require.Len(t, tally.CountsToSend(), 1)
}

// Guards against a window that is sealed before the peers of a large fleet, whose
// heartbeats are seconds apart, have sent their counts.
func TestCountsAreAskedForBeforeAWindowIsSealed(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	holder, quiet := newTally(clock, "holder"), newTally(clock, "quiet")
	sent := new(reportLog)
	r := newReporter(clock, fakeplatform.NewKV(clock), holder, sent)
	asked := 0
	r.GatherCounts = func() {
		asked++
		holder.MergePeer("quiet", quiet.CountsToSend())
	}
	r.step(t.Context())
	asked = 0 // ignore the request for the window before the first one
	holder.CountRequest("w")
	quiet.CountRequest("w")
	clock.Advance(tallyWindow)
	for range 2 * int(sealDelay/windowStep) {
		clock.Advance(windowStep)
		r.step(t.Context())
	}
	require.Equal(t, 1, asked)
	require.Len(t, sent.list, 1)
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(sent.list[0].Usage))
}

// Guards against a window that is never reported because all VMs lose power between its end
// and its report, and against counts that are added twice when only the holder changes.
func TestCountsOutliveAllDaemons(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(1000, 0))
	kv := fakeplatform.NewKV(clock)
	first, other := newTally(clock, "first"), newTally(clock, "other")
	sent := new(reportLog)
	r := newReporter(clock, kv, first, sent)
	first.CountRequest("w")
	other.CountRequest("w")
	first.MergePeer("other", other.CountsToSend())
	clock.Advance(openInterval)
	r.step(t.Context())
	clock.Advance(tallyWindow)
	require.Empty(t, sent.list, "the window is not sealed yet")

	// Only the holder is lost: the next one already has the counts of the other process.
	successor := newTally(clock, "other")
	successor.MergePeer("first", first.CountsToSend())
	successor.MergePeer("third", other.CountsToSend())
	require.True(t, newReporter(clock, kv, successor, sent).loadOpen(t.Context()))
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(successor.Sum(successor.Current()-1)))

	// All processes are lost.
	after := newTally(clock, "after")
	kv.Faults.SetOutage(true)
	next := newReporter(clock, kv, after, sent)
	clock.Advance(sealDelay)
	next.step(t.Context())
	require.Empty(t, sent.list, "nothing is sealed before the stored counts are restored")
	kv.Faults.SetOutage(false)
	next.step(t.Context())
	require.Len(t, sent.list, 1)
	require.Equal(t, map[lagoonhead.WorkspaceID]int64{"w": 2}, requests(sent.list[0].Usage))
	require.NotEmpty(t, after.CountsToSend(), "the counts of lost processes must be passed on to peers")
}

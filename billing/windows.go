package billing

import (
	"context"
	"expvar"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// WindowPrefix is the prefix of the keys of windows sealed by a WindowReporter; the number
// of the window follows it.
const WindowPrefix = "usage/window/"

const (
	// windowStep is the time between two checks whether a window has ended or a report
	// must be retried.
	windowStep = 250 * time.Millisecond
	// sealDelay is the time from the end of a window until it is sealed: by then the counts
	// of all daemons have arrived with their heartbeats, even if one heartbeat was lost.
	sealDelay = 1500 * time.Millisecond
	// gatherDelay is the time from the end of a window until its counts are requested from
	// all peers. In a large fleet it takes seconds until each peer has sent a heartbeat.
	gatherDelay = 500 * time.Millisecond
	// keepWindows is the number of sealed windows that stay in the store. A new holder
	// needs the last tallyWindows.
	keepWindows = 3 * tallyWindows
)

// WindowReporter seals the windows of a Tally in the store and reports them, while this
// daemon holds the duty. A sealed window never changes, so that each report of it has the
// same figures, whichever daemon sends it. The exported fields are set before Run.
type WindowReporter struct {
	Tally *Tally
	Timer timer.Timer
	Store lagoonhead.Store
	Usage lagoonhead.UsageReporter
	// Authority returns nil while this daemon may report.
	Authority func() error
	// KeptFrom is the time before which the store may have lost sealed windows, because it was
	// restored from a copy; see lease.Tenure.
	KeptFrom time.Time
	// GatherCounts makes all peers send their counts. Optional.
	GatherCounts func()
	// FetchCounts merges the counts that other daemons have, from a window on, into the
	// Tally. It is for fleets in which heartbeats do not bring them. Optional.
	FetchCounts func(ctx context.Context, oldest int64)
	Log         *zap.Logger

	nextWindow int64
	gathered   int64 // newest window whose counts were requested
	restored   bool  // whether the counts stored by the former holder have been restored
	nextSave   time.Duration
	nextFetch  time.Duration
	vars       expvar.Map
}

// Vars returns the counters: windows sealed here (sealed) and by another daemon (adopted),
// reports accepted (reported), windows that may have been reported with figures that are lost
// (inDoubt), failed attempts to seal or report (failed) and failed writes of open counts
// (openNotSaved).
func (r *WindowReporter) Vars() *expvar.Map { return &r.vars }

// Run seals and reports windows until ctx ends.
func (r *WindowReporter) Run(ctx context.Context) error {
	if r.Log == nil {
		r.Log = zap.NewNop()
	}
	timer.Every(ctx, r.Timer, windowStep, func(time.Duration) { r.step(ctx) })
	return nil
}

// step seals and reports the windows that have ended, the oldest first.
func (r *WindowReporter) step(ctx context.Context) {
	if r.Authority() != nil || !r.loadOpen(ctx) {
		return
	}
	current := r.Tally.Current()
	r.fetch(ctx, current)
	r.saveOpen(ctx)
	r.gather(current - 1)
	// If the clock was ahead and has been set back, go on with the present windows.
	if r.nextWindow == 0 || r.nextWindow > current+1 || r.nextWindow <= current-tallyWindows {
		r.nextWindow = current - tallyWindows + 1
	}
	for ; r.nextWindow < current; r.nextWindow++ {
		if r.Timer.Wall().Before(r.Tally.End(r.nextWindow).Add(sealDelay)) {
			return
		}
		if err := r.report(ctx, r.nextWindow); err != nil {
			r.vars.Add("failed", 1)
			r.Log.Warn("usage window not reported", zap.Int64("window", r.nextWindow), zap.Error(err))
			return
		}
	}
}

// fetch merges the counts that other daemons have of the windows that are stored as open.
func (r *WindowReporter) fetch(ctx context.Context, current int64) {
	if r.FetchCounts == nil || r.Timer.Now() < r.nextFetch {
		return
	}
	r.nextFetch = r.Timer.Now() + openInterval
	r.FetchCounts(ctx, current-openWindows+1)
}

// gather requests the counts of window n from the peers, once, gatherDelay after its end.
func (r *WindowReporter) gather(n int64) {
	if r.GatherCounts == nil || n == r.gathered || r.Timer.Wall().Before(r.Tally.End(n).Add(gatherDelay)) {
		return
	}
	r.gathered = n
	r.GatherCounts()
}

func windowKey(n int64) string { return WindowPrefix + strconv.FormatInt(n, 10) }

func (r *WindowReporter) report(ctx context.Context, n int64) error {
	usage, err := r.seal(ctx, n)
	if err != nil || len(usage) == 0 {
		return err
	}
	end := r.Tally.End(n)
	err = r.Usage.Report(ctx, lagoonhead.UsageWindow{
		Window: strconv.FormatInt(n, 10), Start: end.Add(-r.Tally.Window), End: end, Usage: usage,
	})
	if err != nil {
		return err
	}
	r.vars.Add("reported", 1)
	r.Log.Info("usage window reported", zap.Int64("window", n), zap.Any("usage", usage))
	if err := r.Store.Delete(ctx, windowKey(n-keepWindows), lagoonhead.AnyRevision); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		r.Log.Debug("old usage window not deleted", zap.Int64("window", n-keepWindows), zap.Error(err))
	}
	return nil
}

// seal stores the figures of a window if it is absent, and returns the stored ones. A
// window without requests is not stored.
func (r *WindowReporter) seal(ctx context.Context, n int64) ([]lagoonhead.WorkspaceUsage, error) {
	usage, known := r.Tally.sealedFigures(n)
	if !known {
		if usage = r.Tally.Sum(n); len(usage) == 0 {
			return nil, nil
		}
		if r.Tally.End(n).Before(r.KeptFrom) {
			return r.stored(ctx, n)
		}
	}
	_, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: windowKey(n), Value: encode(usage), IfRevision: 0})
	if err == nil {
		r.vars.Add("sealed", 1)
		r.Tally.setSealed(n, usage)
		return usage, nil
	}
	if !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return nil, err
	}
	return r.stored(ctx, n)
}

// stored returns the figures of a window in the store. A window that ended before KeptFrom and
// is not there may have been sealed and reported with figures that are lost, so it has none.
func (r *WindowReporter) stored(ctx context.Context, n int64) ([]lagoonhead.WorkspaceUsage, error) {
	e, err := r.Store.Get(ctx, windowKey(n))
	if lagoonhead.IsKind(err, lagoonhead.KindNotFound) && r.Tally.End(n).Before(r.KeptFrom) {
		r.vars.Add("inDoubt", 1)
		r.Log.Warn("usage window not reported: the store was restored, and it may have been reported before", zap.Int64("window", n))
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var present []lagoonhead.WorkspaceUsage
	if err := decode("billing.window", e.Value, &present); err != nil {
		return nil, err
	}
	r.vars.Add("adopted", 1)
	r.Tally.setSealed(n, present)
	return present, nil
}

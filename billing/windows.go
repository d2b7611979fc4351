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

// WindowPrefix begins the keys of the windows that were sealed by a WindowReporter.
const WindowPrefix = "usage/window/"

const (
	// windowStep is how often the duty looks whether a window has ended or a report is
	// to be repeated.
	windowStep = 250 * time.Millisecond
	// settleTime is how long after its end a window is sealed: by then the counts of all
	// daemons have come with their heartbeats, also when one of those was lost.
	settleTime = 1500 * time.Millisecond
	// gatherTime is how long after its end the counts of a window are asked for. In a
	// large fleet heartbeats alone take seconds to come from everyone.
	gatherTime = 500 * time.Millisecond
	// keepWindows is the number of sealed windows that stay in the store. A new holder
	// looks back tallyWindows.
	keepWindows = 3 * tallyWindows
)

// WindowReporter seals the windows of a Tally in the store and reports them, while this
// daemon holds the duty. What is sealed does not change, so that each report of a window
// has the same figures, whoever sends it. The exported fields are set before Run.
type WindowReporter struct {
	Tally *Tally
	Timer timer.Timer
	Store lagoonhead.Store
	Usage lagoonhead.UsageReporter
	// Authority returns nil while this daemon may report.
	Authority func() error
	// Gather has every peer tell its counts. Optional.
	Gather func()
	Log    *zap.Logger

	next     int64
	gathered int64 // newest window whose counts were asked for
	loaded   bool  // the counts that the former holder kept were taken in
	saveNext time.Duration
	vars     expvar.Map
}

// Vars returns the counters sealed, adopted, reported, failed and openNotSaved.
func (r *WindowReporter) Vars() *expvar.Map { return &r.vars }

// Run seals and reports until ctx ends.
func (r *WindowReporter) Run(ctx context.Context) error {
	if r.Log == nil {
		r.Log = zap.NewNop()
	}
	timer.Every(ctx, r.Timer, windowStep, func(time.Duration) { r.step(ctx) })
	return nil
}

// step reports the windows that have ended, the oldest first.
func (r *WindowReporter) step(ctx context.Context) {
	if r.Authority() != nil || !r.loadOpen(ctx) {
		return
	}
	r.saveOpen(ctx)
	current := r.Tally.Current()
	r.gather(current - 1)
	// A clock that was ahead must not keep this daemon from reporting.
	if r.next == 0 || r.next > current+1 || r.next <= current-tallyWindows {
		r.next = current - tallyWindows + 1
	}
	for ; r.next < current; r.next++ {
		if r.Timer.Wall().Before(r.Tally.End(r.next).Add(settleTime)) {
			return
		}
		if err := r.report(ctx, r.next); err != nil {
			r.vars.Add("failed", 1)
			r.Log.Warn("usage window not reported", zap.Int64("window", r.next), zap.Error(err))
			return
		}
	}
}

// gather asks once for the counts of the window that has ended last.
func (r *WindowReporter) gather(n int64) {
	if r.Gather == nil || n == r.gathered || r.Timer.Wall().Before(r.Tally.End(n).Add(gatherTime)) {
		return
	}
	r.gathered = n
	r.Gather()
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

// seal writes the figures of a window once and returns what the store has then. A window
// without requests is not written.
func (r *WindowReporter) seal(ctx context.Context, n int64) ([]lagoonhead.WorkspaceUsage, error) {
	usage := r.Tally.Sum(n)
	if len(usage) == 0 {
		return nil, nil
	}
	_, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: windowKey(n), Value: encode(usage), IfRevision: 0})
	if err == nil {
		r.vars.Add("sealed", 1)
		return usage, nil
	}
	if !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return nil, err
	}
	e, err := r.Store.Get(ctx, windowKey(n))
	if err != nil {
		return nil, err
	}
	var present []lagoonhead.WorkspaceUsage
	if err := decode("billing.window", e.Value, &present); err != nil {
		return nil, err
	}
	r.vars.Add("adopted", 1)
	return present, nil
}

package billing

import (
	"context"
	"expvar"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	defaultWindow = time.Minute
	// stepInterval is the time between two checks whether a window is due or a report
	// must be retried.
	stepInterval = 2 * time.Second
	// reportTimeout bounds one report to the platform.
	reportTimeout = 5 * time.Second
	// keepSealed is the number of sealed windows that stay in the store. Only the
	// newest is read.
	keepSealed = 5
	// retireAfter is how long the stored totals of an incarnation must not have been
	// written before they are added to the sealed window and deleted. Each daemon writes
	// its totals at least every touchInterval while it runs.
	retireAfter = 24 * time.Hour
)

// Reporter performs the usage duty while this daemon holds it: it seals and reports
// windows. Its exported fields are set before Run.
type Reporter struct {
	Incarnation lagoonhead.Incarnation
	Timer       timer.Timer
	Store       lagoonhead.Store
	Usage       lagoonhead.UsageReporter
	// Window is the length of a window; 0 means one minute.
	Window time.Duration
	Log    *zap.Logger

	once     sync.Once
	counters reporterCounters

	mu        sync.Mutex
	authority func() error // nil while the duty is not held
	cancel    context.CancelFunc

	// Only the goroutine of Run uses the fields below.
	reported int64 // number of the newest window that the platform has accepted
	seen     map[lagoonhead.Incarnation]revisionSeen
}

// revisionSeen is the newest revision of the totals of an incarnation, and the time when
// this process first saw it.
type revisionSeen struct {
	revision  int64
	firstSeen time.Duration
}

type reporterCounters struct {
	vars                                expvar.Map
	sealed, reported, failed, conflicts expvar.Int
}

func (r *Reporter) init() {
	r.once.Do(func() {
		if r.Window == 0 {
			r.Window = defaultWindow
		}
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.seen = make(map[lagoonhead.Incarnation]revisionSeen)
		c := &r.counters
		c.vars.Init()
		c.vars.Set("sealed", &c.sealed)
		c.vars.Set("reported", &c.reported)
		c.vars.Set("failedReports", &c.failed)
		c.vars.Set("conflictingReports", &c.conflicts)
	})
}

// Vars returns the counters: windows sealed and reported, attempts that failed and will
// be retried, and reports for which the platform has different figures.
func (r *Reporter) Vars() *expvar.Map {
	r.init()
	return &r.counters.vars
}

// GainDuty starts the duty. authority returns nil as long as this daemon holds the
// duty; it is called right before each report.
func (r *Reporter) GainDuty(authority func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.authority = authority
}

// LoseDuty stops the duty and cancels a step that is in progress.
func (r *Reporter) LoseDuty() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.authority = nil
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// Run performs the duty while this daemon holds it, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.init()
	ticks := r.Timer.Subscribe(min(stepInterval, r.Window))
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
		}
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.counters.failed.Add(1)
			r.Log.Debug("usage duty", zap.Error(err))
		}
	}
}

// begin returns a context that ends when the duty is lost, and the authority, which is nil
// while the duty is not held.
func (r *Reporter) begin(ctx context.Context) (context.Context, func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.authority == nil {
		r.reported = 0
		return ctx, nil
	}
	ctx, r.cancel = context.WithCancel(ctx)
	return ctx, r.authority
}

func (r *Reporter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// step reports the newest sealed window if the platform may lack it, and seals and
// reports the next one when it is due.
func (r *Reporter) step(ctx context.Context) error {
	ctx, authority := r.begin(ctx)
	if authority == nil {
		return nil
	}
	defer r.end()
	last, old, err := r.lastSealed(ctx)
	if err != nil {
		return err
	}
	if last.Number > 0 && r.reported < last.Number {
		if err := r.report(ctx, authority, last); err != nil {
			return err
		}
	}
	if last.Number > 0 && r.Timer.Wall().Before(last.End.Add(r.Window)) {
		return nil
	}
	r.prune(ctx, old)
	next, err := r.seal(ctx, last)
	if err != nil {
		return err
	}
	return r.report(ctx, authority, next)
}

// lastSealed returns the newest sealed window and the entries of the older ones.
func (r *Reporter) lastSealed(ctx context.Context) (last SealedWindow, old []lagoonhead.Entry, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, SealedPrefix)
	if err != nil || len(entries) == 0 {
		return SealedWindow{}, nil, err
	}
	newest := len(entries) - 1
	return last, entries[:newest], decode("billing.lastSealed", entries[newest].Value, &last)
}

// seal reads the totals and creates the next window. If another process has created it
// already, seal returns that one.
func (r *Reporter) seal(ctx context.Context, last SealedWindow) (SealedWindow, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, TotalsPrefix)
	if err != nil {
		return SealedWindow{}, err
	}
	present := make(map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage, len(entries))
	for _, e := range entries {
		var t storedTotals
		if err := decode("billing.seal", e.Value, &t); err != nil {
			return SealedWindow{}, err
		}
		in := incarnationOf(e)
		if slices.Contains(last.Retired, in) {
			_ = r.Store.Delete(ctx, e.Key, e.Revision)
			continue
		}
		present[in] = t.Usage
	}
	s := seal(last, present, r.unchanged(entries), r.Timer.Wall())
	s.Writer, s.Nonce = r.Incarnation, uuid.NewString()
	return r.create(ctx, s)
}

func incarnationOf(e lagoonhead.Entry) lagoonhead.Incarnation {
	return lagoonhead.Incarnation(strings.TrimPrefix(e.Key, TotalsPrefix))
}

// create stores the window if it is absent, and returns the stored one.
func (r *Reporter) create(ctx context.Context, s SealedWindow) (SealedWindow, error) {
	key := sealedKey(s.Number)
	_, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: key, Value: encode(s), IfRevision: 0})
	if err == nil {
		r.counters.sealed.Add(1)
		return s, nil
	}
	if !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return SealedWindow{}, err
	}
	e, err := r.Store.Get(ctx, key)
	if err != nil {
		return SealedWindow{}, err
	}
	var present SealedWindow
	return present, decode("billing.create", e.Value, &present)
}

// unchanged returns the incarnations whose totals have not been written for retireAfter,
// as far as this process has observed.
func (r *Reporter) unchanged(entries []lagoonhead.Entry) []lagoonhead.Incarnation {
	now := r.Timer.Now()
	seen := make(map[lagoonhead.Incarnation]revisionSeen, len(entries))
	var old []lagoonhead.Incarnation
	for _, e := range entries {
		in := incarnationOf(e)
		s, ok := r.seen[in]
		if !ok || s.revision != e.Revision {
			s = revisionSeen{e.Revision, now}
		}
		seen[in] = s
		if now-s.firstSeen >= retireAfter {
			old = append(old, in)
		}
	}
	r.seen = seen
	return old
}

// report sends a sealed window to the platform. If the response is lost, the next step
// sends the same figures again.
func (r *Reporter) report(ctx context.Context, authority func() error, s SealedWindow) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := authority(); err != nil {
		return err
	}
	err := r.Usage.Report(ctx, s.window())
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		r.counters.conflicts.Add(1)
		r.Log.Error("the platform has different figures for a usage window", zap.Int64("window", s.Number), zap.Error(err))
		err = nil
	}
	if err != nil {
		return err
	}
	r.reported = s.Number
	r.counters.reported.Add(1)
	return nil
}

// prune deletes all but the newest keepSealed of the old sealed windows.
func (r *Reporter) prune(ctx context.Context, old []lagoonhead.Entry) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, e := range old[:max(0, len(old)-keepSealed)] {
		_ = r.Store.Delete(ctx, e.Key, e.Revision)
	}
}

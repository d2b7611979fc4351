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
	// stepInterval is how often the duty looks whether a window is due or a report
	// is to be repeated.
	stepInterval = 2 * time.Second
	// reportTimeout bounds one report to the platform.
	reportTimeout = 5 * time.Second
	// keepSealed is the number of sealed windows that stay in the store. Only the
	// newest is read.
	keepSealed = 5
	// retireAfter is how long the totals of an incarnation must be unchanged before
	// they are folded into the sealed windows and deleted. Each daemon writes its
	// totals every touchInterval while it runs.
	retireAfter = 24 * time.Hour
)

// Reporter runs the usage duty while this daemon holds it. Its exported fields
// are set before Run.
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
	lost      context.CancelFunc

	// The fields below belong to the goroutine of Run.
	reported int64 // number of the newest window that the platform has taken
	seen     map[lagoonhead.Incarnation]sighting
}

// sighting is when the totals of an incarnation were first seen at a revision.
type sighting struct {
	revision int64
	at       time.Duration
}

type reporterCounters struct {
	vars                              expvar.Map
	sealed, reported, failed, refused expvar.Int
}

func (r *Reporter) init() {
	r.once.Do(func() {
		if r.Window == 0 {
			r.Window = defaultWindow
		}
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.seen = make(map[lagoonhead.Incarnation]sighting)
		c := &r.counters
		c.vars.Init()
		c.vars.Set("sealed", &c.sealed)
		c.vars.Set("reported", &c.reported)
		c.vars.Set("failedReports", &c.failed)
		c.vars.Set("conflictingReports", &c.refused)
	})
}

// Vars returns the counters: windows sealed and reported, reports that failed and
// will be repeated, and reports for which the platform has other figures.
func (r *Reporter) Vars() *expvar.Map {
	r.init()
	return &r.counters.vars
}

// Gain starts the duty. authority returns nil as long as this daemon holds the
// duty; it is asked right before each report.
func (r *Reporter) Gain(authority func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.authority = authority
}

// Lose stops the duty and cancels a call that is under way.
func (r *Reporter) Lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.authority = nil
	if r.lost != nil {
		r.lost()
		r.lost = nil
	}
}

// Run does the duty while it is held, until ctx ends.
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

// begin returns the authority and a context that ends when the duty is lost.
func (r *Reporter) begin(ctx context.Context) (context.Context, func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.authority == nil {
		r.reported = 0
		return ctx, nil
	}
	ctx, r.lost = context.WithCancel(ctx)
	return ctx, r.authority
}

func (r *Reporter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost != nil {
		r.lost()
		r.lost = nil
	}
}

// step reports the newest sealed window if the platform may lack it, and seals
// the next one when it is due.
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

// lastSealed returns the newest sealed window and the older ones.
func (r *Reporter) lastSealed(ctx context.Context) (last Sealed, old []lagoonhead.Entry, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, SealedPrefix)
	if err != nil || len(entries) == 0 {
		return Sealed{}, nil, err
	}
	newest := len(entries) - 1
	return last, entries[:newest], decode("billing.lastSealed", entries[newest].Value, &last)
}

// seal reads the totals and creates the next window. When another process has
// created it, that one is returned.
func (r *Reporter) seal(ctx context.Context, last Sealed) (Sealed, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, TotalsPrefix)
	if err != nil {
		return Sealed{}, err
	}
	present := make(map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage, len(entries))
	for _, e := range entries {
		var t storedTotals
		if err := decode("billing.seal", e.Value, &t); err != nil {
			return Sealed{}, err
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

// create writes the window if it is absent and returns what the store has then.
func (r *Reporter) create(ctx context.Context, s Sealed) (Sealed, error) {
	key := sealedKey(s.Number)
	_, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: key, Value: encode(s), IfRevision: 0})
	if err == nil {
		r.counters.sealed.Add(1)
		return s, nil
	}
	if !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return Sealed{}, err
	}
	e, err := r.Store.Get(ctx, key)
	if err != nil {
		return Sealed{}, err
	}
	var present Sealed
	return present, decode("billing.create", e.Value, &present)
}

// unchanged returns the incarnations whose totals have not changed for
// retireAfter, as far as this process has seen.
func (r *Reporter) unchanged(entries []lagoonhead.Entry) []lagoonhead.Incarnation {
	now := r.Timer.Now()
	seen := make(map[lagoonhead.Incarnation]sighting, len(entries))
	var old []lagoonhead.Incarnation
	for _, e := range entries {
		in := incarnationOf(e)
		s, ok := r.seen[in]
		if !ok || s.revision != e.Revision {
			s = sighting{e.Revision, now}
		}
		seen[in] = s
		if now-s.at >= retireAfter {
			old = append(old, in)
		}
	}
	r.seen = seen
	return old
}

// report sends a sealed window. A report whose answer was lost is sent again with
// the same figures by the next step.
func (r *Reporter) report(ctx context.Context, authority func() error, s Sealed) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := authority(); err != nil {
		return err
	}
	err := r.Usage.Report(ctx, s.window())
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		r.counters.refused.Add(1)
		r.Log.Error("the platform has other figures for a usage window", zap.Int64("window", s.Number), zap.Error(err))
		err = nil
	}
	if err != nil {
		return err
	}
	r.reported = s.Number
	r.counters.reported.Add(1)
	return nil
}

// prune deletes sealed windows that are no longer needed.
func (r *Reporter) prune(ctx context.Context, old []lagoonhead.Entry) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, e := range old[:max(0, len(old)-keepSealed)] {
		_ = r.Store.Delete(ctx, e.Key, e.Revision)
	}
}

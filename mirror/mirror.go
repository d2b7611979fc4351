package mirror

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// minBackoff and maxBackoff limit the pause after a failed call. It doubles with each
	// failure, and is minBackoff again if more than a second passed since the last pause.
	// maxBackoff is well below the time within which a leaving endpoint must get no more
	// work.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// batchPause is the pause after a watch that returned events or returned at once, so
	// that a series of changes takes few calls.
	batchPause = 100 * time.Millisecond
	// listTimeout limits one list call.
	listTimeout = 1500 * time.Millisecond
)

// Follower receives the entries and their changes. The calls come from one goroutine.
type Follower interface {
	// Put reports an entry that is new or changed.
	Put(e lagoonhead.Entry)
	// Removed reports that an entry is gone.
	Removed(key string)
	// Synced reports that the entries reported so far matched the store at the given
	// time since boot or later. It follows the Put and Removed calls of that state.
	Synced(at time.Duration)
	// StoreLost reports that a call to the store had failed at the given time since boot.
	StoreLost(at time.Duration, err error)
}

// Mirror follows one prefix. Set the exported fields before Run.
type Mirror struct {
	Store    lagoonhead.StoreReader
	Timer    timer.Timer
	Prefix   string
	Follower Follower
	// Log gets a line when calls to the store begin to fail and when they succeed again.
	// It may be nil.
	Log *zap.Logger

	revisions map[string]int64 // of the reported entries, by key
	failing   bool             // calls to the store fail
	vars      expvar.Map
}

// Vars returns the counters of calls (lists, watches), of failed calls (failures) and of
// watches whose history was gone (gaps).
func (m *Mirror) Vars() *expvar.Map { return &m.vars }

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	if m.Log == nil {
		m.Log = zap.NewNop()
	}
	m.revisions = make(map[string]int64)
	backoff := minBackoff
	for ctx.Err() == nil {
		began := m.Timer.Now()
		err := m.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if lagoonhead.IsKind(err, lagoonhead.KindStale) {
			m.vars.Add("gaps", 1)
		} else {
			m.handleFailure(err)
		}
		if m.Timer.Now()-began > time.Second {
			backoff = minBackoff
		}
		_ = m.Timer.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// follow lists the prefix, then watches it until a call fails.
func (m *Mirror) follow(ctx context.Context) error {
	revision, err := m.list(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		m.vars.Add("watches", 1)
		sent := m.Timer.Now()
		events, next, err := m.Store.Watch(ctx, m.Prefix, revision)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		for _, e := range events {
			m.apply(e)
		}
		m.handleSuccess(sent)
		if len(events) > 0 || m.Timer.Now()-sent < batchPause {
			if err := m.Timer.Sleep(ctx, batchPause); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// list lists the prefix, reports what differs from the entries reported before, and
// returns the revision to watch from.
func (m *Mirror) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	m.vars.Add("lists", 1)
	sent := m.Timer.Now()
	entries, revision, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return 0, err
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		m.put(e)
	}
	for k := range m.revisions {
		if !present[k] {
			m.remove(k)
		}
	}
	m.handleSuccess(sent)
	return revision, nil
}

// apply reports the change of a watch event, unless a newer revision has been reported.
func (m *Mirror) apply(e lagoonhead.Event) {
	if e.Deleted {
		if e.Entry.Revision >= m.revisions[e.Entry.Key] {
			m.remove(e.Entry.Key)
		}
		return
	}
	m.put(e.Entry)
}

// put reports an entry unless this or a newer revision of it has been reported.
func (m *Mirror) put(e lagoonhead.Entry) {
	if e.Revision <= m.revisions[e.Key] {
		return
	}
	m.revisions[e.Key] = e.Revision
	m.Follower.Put(e)
}

func (m *Mirror) remove(key string) {
	if _, ok := m.revisions[key]; !ok {
		return
	}
	delete(m.revisions, key)
	m.Follower.Removed(key)
}

// handleFailure reports and counts a failed call to the store.
func (m *Mirror) handleFailure(err error) {
	m.vars.Add("failures", 1)
	if !m.failing {
		m.failing = true
		m.Log.Warn("store lost", zap.String("prefix", m.Prefix), zap.Error(err))
	}
	m.Follower.StoreLost(m.Timer.Now(), err)
}

// handleSuccess reports that a call to the store which was sent at the given time succeeded.
func (m *Mirror) handleSuccess(at time.Duration) {
	if m.failing {
		m.failing = false
		m.Log.Info("store regained", zap.String("prefix", m.Prefix))
	}
	m.Follower.Synced(at)
}

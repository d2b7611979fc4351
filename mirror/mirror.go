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
	// firstPause and longestPause bound the pause after a call that failed. The longest
	// one is well below the time in which a leaving endpoint must get no more work.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// gatherPause is the pause after a watch that returned events, or at once, so that a
	// series of changes costs few calls.
	gatherPause = 100 * time.Millisecond
	// callTimeout bounds a list.
	callTimeout = 1500 * time.Millisecond
)

// Follower is told of the entries. The calls come from one goroutine.
type Follower interface {
	// Put tells of an entry that is new or changed.
	Put(e lagoonhead.Entry)
	// Removed tells of an entry that is gone.
	Removed(key string)
	// Contact tells that the copy was in line with the store at the given time since
	// boot. It follows the Put and Removed calls of that state.
	Contact(at time.Duration)
	// Lost tells that a call failed which was begun at the given time.
	Lost(at time.Duration, err error)
}

// Mirror follows one prefix. Set the exported fields before Run.
type Mirror struct {
	Store    lagoonhead.StoreReader
	Timer    timer.Timer
	Prefix   string
	Follower Follower
	// Log gets a line when the store is lost or regained. It may be nil.
	Log *zap.Logger

	revisions map[string]int64
	failing   bool
	vars      expvar.Map
}

// Vars returns the counters lists, watches, failures and gaps.
func (m *Mirror) Vars() *expvar.Map { return &m.vars }

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	if m.Log == nil {
		m.Log = zap.NewNop()
	}
	m.revisions = make(map[string]int64)
	pause := firstPause
	for ctx.Err() == nil {
		began := m.Timer.Now()
		err := m.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if lagoonhead.IsKind(err, lagoonhead.KindStale) {
			m.vars.Add("gaps", 1)
		} else {
			m.lost(err)
		}
		if m.Timer.Now()-began > time.Second {
			pause = firstPause
		}
		_ = m.Timer.Sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
	return nil
}

// follow lists the prefix and watches it until a call fails.
func (m *Mirror) follow(ctx context.Context) error {
	revision, err := m.list(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		m.vars.Add("watches", 1)
		asked := m.Timer.Now()
		events, next, err := m.Store.Watch(ctx, m.Prefix, revision)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		for _, e := range events {
			m.apply(e)
		}
		m.regained(asked)
		if len(events) > 0 || m.Timer.Now()-asked < gatherPause {
			if err := m.Timer.Sleep(ctx, gatherPause); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

func (m *Mirror) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.vars.Add("lists", 1)
	asked := m.Timer.Now()
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
	m.regained(asked)
	return revision, nil
}

func (m *Mirror) apply(e lagoonhead.Event) {
	if e.Deleted {
		if e.Entry.Revision >= m.revisions[e.Entry.Key] {
			m.remove(e.Entry.Key)
		}
		return
	}
	m.put(e.Entry)
}

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

func (m *Mirror) lost(err error) {
	m.vars.Add("failures", 1)
	if !m.failing {
		m.failing = true
		m.Log.Warn("store lost", zap.String("prefix", m.Prefix), zap.Error(err))
	}
	m.Follower.Lost(m.Timer.Now(), err)
}

func (m *Mirror) regained(at time.Duration) {
	if m.failing {
		m.failing = false
		m.Log.Info("store regained", zap.String("prefix", m.Prefix))
	}
	m.Follower.Contact(at)
}

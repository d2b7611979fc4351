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
	// idlePause is the time between checks whether an idle Mirror must read the store.
	idlePause = 100 * time.Millisecond
	// listTimeout limits one list call.
	listTimeout = 1500 * time.Millisecond
)

// Mirror reads one prefix of a Copy from the store. Set the exported fields before Run.
type Mirror struct {
	Store  lagoonhead.StoreReader
	Timer  timer.Timer
	Prefix string
	Copy   *Copy
	// Idle reports that the copy is kept up to date by a peer, so that the store need not
	// be read. It may be nil.
	Idle func() bool
	// Interval is the minimum time between the starts of two watches that return nothing.
	Interval time.Duration
	// Log gets a line when calls to the store begin to fail and when they succeed again.
	// It may be nil.
	Log *zap.Logger

	failing bool // calls to the store fail
	vars    expvar.Map
}

// Vars returns the counters of calls (lists, watches), of failed calls (failures) and of
// watches whose history was gone (gaps).
func (m *Mirror) Vars() *expvar.Map { return &m.vars }

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	if m.Log == nil {
		m.Log = zap.NewNop()
	}
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
	if err := m.wait(ctx); err != nil {
		return err
	}
	if err := m.list(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := m.wait(ctx); err != nil {
			return err
		}
		m.vars.Add("watches", 1)
		sent := m.Timer.Now()
		events, next, err := m.Store.Watch(ctx, m.Prefix, m.Copy.Revision(m.Prefix))
		if err != nil {
			return err
		}
		now := m.Timer.Now()
		m.Copy.Watched(m.Prefix, events, next, now)
		m.handleSuccess()
		took := now - sent
		pause := max(0, m.Interval-took)
		if len(events) > 0 || took < batchPause {
			pause = max(pause, batchPause)
		}
		if pause == 0 {
			continue
		}
		if err := m.Timer.Sleep(ctx, pause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// wait returns when the store is to be read.
func (m *Mirror) wait(ctx context.Context) error {
	for m.Idle != nil && m.Idle() {
		if err := m.Timer.Sleep(ctx, idlePause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// list lists the prefix.
func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	m.vars.Add("lists", 1)
	sent := m.Timer.Now()
	entries, revision, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.Copy.Listed(m.Prefix, entries, revision, sent)
	m.handleSuccess()
	return nil
}

// handleFailure reports and counts a failed call to the store.
func (m *Mirror) handleFailure(err error) {
	m.vars.Add("failures", 1)
	if !m.failing {
		m.failing = true
		m.Log.Warn("store lost", zap.String("prefix", m.Prefix), zap.Error(err))
	}
	m.Copy.Failed(m.Prefix, m.Timer.Now(), err)
}

// handleSuccess logs that a call to the store succeeded after a failure.
func (m *Mirror) handleSuccess() {
	if m.failing {
		m.failing = false
		m.Log.Info("store regained", zap.String("prefix", m.Prefix))
	}
}

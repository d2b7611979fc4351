package storecalls

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Store passes calls on to another store. While that one does not serve this daemon, calls that
// come before the end of the pause fail with KindUnavailable and are not sent. Set the exported
// fields before the first call. It is safe for concurrent use.
type Store struct {
	Store lagoonhead.Store
	Timer timer.Timer
	// MaxPause returns the longest pause between calls at present.
	MaxPause func() time.Duration

	mu    sync.Mutex
	pacer Pacer
	once  sync.Once
	vars  *expvar.Map
}

var _ lagoonhead.Store = (*Store)(nil)

// results are the counters of each kind of call: those that were served, those to which the
// store responded with an error about their content (for example a conflict), those that it did
// not serve, and those that were not sent.
var results = [...]string{"served", "declined", "failed", "held"}

const (
	served = iota
	declined
	failed
	held
)

// Vars returns the counters by kind of call and result.
func (s *Store) Vars() *expvar.Map {
	s.once.Do(func() {
		s.vars = new(expvar.Map)
		for _, op := range [...]string{"get", "list", "watch", "put", "delete", "grant", "renew", "revoke"} {
			m := new(expvar.Map)
			for _, r := range results {
				m.Add(r, 0)
			}
			s.vars.Set(op, m)
		}
	})
	return s.vars
}

// Refused reports whether the store has not served the last calls of this daemon.
func (s *Store) Refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.Refused()
}

func (s *Store) count(op string, result int) {
	if m, ok := s.Vars().Get(op).(*expvar.Map); ok {
		m.Add(results[result], 1)
	}
}

// call makes a call unless it must wait. An urgent call never waits.
func (s *Store) call(ctx context.Context, op string, urgent bool, send func() error) error {
	now, limit := s.Timer.Now(), s.MaxPause()
	s.mu.Lock()
	allowed := s.pacer.Allow(now, limit)
	s.mu.Unlock()
	if !allowed && !urgent {
		s.count(op, held)
		return failf(op, lagoonhead.KindUnavailable, "not sent: the store does not serve this VM")
	}
	err := send()
	result := resultOf(ctx, err)
	s.mu.Lock()
	switch result {
	case served:
		s.pacer.Served(now)
	case failed:
		s.pacer.Failed(now, s.Timer.Now(), limit)
	}
	s.mu.Unlock()
	s.count(op, result)
	return err
}

// resultOf returns the result of a call. What the store declined says nothing about whether it
// serves this daemon, since a client also declines calls that are based on what a restored
// store no longer has. The same holds for a call that its caller has ended.
func resultOf(ctx context.Context, err error) int {
	switch {
	case err == nil:
		return served
	case errors.Is(ctx.Err(), context.Canceled):
		return declined
	}
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindNotFound, lagoonhead.KindConflict, lagoonhead.KindStale, lagoonhead.KindInvalid, lagoonhead.KindForbidden:
		return declined
	default:
		return failed
	}
}

// Get returns the entry of a key, or KindNotFound.
func (s *Store) Get(ctx context.Context, key string) (e lagoonhead.Entry, err error) {
	err = s.call(ctx, "get", false, func() error {
		e, err = s.Store.Get(ctx, key)
		return err
	})
	return e, err
}

// List returns the entries under prefix and a revision to watch from.
func (s *Store) List(ctx context.Context, prefix string) (list []lagoonhead.Entry, revision int64, err error) {
	err = s.call(ctx, "list", false, func() error {
		list, revision, err = s.Store.List(ctx, prefix)
		return err
	})
	return list, revision, err
}

// Watch waits for changes under prefix after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (events []lagoonhead.Event, next int64, err error) {
	next = after
	err = s.call(ctx, "watch", false, func() error {
		events, next, err = s.Store.Watch(ctx, prefix, after)
		return err
	})
	return events, next, err
}

// Put writes one key and returns the new revision.
func (s *Store) Put(ctx context.Context, r lagoonhead.PutRequest) (revision int64, err error) {
	err = s.call(ctx, "put", false, func() error {
		revision, err = s.Store.Put(ctx, r)
		return err
	})
	return revision, err
}

// Delete removes one key.
func (s *Store) Delete(ctx context.Context, key string, ifRevision int64) error {
	return s.call(ctx, "delete", false, func() error { return s.Store.Delete(ctx, key, ifRevision) })
}

// GrantLease returns a new lease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (id lagoonhead.LeaseID, err error) {
	err = s.call(ctx, "grant", false, func() error {
		id, err = s.Store.GrantLease(ctx, ttl)
		return err
	})
	return id, err
}

// RenewLease extends a lease.
func (s *Store) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return s.renew(ctx, id, false)
}

func (s *Store) renew(ctx context.Context, id lagoonhead.LeaseID, urgent bool) error {
	return s.call(ctx, "renew", urgent, func() error { return s.Store.RenewLease(ctx, id) })
}

// RevokeLease ends a lease. It is always sent, since it is called once, at the end of a process.
func (s *Store) RevokeLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return s.call(ctx, "revoke", true, func() error { return s.Store.RevokeLease(ctx, id) })
}

// Renewing returns the same store without pauses for renewals of leases. It is for leases whose
// time to live is no longer than a few pauses, which bounds the number of renewals.
func (s *Store) Renewing() lagoonhead.Store { return renewing{s} }

type renewing struct{ *Store }

// RenewLease extends a lease.
func (r renewing) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return r.renew(ctx, id, true)
}

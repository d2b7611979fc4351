package lease

import (
	"context"
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// The defaults of a Session. With 390 daemons, a renewal every 5 s is 78 writes/s at
// the store, regardless of the number of duties.
const (
	DefaultTTL           = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultMargin        = time.Second
)

// Session keeps one lease of the store alive. Set the exported fields before Run.
type Session struct {
	// Store holds the lease.
	Store lagoonhead.StoreWriter
	// Timer is the clock that the validity of the lease is measured by.
	Timer timer.Timer
	// Log receives a message when the lease is granted or lost.
	Log *zap.Logger
	// TTL, the renewal interval RenewInterval and the safety Margin at the end of the TTL
	// default to DefaultTTL, DefaultRenewInterval and DefaultMargin.
	TTL, RenewInterval, Margin time.Duration
	// Wanted, if not nil, reports whether the lease is needed now. While it is not, the
	// lease is neither granted nor renewed.
	Wanted func() bool
	// Relaxed, if not nil, reports whether it is enough to renew the lease once half of its
	// TTL has passed.
	Relaxed func() bool

	mu         sync.Mutex
	id         lagoonhead.LeaseID
	validUntil time.Duration
	vars       expvar.Map
}

// Vars returns the counters granted, renewed, renewFailed and lost. renewFailed also counts
// failed grants and revocations.
func (s *Session) Vars() *expvar.Map { return &s.vars }

// Run keeps the lease alive until ctx ends, then revokes it.
func (s *Session) Run(ctx context.Context) error {
	s.setDefaults()
	s.Step(ctx)
	timer.Every(ctx, s.Timer, s.RenewInterval, func(time.Duration) { s.Step(ctx) })
	s.revoke()
	return nil
}

func (s *Session) setDefaults() {
	if s.TTL == 0 {
		s.TTL = DefaultTTL
	}
	if s.RenewInterval == 0 {
		s.RenewInterval = DefaultRenewInterval
	}
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
}

// Step grants or renews the lease once. Run calls it on every tick.
func (s *Session) Step(ctx context.Context) {
	s.setDefaults()
	if s.Wanted != nil && !s.Wanted() {
		return
	}
	sent := s.Timer.Now()
	id, valid := s.Lease()
	if !valid {
		s.grant(ctx, sent)
		return
	}
	if s.Relaxed != nil && s.Relaxed() && s.remaining(sent) > s.TTL/2 {
		return
	}
	if err := s.Store.RenewLease(ctx, id); err != nil {
		s.vars.Add("renewFailed", 1)
		if lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
			s.markLost(id)
		}
		return
	}
	s.vars.Add("renewed", 1)
	s.extend(id, sent)
}

func (s *Session) grant(ctx context.Context, sent time.Duration) {
	id, err := s.Store.GrantLease(ctx, s.TTL)
	if err != nil {
		// If only the response was lost, the granted lease expires; no key is attached to it.
		s.vars.Add("renewFailed", 1)
		return
	}
	s.mu.Lock()
	s.id = id
	s.validUntil = sent + s.TTL - s.Margin
	s.mu.Unlock()
	s.vars.Add("granted", 1)
	s.Log.Info("lease granted", zap.String("lease", string(id)))
}

func (s *Session) extend(id lagoonhead.LeaseID, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.validUntil = max(s.validUntil, sent+s.TTL-s.Margin)
	}
}

func (s *Session) markLost(id lagoonhead.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return
	}
	s.validUntil = 0
	s.vars.Add("lost", 1)
	s.Log.Warn("lease lost", zap.String("lease", string(id)))
}

// Lease returns the ID of the lease. valid is false when the lease has lapsed by this
// daemon's clock, even if it is still valid at the store.
func (s *Session) Lease() (id lagoonhead.LeaseID, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.id != "" && s.Timer.Now() < s.validUntil
}

// remaining returns the time until the lease lapses by this daemon's clock.
func (s *Session) remaining(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validUntil - now
}

// revokeTimeout bounds the revocation at shutdown. If it fails, the lease expires.
const revokeTimeout = time.Second

func (s *Session) revoke() {
	id, valid := s.Lease()
	if !valid {
		return
	}
	s.markLost(id)
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := s.Store.RevokeLease(ctx, id); err != nil {
		s.vars.Add("renewFailed", 1)
	}
}

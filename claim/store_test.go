package claim

import (
	"context"
	"runtime"
	"sync"

	"github.com/lagoonhead/lagoonhead"
)

// fate is what happens to one call of the store or to one attempt.
type fate int

const (
	fine fate = iota
	down
	// lostBefore loses the call, lostAfter its answer; delayed loses the answer and
	// lets the call arrive later.
	lostBefore
	lostAfter
	delayed
	// kill ends the process that made the call, killAfter behind its effect.
	kill
	killAfter
	fates
)

// arrivalKey is the context key of the arrival that makes a call.
type arrivalKey struct{}

// fakeStore is a store in memory. The calls of an arrival wait for their fate; the
// late writes of a keeper have the fate late.
type fakeStore struct {
	lagoonhead.Store // the calls that claims do not use

	mu       sync.Mutex
	entries  map[string]lagoonhead.Entry
	revision int64
	pending  []lagoonhead.PutRequest
	late     fate
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]lagoonhead.Entry{}} }

func (s *fakeStore) decide(ctx context.Context) fate {
	if a, ok := ctx.Value(arrivalKey{}).(*arrival); ok {
		return a.step()
	}
	return s.late
}

func storeFault(k lagoonhead.Kind) error { return fault("fakeStore", k, nil) }

func (s *fakeStore) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	f := s.decide(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	switch {
	case f == kill || f == killAfter:
		runtime.Goexit()
	case f != fine:
		return lagoonhead.Entry{}, storeFault(lagoonhead.KindUnavailable)
	case !ok:
		return e, storeFault(lagoonhead.KindNotFound)
	}
	return e, nil
}

func (s *fakeStore) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	f := s.decide(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f {
	case kill:
		runtime.Goexit()
	case down:
		return 0, storeFault(lagoonhead.KindUnavailable)
	case lostBefore:
		return 0, storeFault(lagoonhead.KindUnknown)
	case delayed:
		s.pending = append(s.pending, r)
		return 0, storeFault(lagoonhead.KindUnknown)
	}
	rev, err := s.apply(r)
	switch f {
	case killAfter:
		runtime.Goexit()
	case lostAfter:
		return 0, storeFault(lagoonhead.KindUnknown)
	}
	return rev, err
}

func (s *fakeStore) apply(r lagoonhead.PutRequest) (int64, error) {
	if s.entries[r.Key].Revision != r.IfRevision {
		return 0, storeFault(lagoonhead.KindConflict)
	}
	s.revision++
	s.entries[r.Key] = lagoonhead.Entry{Key: r.Key, Value: r.Value, Revision: s.revision}
	return s.revision, nil
}

// land lets the oldest n delayed writes arrive.
func (s *fakeStore) land(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.pending[:n] {
		_, _ = s.apply(r)
	}
	s.pending = s.pending[n:]
}

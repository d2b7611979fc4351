package claim

import (
	"context"
	"runtime"
	"sync"

	"github.com/lagoonhead/lagoonhead"
)

// injectedFault is the fault of one request to the store or of one attempt.
type injectedFault int

const (
	noFault injectedFault = iota
	// unavailable rejects the request, which provably has no effect.
	unavailable
	// requestLost loses the request and responseLost its response. requestDelayed loses
	// the response and lets the request take effect later.
	requestLost
	responseLost
	requestDelayed
	// killBefore ends the process that made the request before it takes effect, killAfter
	// afterwards.
	killBefore
	killAfter
	faultCount
)

// callKey is the context key of the call of Once that makes a request.
type callKey struct{}

// fakeStore is a store in memory. A request made by a call of Once waits for the fault
// that the test chooses; the late writes of a keeper get lateFault.
type fakeStore struct {
	lagoonhead.Store // the methods that claims do not use

	mu            sync.Mutex
	entries       map[string]lagoonhead.Entry
	revision      int64
	delayedWrites []lagoonhead.PutRequest
	lateFault     injectedFault
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]lagoonhead.Entry{}} }

// nextFault returns the fault of the request that has ctx.
func (s *fakeStore) nextFault(ctx context.Context) injectedFault {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		return c.step()
	}
	return s.lateFault
}

func storeFault(k lagoonhead.Kind) error { return fault("fakeStore", k, nil) }

func (s *fakeStore) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	f := s.nextFault(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	switch {
	case f == killBefore || f == killAfter:
		runtime.Goexit()
	case f != noFault:
		return lagoonhead.Entry{}, storeFault(lagoonhead.KindUnavailable)
	case !ok:
		return e, storeFault(lagoonhead.KindNotFound)
	}
	return e, nil
}

func (s *fakeStore) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	f := s.nextFault(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f {
	case killBefore:
		runtime.Goexit()
	case unavailable:
		return 0, storeFault(lagoonhead.KindUnavailable)
	case requestLost:
		return 0, storeFault(lagoonhead.KindUnknown)
	case requestDelayed:
		s.delayedWrites = append(s.delayedWrites, r)
		return 0, storeFault(lagoonhead.KindUnknown)
	}
	rev, err := s.apply(r)
	switch f {
	case killAfter:
		runtime.Goexit()
	case responseLost:
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

// deliver applies the oldest n delayed writes.
func (s *fakeStore) deliver(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.delayedWrites[:n] {
		_, _ = s.apply(r)
	}
	s.delayedWrites = s.delayedWrites[n:]
}

package mirror

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

// recorder is a Follower that keeps the current entries and counts the other calls.
type recorder struct {
	mu      sync.Mutex
	entries map[string]string
	// origins holds the origin of the last change of each key.
	origins map[string]Origin
	syncs   int
	losses  int
	// restores counts the calls of Restored, and beforeRestore holds the entries at the last.
	restores      int
	beforeRestore map[string]string
}

func (r *recorder) Restored(int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restores++
	r.beforeRestore = maps.Clone(r.entries)
}

func (r *recorder) Put(e lagoonhead.Entry, o Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origins[e.Key] = o
	r.entries[e.Key] = string(e.Value)
}

func (r *recorder) Removed(key string, o Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origins[key] = o
	delete(r.entries, key)
}

func (r *recorder) Applied() {}

func (r *recorder) Synced(time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncs++
}

func (r *recorder) StoreLost(time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses++
}

func newRecorder() *recorder {
	return &recorder{entries: make(map[string]string), origins: make(map[string]Origin)}
}

// has returns a function that reports whether the entries are those wanted.
func (r *recorder) has(want map[string]string) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.entries) != len(want) {
			return false
		}
		for k, v := range want {
			if r.entries[k] != v {
				return false
			}
		}
		return true
	}
}

// gapStore is a store with faults of Watch: the next gaps calls fail because the history
// is gone, and no events are returned while silent is set.
type gapStore struct {
	*fakeplatform.KV
	mu     sync.Mutex
	gaps   int
	silent bool
}

func (s *gapStore) Watch(ctx context.Context, prefix string, after int64) ([]lagoonhead.Event, int64, error) {
	s.mu.Lock()
	gap, silent := s.gaps > 0, s.silent
	if gap {
		s.gaps--
	}
	s.mu.Unlock()
	if gap {
		return nil, after, &Error{lagoonhead.Fault{Op: "watch", Kind: lagoonhead.KindStale}}
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if silent {
		<-ctx.Done()
		return nil, after, nil
	}
	events, next, err := s.KV.Watch(ctx, prefix, after)
	if lagoonhead.IsKind(err, lagoonhead.KindTimeout) {
		return nil, after, nil
	}
	return events, next, err
}

// Error is the error of a watch whose history is gone.
type Error struct{ lagoonhead.Fault }

// follow runs a Mirror of the prefix p/ until the end of the test, and returns its store
// and its follower.
func follow(t *testing.T) (*gapStore, *recorder) {
	t.Helper()
	s := &gapStore{KV: fakeplatform.NewKV(&timer.System{})}
	c := newRecorder()
	m := &Mirror{Store: s, Timer: &timer.System{}, Prefix: "p/", Copy: NewCopy("a", map[string]Follower{"p/": c})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx) // it never fails
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s, c
}

func put(t *testing.T, s *gapStore, key, value string) {
	t.Helper()
	_, err := s.Put(t.Context(), lagoonhead.PutRequest{Key: key, Value: []byte(value), IfRevision: lagoonhead.AnyRevision})
	require.NoError(t, err)
}

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Guards against changes that are not reported, and against reported entries of other
// prefixes.
func TestFollowsChanges(t *testing.T) {
	s, c := follow(t)
	put(t, s, "p/a", "1")
	put(t, s, "q/a", "x")
	require.Eventually(t, c.has(map[string]string{"p/a": "1"}), waitTimeout, pollInterval)
	put(t, s, "p/a", "2")
	put(t, s, "p/b", "3")
	require.Eventually(t, c.has(map[string]string{"p/a": "2", "p/b": "3"}), waitTimeout, pollInterval)
	require.NoError(t, s.Delete(t.Context(), "p/a", lagoonhead.AnyRevision))
	require.Eventually(t, c.has(map[string]string{"p/b": "3"}), waitTimeout, pollInterval)
}

// Guards against changes that are missed because the history of the store is gone: the
// removal of a key and a new key within the gap must be reported.
func TestListsAgainAfterAGap(t *testing.T) {
	s, c := follow(t)
	put(t, s, "p/a", "1")
	require.Eventually(t, c.has(map[string]string{"p/a": "1"}), waitTimeout, pollInterval)
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	put(t, s, "p/b", "2")
	require.NoError(t, s.Delete(t.Context(), "p/a", lagoonhead.AnyRevision))
	s.mu.Lock()
	s.silent, s.gaps = false, 1
	s.mu.Unlock()
	require.Eventually(t, c.has(map[string]string{"p/b": "2"}), waitTimeout, pollInterval)
}

// Guards against entries that are removed by an outage of the store, and against changes
// that are not reported after it.
func TestKeepsTheCopyDuringAnOutage(t *testing.T) {
	s, c := follow(t)
	put(t, s, "p/a", "1")
	require.Eventually(t, c.has(map[string]string{"p/a": "1"}), waitTimeout, pollInterval)
	s.Faults.SetOutage(true)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.losses > 0 }, waitTimeout, pollInterval)
	require.True(t, c.has(map[string]string{"p/a": "1"})())
	s.Faults.SetOutage(false)
	put(t, s, "p/a", "2")
	require.Eventually(t, c.has(map[string]string{"p/a": "2"}), waitTimeout, pollInterval)
}

package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/hub"
	"github.com/lagoonhead/lagoonhead/timer"
)

// refusal is what the store does with a call of a VM that it does not serve.
type refusal int

const (
	serves  refusal = iota
	refuses         // responds with an error at once
	resets          // ends the connection: a write may have taken effect
	silent          // does not respond within the timeout of a call
)

// refusingStore is the store as one VM sees it. It counts the calls.
type refusingStore struct {
	*fakeplatform.KV

	mu    sync.Mutex
	mode  refusal
	calls int
}

func (s *refusingStore) set(r refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = r
}

func (s *refusingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call and returns an error if it is not served. timeout is that of the call.
func (s *refusingStore) begin(ctx context.Context, timeout time.Duration) error {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case refuses:
		return failf("test", lagoonhead.KindUnavailable, "status 503")
	case resets:
		return failf("test", lagoonhead.KindUnknown, "connection reset")
	case silent:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return failf("test", lagoonhead.KindUnknown, "no response")
	default:
		return nil
	}
}

const callTimeout = time.Second

func (s *refusingStore) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	if err := s.begin(ctx, callTimeout); err != nil {
		return lagoonhead.Entry{}, err
	}
	return s.KV.Get(ctx, key)
}

func (s *refusingStore) List(ctx context.Context, prefix string) ([]lagoonhead.Entry, int64, error) {
	if err := s.begin(ctx, callTimeout); err != nil {
		return nil, 0, err
	}
	return s.KV.List(ctx, prefix)
}

func (s *refusingStore) Watch(ctx context.Context, prefix string, after int64) ([]lagoonhead.Event, int64, error) {
	if err := s.begin(ctx, WatchTimeout+callTimeout); err != nil {
		return nil, after, err
	}
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	events, next, err := s.KV.Watch(ctx, prefix, after)
	if lagoonhead.IsKind(err, lagoonhead.KindTimeout) {
		return nil, after, nil
	}
	return events, next, err
}

func (s *refusingStore) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	if err := s.begin(ctx, callTimeout); err != nil {
		return 0, err
	}
	return s.KV.Put(ctx, r)
}

func (s *refusingStore) GrantLease(ctx context.Context, ttl time.Duration) (lagoonhead.LeaseID, error) {
	if err := s.begin(ctx, callTimeout); err != nil {
		return "", err
	}
	return s.KV.GrantLease(ctx, ttl)
}

func (s *refusingStore) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	if err := s.begin(ctx, callTimeout); err != nil {
		return err
	}
	return s.KV.RenewLease(ctx, id)
}

// storeFleet is a fleet whose daemons run only the tasks that call the store, and exchange
// heartbeats by function calls. It lives in a synctest bubble.
type storeFleet struct {
	clock   *timer.Manual
	kv      *fakeplatform.KV
	daemons []*Daemon
	stores  []*refusingStore
	stop    context.CancelFunc
	group   sync.WaitGroup
}

func newStoreFleet(n int) *storeFleet {
	f := &storeFleet{clock: timer.NewManual(time.Hour, time.Unix(0, 0))}
	f.kv = fakeplatform.NewKV(f.clock)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
			f.clock.Advance(5 * time.Millisecond)
		}
	})
	for i := range n {
		s := &refusingStore{KV: f.kv}
		d := &Daemon{Timer: f.clock, Log: zap.NewNop(), Settings: Settings{
			VM: lagoonhead.VMID(fmt.Sprintf("vm%02d", i)), FailureDomain: lagoonhead.FailureDomain(fmt.Sprint("domain", i%3)),
			Listen: Listen{Peers: fmt.Sprintf("vm%02d:1", i)}, DutyReturnTime: 3 * time.Second, MinLeaseTTL: time.Second, FencingEnforced: true,
			UsageWindow: 5 * time.Second, RetryWindow: 10 * time.Second, Cores: 1,
		}, Platform: Platform{
			Store: s, ConfigurationKey: "config", EndpointPrefix: "endpoints/",
			DecodeConfiguration: func([]byte) (*catalog.Catalog, error) {
				return nil, failf("test", lagoonhead.KindInvalid, "not decoded")
			},
			DecodeRegistration: func(string, []byte) (lagoonhead.Endpoint, error) {
				return lagoonhead.Endpoint{}, failf("test", lagoonhead.KindInvalid, "not decoded")
			},
		}}
		d.prepare()
		d.keeper.OnGained = nil
		f.daemons, f.stores = append(f.daemons, d), append(f.stores, s)
		for _, t := range d.storeTasks() {
			f.group.Go(func() { _ = t(ctx) })
		}
	}
	f.group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			for _, d := range f.daemons {
				f.exchange(d)
			}
		}
	})
	return f
}

// exchange sends the heartbeats of a daemon.
func (f *storeFleet) exchange(d *Daemon) {
	for _, v := range d.attachment.peers() {
		for _, p := range f.daemons {
			if p.Settings.VM == v.ID() && p != d {
				d.heartbeats.answered(p.heartbeats.Answer(d.heartbeats.Heartbeat(v.ID())), f.clock.Now())
			}
		}
	}
}

func (f *storeFleet) end() {
	f.stop()
	f.group.Wait()
}

// rates returns the calls a second of each VM in the next seconds.
func (f *storeFleet) rates(seconds int) []float64 {
	before := make([]int, len(f.stores))
	for i, s := range f.stores {
		before[i] = s.count()
	}
	time.Sleep(time.Duration(seconds) * time.Second)
	rates := make([]float64, len(f.stores))
	for i, s := range f.stores {
		rates[i] = float64(s.count()-before[i]) / float64(seconds)
	}
	return rates
}

// set makes the store treat the VMs from first on in the given way.
func (f *storeFleet) set(first int, r refusal) {
	for _, s := range f.stores[first:] {
		s.set(r)
	}
}

// write writes the configuration and returns the time until all daemons from first on have it.
func (f *storeFleet) write(t *testing.T, first int, value string) time.Duration {
	t.Helper()
	began := f.clock.Now()
	_, err := f.kv.Put(context.Background(), lagoonhead.PutRequest{Key: "config", Value: []byte(value), IfRevision: lagoonhead.AnyRevision})
	require.NoError(t, err)
	for f.clock.Now()-began < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
		if haveAll(f.daemons[first:], value) {
			return f.clock.Now() - began
		}
	}
	require.Fail(t, "not all daemons have the configuration")
	return 0
}

func haveAll(list []*Daemon, value string) bool {
	for _, d := range list {
		if e, ok := d.copy.Get("config"); !ok || string(e.Value) != value {
			return false
		}
	}
	return true
}

func sum(list []float64) (total float64) {
	for _, v := range list {
		total += v
	}
	return total
}

// Guards against a VM that calls a store which does not serve it more often than one that does,
// in small and in large fleets, and against changes that are in force too late because of the
// pauses between calls.
func TestAStoreThatRefusesVMsIsCalledSeldom(t *testing.T) {
	for _, size := range []int{hub.MaxFlat / 2, hub.MaxFlat + 12} {
		for name, mode := range map[string]refusal{"refuses": refuses, "resets": resets, "silent": silent} {
			t.Run(fmt.Sprint(size, " VMs, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { requireFewCalls(t, size, mode) })
			})
		}
	}
}

func requireFewCalls(t *testing.T, size int, mode refusal) {
	f := newStoreFleet(size)
	defer f.end()
	time.Sleep(5 * time.Second)
	f.write(t, 0, "0")
	usual := f.rates(60)
	first := size * 2 / 3
	f.set(first, mode)
	time.Sleep(5 * time.Second)
	some := f.rates(60)
	inForce := f.write(t, 0, "1")
	t.Logf("calls a second: usual %.1f; VMs that are refused: %.1f, before %.1f; the others: %.1f; in force after %s",
		sum(usual), sum(some[first:]), sum(usual[first:]), sum(some[:first]), inForce)
	for i := first; i < size; i++ {
		require.LessOrEqual(t, some[i], usual[i], "VM %d is refused", i)
	}
	require.LessOrEqual(t, sum(some), sum(usual)*1.2)
	require.LessOrEqual(t, inForce, 2*time.Second)

	f.set(0, mode)
	time.Sleep(5 * time.Second)
	none := f.rates(30)
	f.set(0, serves)
	time.Sleep(3 * time.Second) // after which changes must be in force in time again
	inForce = f.write(t, 0, "2")
	t.Logf("calls a second while the store is down: %.1f; in force after %s", sum(none), inForce)
	for i, v := range none {
		require.LessOrEqual(t, v, 2.5, "VM %d", i)
	}
	require.LessOrEqual(t, inForce, 2*time.Second)

	f.set(first, mode)
	time.Sleep(20 * time.Second)
	f.set(first, serves)
	time.Sleep(maxAttachedPause + time.Second)
	for i, d := range f.daemons {
		_, valid := d.session.Lease()
		require.True(t, valid, "VM %d has a lease", i)
		require.False(t, d.calls.Refused(), "VM %d", i)
	}

	f.set(first, mode)
	time.Sleep(20 * time.Second)
	f.set(0, mode)
	f.set(first, serves) // the store serves just the VMs that it refused
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, f.write(t, first, "3"), 2*time.Second)
}

package origin

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// fleet is a fleet of Trackers that call each other over HTTP.
type fleet struct {
	clock    *timer.Manual
	pool     *peer.Pool
	hubs     []lagoonhead.VM
	trackers []*Tracker
	// released gets the identifier of each VM that releases versions.
	released chan lagoonhead.VMID
	mu       sync.Mutex
	stale    bool
}

// newFleet returns a fleet of n VMs. The handlers of silent ones do not respond.
func newFleet(t *testing.T, n int, silent ...int) *fleet {
	f := &fleet{clock: timer.NewManual(time.Hour, time.Unix(0, 0)), pool: &peer.Pool{}, released: make(chan lagoonhead.VMID, 100)}
	for i := range n {
		r := &Tracker{
			Self: lagoonhead.VMID(fmt.Sprint("vm", i)), Timer: f.clock, Log: zap.NewNop(), Peers: f.pool,
			Hubs: func() []lagoonhead.VM { return f.hubs }, Lifetime: func() time.Duration { return testLifetime }, Fresh: f.fresh,
		}
		r.OnRelease = func() { f.released <- r.Self }
		srv := httptest.NewServer((&peer.Server{Streams: r}).Handler())
		t.Cleanup(srv.Close)
		address := strings.TrimPrefix(srv.URL, "http://")
		for _, s := range silent {
			if s == i {
				address = silentAddress(t)
			}
		}
		f.hubs = append(f.hubs, lagoonhead.NewVM(r.Self, lagoonhead.FailureDomain(fmt.Sprint("d", i%3)), address, false))
		f.trackers = append(f.trackers, r)
		require.Len(t, r.Observe(registered("v1")), 1)
	}
	for _, r := range f.trackers {
		require.NoError(t, r.Run(t.Context()))
	}
	t.Cleanup(f.pool.CloseIdle)
	return f
}

// silentAddress returns the address of a listener that accepts connections and does not respond.
func silentAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

func (f *fleet) fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stale
}

// observe has all VMs observe versions, and waits until each has announced them.
func (f *fleet) observe(versions ...string) {
	for _, r := range f.trackers {
		r.Observe(registered(versions...))
	}
	for range f.trackers {
		<-f.released
	}
}

// counter returns the sum of a counter over all VMs.
func (f *fleet) counter(name string) (n int64) {
	for _, r := range f.trackers {
		var v int64
		_, _ = fmt.Sscan(r.Vars().Get(name).String(), &v)
		n += v
	}
	return n
}

// notHome returns a VM that is no home of a stream and none of those in but.
func (f *fleet) notHome(key uint64, but ...*Tracker) *Tracker {
	for _, r := range f.trackers {
		if !contains(homes(f.hubs, key), r.Self) && (len(but) == 0 || but[0] != r) {
			return r
		}
	}
	return nil
}

// homeKnows reports whether a home knows a stream.
func (f *fleet) homeKnows(key uint64) bool {
	for _, r := range f.trackers {
		if contains(homes(f.hubs, key), r.Self) && r.FindStream(&peer.FindStreamRequest{Service: "s", Stream: key}).GetKnown() {
			return true
		}
	}
	return false
}

// Guards against calls on calm days, and against a stream that is refused then.
func TestOneVersionCostsNoCalls(t *testing.T) {
	f := newFleet(t, 6)
	for i := range 100 {
		f.trackers[i%6].Begin(t.Context(), "s", lagoonhead.RequestID(strconv.Itoa(i)), "v1")
	}
	require.Zero(t, f.counter("calls"))
	require.Zero(t, f.counter("asked"))
	software, source, ok := f.trackers[0].Find(t.Context(), "s", "0")
	require.Equal(t, []any{"v1", sourceLocal, true}, []any{software, source, ok})
	software, source, ok = f.trackers[1].Find(t.Context(), "s", "unknown")
	require.Equal(t, []any{"v1", sourceOnly, true}, []any{software, source, ok})
	require.Zero(t, f.counter("asked"))
	_, _, ok = f.trackers[1].Find(t.Context(), "other", "unknown")
	require.False(t, ok)
}

// Guards against streams whose version is lost with the VM at which they began, those from before
// the second version among them, and against a version that is guessed.
func TestStreamsAreFoundAtTheirHomes(t *testing.T) {
	f := newFleet(t, 6)
	f.trackers[0].Begin(t.Context(), "s", "before", "v1")
	f.observe("v1", "v2")
	require.NotZero(t, f.counter("announcements"))
	for i := range 50 {
		id := lagoonhead.RequestID(fmt.Sprint("id", i))
		began := f.notHome(Key("s", id))
		version := fmt.Sprint("v", 1+i%2)
		began.Begin(t.Context(), "s", id, version)
		software, source, ok := f.notHome(Key("s", id), began).Find(t.Context(), "s", id)
		require.True(t, ok)
		require.Equal(t, version, software)
		require.NotEqual(t, sourceOnly, source)
		require.True(t, f.homeKnows(Key("s", id)), "the VM at which it began may be gone")
	}
	require.True(t, f.homeKnows(Key("s", "before")))
	for _, r := range f.trackers {
		software, _, ok := r.Find(t.Context(), "s", "before")
		require.True(t, ok)
		require.Equal(t, "v1", software)
		_, _, ok = r.Find(t.Context(), "s", "unknown")
		require.False(t, ok)
	}
	require.EqualValues(t, 6, f.counter("notFound"))
	require.Zero(t, f.counter("unconfirmed"))
}

// Guards against a first event that waits for a home that does not respond, and against a stream
// that is not found while the other home responds.
func TestAHomeThatIsSilent(t *testing.T) {
	f := newFleet(t, 6, 2)
	for _, r := range f.trackers { // a hub with a fresh copy knows a version that is in use
		r.Learn(map[string][]string{"s": {"v1", "v2"}})
	}
	for i, found := 0, 0; found < 3; i++ {
		id := lagoonhead.RequestID(strconv.Itoa(i))
		key := Key("s", id)
		h := homes(f.hubs, key)
		if !contains(h, "vm2") || contains(h, "vm0") {
			continue
		}
		found++
		f.trackers[0].Begin(t.Context(), "s", id, "v2")
		for _, r := range f.trackers[3:] {
			software, _, ok := r.Find(t.Context(), "s", id)
			require.True(t, ok)
			require.Equal(t, "v2", software)
		}
	}
	require.Zero(t, f.counter("unconfirmed"))
}

// Guards against a take-up that waits for long, or that goes on at the only version that a VM knows
// although no copy of the registrations is fresh and few VMs respond.
func TestNobodyWhoKnowsResponds(t *testing.T) {
	f := newFleet(t, 4, 1, 2, 3)
	_, _, ok := f.trackers[0].Find(t.Context(), "s", "unknown")
	require.True(t, ok, "its own copy is fresh")
	f.stale = true
	_, _, ok = f.trackers[0].Find(t.Context(), "s", "unknown")
	require.False(t, ok)
	f.trackers[0].Learn(map[string][]string{"s": {"v1", "v2"}})
	f.trackers[0].Begin(t.Context(), "s", "id", "v2")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.trackers[0].Begin(ctx, "s", "left", "v2")
	software, _, ok := f.trackers[0].Find(ctx, "s", "left")
	require.True(t, ok)
	require.Equal(t, "v2", software)
}

// Guards against streams that are refused during an outage of the store although most VMs agree.
func TestTheStoreIsAway(t *testing.T) {
	f := newFleet(t, 6, 4, 5)
	f.stale = true
	software, source, ok := f.trackers[0].Find(t.Context(), "s", "unknown")
	require.Equal(t, []any{"v1", sourceOnly, true}, []any{software, source, ok})
}

// Guards against a new version that waits for a process that does not run, which refuses
// connections, and against one that does not wait for a VM that is silent.
func TestWhoIsWaitedFor(t *testing.T) {
	f := newFleet(t, 3)
	f.hubs = append(f.hubs, lagoonhead.NewVM("down", "d", "127.0.0.1:1", false))
	list := registered("v1", "v2")
	require.Len(t, f.trackers[0].Observe(list), 1)
	for <-f.released != "vm0" { // the others announce it too
	}
	require.Len(t, f.trackers[0].Observe(list), 2)

	f = newFleet(t, 3, 2)
	require.Len(t, f.trackers[0].Observe(list), 1)
	for held := true; held; {
		f.clock.Advance(announceInterval)
		select {
		case id := <-f.released:
			held = id != "vm0"
		case <-time.After(time.Millisecond):
		}
	}
	require.GreaterOrEqual(t, f.clock.Now()-time.Hour, HoldTime)
	require.Len(t, f.trackers[0].Observe(list), 2)
}

// Guards against a VM that starts after a version has gone and takes the other one for the only one
// that has served.
func TestAVMThatStartsAsksWhatHasServed(t *testing.T) {
	f := newFleet(t, 3)
	f.observe("v1", "v2")
	for _, r := range f.trackers {
		r.Observe(registered("v2"))
	}
	r := &Tracker{
		Self: "vm0", Timer: f.clock, Log: zap.NewNop(), Peers: f.pool, Hubs: func() []lagoonhead.VM { return f.hubs },
		Lifetime: func() time.Duration { return testLifetime }, Fresh: f.fresh, OnRelease: func() {},
	}
	require.Len(t, r.Observe(registered("v2")), 1)
	require.False(t, r.FindStream(&peer.FindStreamRequest{Service: "s", Stream: 1}).GetFresh(), "it has not asked yet")
	require.NoError(t, r.Run(t.Context()))
	_, _, ok := r.Find(t.Context(), "s", "unknown")
	require.False(t, ok)
}

// Guards against streams that began before the fleet was known and that only the VM at which they
// began ever knows.
func TestHubsThatBecomeKnownAreTold(t *testing.T) {
	f := newFleet(t, 3)
	all := f.hubs
	f.hubs = all[:1]
	f.trackers[0].Observe(registered("v1", "v2"))
	for <-f.released != "vm0" {
	}
	f.trackers[0].Begin(t.Context(), "s", "id", "v2")
	f.hubs = all
	f.trackers[0].HubsChanged()
	for <-f.released != "vm0" {
	}
	require.True(t, f.homeKnows(Key("s", "id")))
	software, _, ok := f.trackers[1].Find(t.Context(), "s", "id")
	require.True(t, ok)
	require.Equal(t, "v2", software)
}

// Guards against calls that pile up at a home: there is one at a time, and what comes meanwhile
// goes with the next.
func TestCallsAreCoalesced(t *testing.T) {
	const n = 100
	var calls [][]Group
	release := make(chan struct{})
	entered := make(chan struct{}, n)
	var vars counters
	l := teller{vars: &vars, send: func(_ context.Context, _ lagoonhead.VM, g []Group) bool {
		entered <- struct{}{}
		<-release
		calls = append(calls, g)
		return len(calls) > 1
	}}
	home := hubs(1, 1)[0]
	first := l.tell(home, "s", "v1", 0)
	<-entered
	var last *batch
	for i := range n - 1 {
		last = l.tell(home, "s", fmt.Sprint("v", i%2), uint64(i+1))
	}
	close(release)
	<-first.done
	require.False(t, first.told)
	<-last.done
	require.True(t, last.told)
	require.Len(t, calls, 2)
	require.Len(t, calls[1], 2)
	require.EqualValues(t, n-1, vars.told.Value())
	require.EqualValues(t, n-1, vars.coalesced.Value())
}

// Guards against memory that grows while a home does not respond.
func TestWaitingStreamsAreBounded(t *testing.T) {
	var vars counters
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	l := teller{vars: &vars, send: func(context.Context, lagoonhead.VM, []Group) bool {
		entered <- struct{}{}
		<-release
		return true
	}}
	home := hubs(1, 1)[0]
	l.tell(home, "s", "v1", 0)
	<-entered
	for i := range maxPending {
		require.NotNil(t, l.tell(home, "s", "v1", uint64(i)))
	}
	require.Nil(t, l.tell(home, "s", "v1", 0))
	require.EqualValues(t, 1, vars.dropped.Value())
	close(release)
}

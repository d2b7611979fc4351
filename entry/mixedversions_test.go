package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/origin"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// oneKeyStore is a store with one key.
type oneKeyStore struct {
	lagoonhead.Store
	entry lagoonhead.Entry
	puts  int
}

func (s *oneKeyStore) Get(_ context.Context, key string) (lagoonhead.Entry, error) {
	if s.entry.Revision == 0 {
		return lagoonhead.Entry{}, failf("get", lagoonhead.KindNotFound, "key %s does not exist", key)
	}
	return s.entry, nil
}

func (s *oneKeyStore) Put(_ context.Context, r lagoonhead.PutRequest) (int64, error) {
	if r.IfRevision != s.entry.Revision {
		return 0, failf("put", lagoonhead.KindConflict, "revision %d", s.entry.Revision)
	}
	s.puts++
	s.entry = lagoonhead.Entry{Key: r.Key, Value: r.Value, Revision: s.entry.Revision + 1}
	return s.entry.Revision, nil
}

func endpointOf(id lagoonhead.EndpointID, software string) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, "s", "10.0.0.1:1", "a").WithSoftware(software)
}

// newTestTracker returns the tracker of a fleet of one VM.
func newTestTracker(released chan struct{}) *origin.Tracker {
	self := lagoonhead.NewVM("a", "a", "10.0.0.1:1", false)
	return &origin.Tracker{
		Self: "a", Timer: timer.NewManual(time.Hour, time.Unix(0, 0)), Log: zap.NewNop(), Peers: &peer.Pool{},
		Hubs: func() []lagoonhead.VM { return []lagoonhead.VM{self} }, Fresh: func() bool { return true },
		Lifetime: func() time.Duration { return minStreamLifetime }, OnRelease: func() { released <- struct{}{} },
	}
}

// Guards against a write of the key on calm days, against writes that repeat, and against a daemon
// that starts and does not learn which versions have gone.
func TestMixedVersionsAreStored(t *testing.T) {
	released := make(chan struct{}, 10)
	store := &oneKeyStore{}
	m := &mixedVersions{tracker: newTestTracker(released), store: store, log: zap.NewNop(), place: func() int { return 0 }, starting: func() bool { return false }}
	m.tracker.Observe([]lagoonhead.Endpoint{endpointOf("e1", "v1")})
	require.NoError(t, m.write(t.Context()))
	require.Zero(t, store.puts)
	m.tracker.Observe([]lagoonhead.Endpoint{endpointOf("e1", "v1"), endpointOf("e2", "v2")})
	<-released
	for range 3 {
		require.NoError(t, m.write(t.Context()))
		m.read(store.entry.Value)
	}
	require.Equal(t, 1, store.puts)

	second := &mixedVersions{tracker: newTestTracker(released), store: store, log: zap.NewNop(), place: func() int { return 1 }, starting: func() bool { return false }}
	second.read(store.entry.Value)
	second.tracker.Observe([]lagoonhead.Endpoint{endpointOf("e2", "v2")})
	require.NoError(t, second.write(t.Context()))
	require.Equal(t, 1, store.puts, "it removes nothing")
	second.tracker.Observe([]lagoonhead.Endpoint{endpointOf("e2", "v2"), endpointOf("e3", "v3")})
	<-released
	require.NoError(t, second.write(t.Context()))
	require.JSONEq(t, `{"s":["v1","v2","v3"]}`, string(store.entry.Value))
	store.entry.Value = []byte(`{"s":["v1","v2"]}`)

	starting := true
	other := &mixedVersions{tracker: newTestTracker(released), log: zap.NewNop(), starting: func() bool { return starting }}
	other.read(store.entry.Value)
	<-released
	require.Len(t, other.tracker.Observe([]lagoonhead.Endpoint{endpointOf("e2", "v2")}), 1)
	_, _, ok := other.tracker.Find(t.Context(), "s", "unknown")
	require.False(t, ok, "the stream may have begun at v1")

	starting = false
	third := &mixedVersions{tracker: newTestTracker(released), log: zap.NewNop(), starting: func() bool { return starting }}
	third.read([]byte("{"))
	third.read(store.entry.Value)
	require.Empty(t, third.tracker.Mixed(), "a daemon that runs hears of versions from peers")
	third.read(nil)
	require.Empty(t, third.stored)
}

// Guards against a daemon that was suspended and takes what its watch returned before for new.
func TestAPauseOfTheProcess(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	d := &Daemon{Timer: clock, Log: zap.NewNop(), Platform: Platform{EndpointPrefix: "e/"}}
	d.Settings.VM = "a"
	d.buildState()
	d.buildWork()
	d.members.Put(lagoonhead.Entry{Key: memberPrefix + "a", Value: []byte(`{"failureDomain":"a","peerAddress":"10.0.0.1:1"}`)}, mirror.Origin{})
	d.members.Applied()
	pass := func(dt time.Duration) {
		for range dt / awakeInterval {
			clock.Advance(awakeInterval)
			d.awake.check()
			d.copy.Watched("e/", nil, 1, clock.Now())
		}
	}
	d.copy.Listed("e/", nil, 1, clock.Now())
	require.False(t, d.knowsVersions(), "it has just started")
	pass(awakeTime)
	require.True(t, d.knowsVersions())
	clock.Advance(maxPause + 1)
	d.copy.Watched("e/", nil, 1, clock.Now())
	require.False(t, d.knowsVersions())
	pass(awakeTime)
	require.True(t, d.knowsVersions())
	for range maxUpdateAge/awakeInterval + 1 {
		clock.Advance(awakeInterval)
		d.awake.check()
	}
	require.False(t, d.knowsVersions(), "the store has not responded")
}

// Guards against streams that are forgotten before their callers give up.
func TestStreamLifetime(t *testing.T) {
	d := &Daemon{config: &configuration{}}
	require.Equal(t, minStreamLifetime, d.streamLifetime())
	for _, c := range []struct{ longest, want time.Duration }{
		{10 * time.Second, minStreamLifetime}, {2 * time.Minute, 2*time.Minute + streamLifetimeMargin}, {time.Hour, maxStreamLifetime}, {0, maxStreamLifetime},
	} {
		d.config.current.Store(catalog.New(catalog.Spec{Routes: []catalog.Route{{Timeout: time.Second}, {Timeout: c.longest}}}))
		require.Equal(t, c.want, d.streamLifetime())
	}
}

// Guards against an engine of a new version that gets work before the other VMs know the version,
// or never.
func TestTheBoardLacksVersionsThatAreNotAnnounced(t *testing.T) {
	d := &Daemon{Timer: timer.NewManual(time.Hour, time.Unix(0, 0)), Log: zap.NewNop(), Platform: Platform{EndpointPrefix: "e/"}}
	d.Settings.VM = "a"
	d.buildState()
	d.buildWork()
	placeable := func() (n int) {
		d.dispatcher.WithBoard(func(b *steer.Board) { n = b.Len() })
		return n
	}
	d.endpoints.roster.Put("e/1", endpointOf("1", "v1"))
	d.endpoints.Applied()
	require.Equal(t, 1, placeable())
	d.endpoints.roster.Put("e/2", endpointOf("2", "v2"))
	d.endpoints.Applied()
	require.Equal(t, 1, placeable(), "the VMs are not known")
	require.False(t, d.knowsVersions())

	d.members.Put(lagoonhead.Entry{Key: memberPrefix + "a", Value: []byte(`{"failureDomain":"a","peerAddress":"10.0.0.1:1"}`)}, mirror.Origin{})
	d.members.Applied()
	clock := d.Timer.(*timer.Manual)
	require.Eventually(t, func() bool {
		clock.Advance(20 * time.Millisecond)
		return placeable() == 2
	}, time.Minute, time.Millisecond)
}

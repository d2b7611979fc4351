package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

const testLifetime = time.Minute

// registered returns one endpoint of service s for each software version.
func registered(versions ...string) (list []lagoonhead.Endpoint) {
	for i, v := range versions {
		e := lagoonhead.NewEndpoint(lagoonhead.EndpointID(fmt.Sprint("e", i, v)), lagoonhead.EndpointKindEngine, "s", "", "a")
		list = append(list, e.WithSoftware(v))
	}
	return list
}

// Guards against calls while a service has one version, and against a new version that is used
// before the hubs are told of it and of the streams that began before.
func TestASecondVersionIsAnnouncedBeforeItIsUsed(t *testing.T) {
	b := NewBook(testLifetime)
	now := time.Hour
	require.False(t, b.Observe(now, registered("v1")))
	require.False(t, b.Begin(now, "s", "v1", 1))
	require.False(t, b.Observe(now, registered("v1", "v1")))
	require.Nil(t, b.Announce(now))

	now += time.Second
	list := registered("v1", "v2")
	require.True(t, b.Observe(now, list))
	require.Equal(t, list[:1], b.Usable(list))
	require.True(t, b.Begin(now, "s", "v1", 2))
	a := b.Announce(now)
	require.Equal(t, []Group{{"s", "v1", []uint64{1}}, {"s", "v2", nil}}, a.Groups)
	require.Nil(t, b.Announce(now), "one announcement is enough")

	require.Equal(t, list[:1], b.Usable(list), "not all hubs have been told")
	b.Announced(a)
	require.Equal(t, list, b.Usable(list))
	require.False(t, b.Observe(now, list))
	require.Equal(t, list, b.Usable(list))
}

// Guards against a new version that is never used because hubs do not respond, and against one that
// a VM uses while most hubs are cut off and take the old one for the only one.
func TestHowLongAVersionIsHeld(t *testing.T) {
	b := NewBook(testLifetime)
	now := time.Hour
	b.Observe(now, registered("v1"))
	list := registered("v1", "v2")
	b.Observe(now, list)
	a := b.Announce(now)
	for _, c := range []struct {
		after      time.Duration
		told, hubs int
		want       bool
	}{
		{0, 6, 6, true}, {0, 1, 1, true}, {0, 5, 6, false}, {0, 0, 0, false},
		{HoldTime - 1, 5, 6, false}, {HoldTime, 5, 6, true}, {HoldTime, 3, 6, true}, {HoldTime, 1, 2, true}, {HoldTime, 4, 7, true},
		{HoldTime, 2, 6, false}, {HoldTime, 3, 7, false}, {HoldTime, 0, 6, false},
		{maxHoldTime - 1, 2, 6, false}, {maxHoldTime, 1, 6, true},
	} {
		require.Equal(t, c.want, a.Over(now+c.after, c.told, c.hubs), c)
	}
	require.Equal(t, list[:1], b.Usable(list))
	require.Equal(t, 1, b.Held())
	require.Equal(t, map[string][]string{"s": {"v1", "v2"}}, a.Versions())
	b.Announced(a)
	require.Zero(t, b.Held())
	require.False(t, b.Observe(now+HoldTime, list))
	require.Equal(t, list, b.Usable(list))
}

// Guards against a version that a peer named first, and that this VM uses although other hubs may
// not know it.
func TestAVersionThatAPeerNamedIsAnnouncedToo(t *testing.T) {
	b := NewBook(testLifetime)
	now := time.Hour
	b.Observe(now, registered("v1"))
	b.Begin(now, "s", "v1", 1)
	require.True(t, b.Record(now, []Group{{Service: "s", Software: "v2"}}))
	first := b.Announce(now)
	require.Equal(t, []uint64{1}, first.Groups[0].Streams)
	list := registered("v1", "v2")
	require.True(t, b.Observe(now, list))
	require.Len(t, b.Usable(list), 1)
	require.NotNil(t, b.Announce(now))
}

// Guards against a VM that starts while two versions serve and uses neither, and against one that
// uses a version that others may not know.
func TestAVMThatStartsHoldsVersionsThatAreNotCleared(t *testing.T) {
	now := time.Hour
	list := registered("v1", "v2", "v3")
	other := NewBook(testLifetime)
	other.Observe(now, list[:1])
	other.Observe(now, list[:2])
	require.Equal(t, map[string][]string{"s": {"v1"}}, other.Mixed(now))
	other.Announced(other.Announce(now))
	require.Equal(t, map[string][]string{"s": {"v1", "v2"}}, other.Mixed(now))

	b := NewBook(testLifetime)
	require.False(t, b.Observe(now, nil))
	b.Learn(now, other.Mixed(now))
	require.True(t, b.Observe(now, list))
	require.Equal(t, list[:2], b.Usable(list))

	late := NewBook(testLifetime)
	late.Observe(now, list)
	require.Empty(t, late.Usable(list))
	late.Learn(now, other.Mixed(now))
	require.Equal(t, list[:2], late.Usable(list))
}

// Guards against versions of one service that count for another.
func TestServicesAreApart(t *testing.T) {
	b := NewBook(testLifetime)
	other := lagoonhead.NewEndpoint("o", lagoonhead.EndpointKindEngine, "other", "", "a").WithSoftware("v2")
	require.False(t, b.Observe(time.Hour, append(registered("v1"), other)))
	require.False(t, b.Begin(time.Hour, "s", "v1", Key("s", "id")))
	require.Equal(t, Answer{Versions: []string{"v2"}}, b.Answer(time.Hour, "other", Key("other", "id")))
	require.True(t, b.Answer(time.Hour, "s", Key("s", "id")).Known)
	require.NotEqual(t, Key("a", "bc"), Key("ab", "c"))
}

// Guards against a version that is forgotten while streams that began at it may be taken up, and
// against calls without end after a release.
func TestVersionsAndStreamsExpire(t *testing.T) {
	b := NewBook(testLifetime)
	now := time.Hour
	b.Observe(now, registered("v1"))
	b.Observe(now, registered("v1", "v2"))
	now += 10 * time.Second
	b.Begin(now, "s", "v1", 1)
	b.Observe(now, registered("v2"))
	end := now + testLifetime
	require.True(t, b.Begin(end, "s", "v2", 2))
	require.Equal(t, Answer{Known: true, Software: "v1"}, b.Answer(end, "s", 1))
	require.Equal(t, []string{"v1", "v2"}, b.Answer(end, "s", 3).Versions)
	require.Len(t, b.Mixed(end), 1)

	now = end + expiryInterval
	require.Equal(t, Answer{Versions: []string{"v2"}}, b.Answer(now, "s", 1))
	require.Empty(t, b.Mixed(now))
	require.False(t, b.Begin(now, "s", "v2", 4))
	require.Equal(t, 2, b.Len())
	b.Answer(now+testLifetime+1, "s", 1)
	require.Zero(t, b.Len())
	require.Zero(t, b.Evicted())
}

// Guards against memory that grows with the streams of a flood, and against newer streams that are
// removed before older ones.
func TestStreamsAreBounded(t *testing.T) {
	b := NewBook(testLifetime)
	b.Observe(time.Hour, registered("v1"))
	const extra = 1000
	for i := range uint64(maxStreams + extra) {
		b.Begin(time.Hour+time.Duration(i), "s", "v1", i)
	}
	require.Equal(t, maxStreams, b.Len())
	require.EqualValues(t, extra, b.Evicted())
	require.LessOrEqual(t, len(b.streams.order), 2*maxStreams+1)
	require.False(t, b.Answer(time.Hour, "s", extra-1).Known)
	require.True(t, b.Answer(time.Hour, "s", extra).Known)
}

// Guards against a guess where a caller has used one identifier for two streams.
func TestAnIdentifierOfTwoStreamsIsNotKnown(t *testing.T) {
	b := NewBook(testLifetime)
	b.Record(time.Hour, []Group{{"s", "v1", []uint64{1}}})
	require.True(t, b.Answer(time.Hour, "s", 1).Known)
	b.Record(time.Hour, []Group{{"s", "v1", []uint64{1}}})
	require.True(t, b.Answer(time.Hour, "s", 1).Known, "a repeat changes nothing")
	b.Record(time.Hour, []Group{{"s", "v2", []uint64{1}}})
	require.Equal(t, Answer{Versions: []string{"v1", "v2"}}, b.Answer(time.Hour, "s", 1))
}

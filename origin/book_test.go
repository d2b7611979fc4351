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
	require.Equal(t, list[:1], b.Usable(now, list))
	require.True(t, b.Begin(now, "s", "v1", 2))
	a := b.Announce(now)
	require.Equal(t, []Group{{"s", "v1", []uint64{1}}, {"s", "v2", nil}}, a.Groups)
	require.Nil(t, b.Announce(now), "one announcement is enough")

	b.Announced(now, a, false)
	require.Equal(t, list[:1], b.Usable(now, list), "a hub does not know it and has not had the time to see it")
	b.Announced(now, a, true)
	require.Equal(t, list, b.Usable(now, list))
	require.False(t, b.Observe(now, list))
	require.Equal(t, list, b.Usable(now, list))
}

// Guards against a new version that is never used because a hub does not respond.
func TestAVersionIsHeldForABoundedTime(t *testing.T) {
	b := NewBook(testLifetime)
	now := time.Hour
	b.Observe(now, registered("v1"))
	list := registered("v1", "v2")
	b.Observe(now, list)
	a := b.Announce(now)
	require.Len(t, b.Usable(now+HoldTime-1, list), 1)
	require.Len(t, b.Usable(now+HoldTime, list), 2)
	require.Equal(t, now+HoldTime, a.End)
	b.Announced(a.End, a, false)
	require.False(t, b.Observe(a.End, list))
	require.Len(t, b.Usable(a.End, list), 2)
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
	require.Len(t, b.Usable(now, list), 1)
	require.NotNil(t, b.Announce(now))
}

// Guards against a VM that starts while two versions serve and uses neither.
func TestAVMThatStartsHoldsNoVersion(t *testing.T) {
	b := NewBook(testLifetime)
	require.False(t, b.Observe(time.Hour, nil))
	b.Record(time.Hour, []Group{{Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}})
	list := registered("v1", "v2")
	require.True(t, b.Observe(time.Hour, list), "others may not know both")
	require.Equal(t, list, b.Usable(time.Hour, list))
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

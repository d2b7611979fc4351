package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against an endpoint that has left and gets work until it exits, because watches that the
// store cuts count as an outage, in which entries of live endpoints lapse.
func TestCutWatchesAreNoOutage(t *testing.T) {
	v := newEvacuatedVM(t)
	revision := int64(1)
	for range 10 {
		v.clock.Advance(2 * time.Second) // longer than an outage, with responses in between
		v.copy.Reached("endpoints/", v.clock.Now()-time.Second)
		v.copy.Failed("endpoints/", v.clock.Now(), errors.New("cut"))
		v.clock.Advance(50 * time.Millisecond)
		v.list("endpoints/", revision, lagoonhead.Entry{Key: "endpoints/a", Revision: 1}, lagoonhead.Entry{Key: "endpoints/b", Revision: 1})
		v.clock.Advance(100 * time.Millisecond)
	}
	revision++
	v.copy.Watched("endpoints/", []lagoonhead.Event{{Entry: lagoonhead.Entry{Key: "endpoints/b", Revision: revision}, Deleted: true}}, revision, v.clock.Now())
	requireUsed(t, v, true, false)
}

// Guards against an endpoint that is kept because its removal is first seen in the list that follows
// a cut watch.
func TestAListAfterACutWatchRemoves(t *testing.T) {
	v := newEvacuatedVM(t)
	v.clock.Advance(time.Second)
	v.copy.Failed("endpoints/", v.clock.Now(), errors.New("cut"))
	v.clock.Advance(400 * time.Millisecond)
	v.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Revision: 1})
	requireUsed(t, v, true, false)
}

// Guards against an endpoint that is kept because a hub has told of a call to the store that failed,
// which was no outage there.
func TestACutWatchOfAHubIsNoOutage(t *testing.T) {
	hub, v := newEvacuatedVM(t), newEvacuatedVM(t)
	advance := func(d time.Duration) {
		v.clock.Advance(d)
		hub.clock.Advance(d)
		v.pull(hub)
	}
	advance(100 * time.Millisecond)
	for range 5 {
		hub.list("endpoints/", 1, lagoonhead.Entry{Key: "endpoints/a"}, lagoonhead.Entry{Key: "endpoints/b"})
		advance(time.Second)
		hub.copy.Failed("endpoints/", hub.clock.Now(), errors.New("cut"))
		advance(100 * time.Millisecond)
	}
	hub.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Revision: 1})
	advance(100 * time.Millisecond)
	requireUsed(t, v, true, false)
}

// Guards against an endpoint that has left and is kept by an attached VM, because its hub has lost the
// store and it had to read the store itself, which was there all the while.
func TestAHubWithoutTheStoreIsNoOutage(t *testing.T) {
	hub, v := newEvacuatedVM(t), newEvacuatedVM(t)
	v.pull(hub)
	hub.copy.Failed("endpoints/", hub.clock.Now(), errors.New("turned away"))
	for range 6 {
		v.clock.Advance(maxUpdateAge / 6)
		hub.clock.Advance(maxUpdateAge / 6)
		v.pull(hub)
	}
	v.clock.Advance(200 * time.Millisecond)
	v.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Revision: 1})
	requireUsed(t, v, true, false)
}

// Guards against live endpoints that are dropped after an outage of the store, or after a second one
// that begins before they have registered again.
func TestEndpointsOutlastOutages(t *testing.T) {
	v := newEvacuatedVM(t)
	for range 3 {
		for range 5 {
			v.clock.Advance(time.Second)
			v.copy.Failed("endpoints/", v.clock.Now(), errors.New("down"))
			v.endpoints.removeLapsed()
		}
		v.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Revision: 1})
		v.clock.Advance(700 * time.Millisecond)
		v.copy.Reached("endpoints/", v.clock.Now())
		v.endpoints.removeLapsed()
		requireUsed(t, v, true, true)
	}
	v.clock.Advance(200 * time.Millisecond) // 2.3 s in which it could register again
	v.endpoints.removeLapsed()
	requireUsed(t, v, true, false)
}

// Guards against an outage that an attached VM does not hear of from its hub.
func TestAnOutageOfAHubIsAnOutage(t *testing.T) {
	hub, v := newEvacuatedVM(t), newEvacuatedVM(t)
	for range 5 {
		for _, d := range []evacuatedVM{hub, v} {
			d.clock.Advance(time.Second)
		}
		v.pull(hub)
		hub.copy.Failed("endpoints/", hub.clock.Now(), errors.New("down"))
	}
	hub.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Revision: 1})
	v.pull(hub)
	requireUsed(t, v, true, true)
}

// Guards against an endpoint that has left and is kept by a VM that the store turns away, although its hub,
// which reads the store, has had no outage: the VM heard of the removal 2.9 s after its last state.
func TestATurnedAwayVMIsNoOutage(t *testing.T) {
	hub, v := newEvacuatedVM(t), newEvacuatedVM(t)
	v.pull(hub)
	advance := func(d time.Duration) {
		hub.clock.Advance(d)
		v.clock.Advance(d)
	}
	advance(maxUpdateAge)
	v.copy.Failed("endpoints/", v.clock.Now(), errors.New("turned away"))
	advance(200 * time.Millisecond)
	hub.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Revision: 1})
	requireUsed(t, hub, true, false)
	advance(500 * time.Millisecond)
	v.pull(hub)
	requireUsed(t, v, true, false)
}

// pull merges what the copy of a hub has.
func (v evacuatedVM) pull(hub evacuatedVM) {
	now := v.clock.Now()
	v.copy.Merge(hub.copy.UpdateFor(now, v.copy.Position(now)), now, maxUpdateAge)
}

// requireUsed requires that the endpoints a and b of a VM are in use or not.
func requireUsed(t *testing.T, v evacuatedVM, a, b bool) {
	t.Helper()
	usesA, usesB := v.used(lagoonhead.RegionSet{})
	require.Equal(t, [2]bool{a, b}, [2]bool{usesA, usesB})
}

package entry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/hub"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/timer"
)

// newMembers returns the members of a fleet of n VMs in one failure domain, as seen by self.
func newMembers(t *testing.T, self lagoonhead.VMID, n int) *members {
	t.Helper()
	m := &members{self: self, domain: "a", log: zap.NewNop(), slotsChanged: func() {}, vms: make(map[string]lagoonhead.VM)}
	for i := range n {
		value, err := json.Marshal(presence{FailureDomain: "a", PeerAddress: fmt.Sprint("10.0.0.", i, ":1")})
		require.NoError(t, err)
		m.Put(lagoonhead.Entry{Key: fmt.Sprintf("%svm%02d", memberPrefix, i), Value: value}, mirror.Origin{})
	}
	m.Applied()
	return m
}

// attached returns a VM of a large fleet that is no hub, with its attachment.
func attached(t *testing.T, clock timer.Timer) *attachment {
	t.Helper()
	for i := range hub.MaxFlat + 4 {
		m := newMembers(t, lagoonhead.VMID(fmt.Sprintf("vm%02d", i)), hub.MaxFlat+4)
		if !m.isHub() {
			return &attachment{members: m, timer: clock, prefixes: []string{"p/"}}
		}
	}
	t.Fatal("all VMs are hubs")
	return nil
}

func update(age time.Duration, lost bool) mirror.Update {
	return mirror.Update{Prefixes: []mirror.PrefixState{{Prefix: "p/", Revision: 1, Age: age, Lost: lost}}}
}

// Guards against a daemon that stays with a hub that does not respond or has lost the store,
// and against one that reads the store while a hub keeps its copy up to date.
func TestAttachment(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	a := attached(t, clock)
	require.False(t, a.idle(), "no hub has sent anything")
	first := a.peers()
	require.Len(t, first, 1)
	a.merged(first[0].ID(), update(0, false), clock.Now())
	require.True(t, a.idle())
	clock.Advance(maxUpdateAge)
	require.True(t, a.idle())
	clock.Advance(1)
	require.False(t, a.idle())

	a.fail(first[0].ID())
	second := a.peers()
	require.NotEqual(t, first[0].ID(), second[0].ID())
	for _, u := range []mirror.Update{update(maxUpdateAge+1, false), update(0, true), {}} {
		clock.Advance(hubRetryTime + 1)
		require.Equal(t, first[0].ID(), a.peers()[0].ID(), "a hub is tried again")
		a.merged(first[0].ID(), u, clock.Now())
		require.NotEqual(t, first[0].ID(), a.peers()[0].ID())
		require.False(t, a.idle())
	}
	for _, v := range a.members.Hubs() {
		a.fail(v.ID())
	}
	require.Len(t, a.peers(), 1, "one is tried while all have failed")
}

// Guards against a daemon that relies on its hub although the entries are old: the age of an
// update and the time since it must not add up. A leaving endpoint got work 4 s after its
// entry had changed.
func TestOldUpdatesDoNotKeepADaemonFromTheStore(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	a := attached(t, clock)
	first := a.peers()[0].ID()
	changed := clock.Now()
	for clock.Now()-changed < 10*time.Second {
		a.merged(first, update(clock.Now()-changed, false), clock.Now())
		if !a.idle() {
			break
		}
		clock.Advance(100 * time.Millisecond)
	}
	require.LessOrEqual(t, clock.Now()-changed, 2500*time.Millisecond, "a change must be in force within 3 s")
}

// Guards against a daemon that does not know the fleet yet and waits for a hub.
func TestANewDaemonReadsTheStore(t *testing.T) {
	m := &members{self: "a", seeds: []lagoonhead.VM{lagoonhead.NewVM("seed", "", "10.0.0.1:1", false)}}
	a := &attachment{members: m, timer: timer.NewManual(time.Hour, time.Unix(0, 0)), prefixes: []string{"p/"}}
	require.False(t, a.idle())
	require.Equal(t, m.seeds, a.peers())
	require.True(t, m.isHub())
	require.True(t, m.isFlat())
}

// Guards against a slot table that is read late, and against its entry taken for a VM.
func TestTheSlotTableIsNoMember(t *testing.T) {
	changed := 0
	m := &members{self: "a", log: zap.NewNop(), slotsChanged: func() { changed++ }, vms: make(map[string]lagoonhead.VM)}
	m.Put(lagoonhead.Entry{Key: slotsKey, Value: []byte("{}")}, mirror.Origin{})
	m.Put(lagoonhead.Entry{Key: fleetPrefix + "duty/usage/0", Value: []byte("{}")}, mirror.Origin{})
	m.Removed(fleetPrefix+"duty/usage/0", mirror.Origin{})
	m.Applied()
	require.Equal(t, 1, changed)
	require.Nil(t, m.layout())
}

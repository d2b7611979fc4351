package lease_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against an epoch that two holders of a duty have because the store lost the record of
// the first, and against one that is lower than the lost one.
func TestARestoreGivesNoEpochOutTwice(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	fake := &fakewire.Store{KV: fakeplatform.NewKV(clock)}
	fake.SetEra(1)
	srv := httptest.NewServer(fake.Handler())
	defer srv.Close()
	duty := lease.Duty{Kind: "some"}
	newKeeper := func(vm lagoonhead.VMID) *lease.Keeper {
		store := platform.NewStore(strings.TrimPrefix(srv.URL, "http://"), 0)
		s := &lease.Session{Store: store, Timer: clock, TTL: 2 * time.Second, RenewInterval: 500 * time.Millisecond, Margin: 300 * time.Millisecond}
		k := &lease.Keeper{
			Store: store, Session: s, Timer: clock, VM: vm, Incarnation: lagoonhead.Incarnation(vm), Duties: []lease.Duty{duty}, Fenced: true,
		}
		return k
	}
	step := func(k *lease.Keeper) *lease.Tenure {
		k.Session.Step(t.Context())
		k.Step(t.Context())
		return k.Tenure(duty)
	}
	backup := fake.KV.Backup()
	a, b := newKeeper("a"), newKeeper("b")
	first := step(a)
	require.NotNil(t, first)
	clock.Advance(3 * time.Second)
	second := step(b)
	require.NotNil(t, second)
	require.Greater(t, second.Epoch(), first.Epoch())
	fake.Restore(backup)
	third := step(a)
	require.NotNil(t, third)
	require.Greater(t, third.Epoch(), second.Epoch())
	require.Nil(t, step(b), "its lease is from before the restore, and another VM holds the duty")
	require.Less(t, third.Epoch(), int64(1)<<53, "receivers may read the number as a floating-point one")
}

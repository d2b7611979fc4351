package suspect

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

func newTable() (*Table, *timer.Manual) {
	m := timer.NewManual(time.Hour, time.Unix(0, 0))
	return &Table{Timer: m}, m
}

func requireRefused(t *testing.T, v *Table, f uint64, want bool) {
	t.Helper()
	_, err := v.Check(f)
	require.Equal(t, want, lagoonhead.IsKind(err, lagoonhead.KindForbidden), err)
}

// Guards against a cause that is not refused after it crashed a second endpoint, or that is
// refused for longer than RefusedFor.
func TestSecondCrashRefuses(t *testing.T) {
	v, m := newTable()
	suspect, err := v.Check(1)
	require.NoError(t, err)
	require.False(t, suspect)
	v.Crashed(1, "a")
	v.Crashed(1, "a")
	suspect, err = v.Check(1)
	require.NoError(t, err)
	require.True(t, suspect, "the same endpoint twice may be the endpoint's fault")
	require.Equal(t, []lagoonhead.EndpointID{"a"}, v.Avoid(1))
	m.Advance(time.Minute)
	v.Crashed(1, "b")
	requireRefused(t, v, 1, true)
	v.Finished(1)
	requireRefused(t, v, 1, true)
	m.Advance(RefusedFor)
	requireRefused(t, v, 1, false)
	v.Crashed(1, "c")
	requireRefused(t, v, 1, true)
}

// Guards against a cause that crashes its only endpoint repeatedly.
func TestRepeatsOnOneEndpointAreBrieflyRefused(t *testing.T) {
	v, m := newTable()
	for range 1 + briefRefusalRepeats {
		requireRefused(t, v, 1, false)
		v.Crashed(1, "a")
		m.Advance(stormWindow)
	}
	requireRefused(t, v, 1, true)
	m.Advance(BrieflyRefusedFor)
	requireRefused(t, v, 1, false)
}

// Guards against an innocent request that stays a suspect after it ended, also when a peer
// sends the old crash again.
func TestFinishedClears(t *testing.T) {
	v, m := newTable()
	v.Crashed(1, "a")
	old := v.Notices()
	m.Advance(time.Second)
	v.Finished(1)
	for range 100 {
		m.Advance(250 * time.Millisecond)
		v.Merge(old)
		old[0].AgeMs += 250
	}
	suspect, err := v.Check(1)
	require.NoError(t, err)
	require.False(t, suspect)
}

// Guards against a long refusal of an innocent request that was on as many crashed endpoints
// as the cause, and against a cause that isn't refused because of such a request.
func TestRivals(t *testing.T) {
	v, m := newTable()
	for i, id := range []lagoonhead.EndpointID{"a", "b"} {
		v.Crashed(1, id)
		v.Crashed(2, id)
		v.Crashed(uint64(10+i), id)
		m.Advance(time.Minute)
	}
	requireRefused(t, v, 1, false)
	requireRefused(t, v, 2, false)
	v.Crashed(1, "c")
	requireRefused(t, v, 1, true)
	requireRefused(t, v, 2, false)
	v.Crashed(2, "c")
	requireRefused(t, v, 2, true)
	m.Advance(BrieflyRefusedFor)
	requireRefused(t, v, 1, false)
	requireRefused(t, v, 2, false)
	v.Crashed(1, "d")
	m.Advance(BrieflyRefusedFor)
	requireRefused(t, v, 1, true)
	requireRefused(t, v, 2, false)
}

// Guards against the loss of a failure domain that makes suspects of all its requests, and
// against several causes whose crashes are repeatedly ignored as such a loss.
func TestStorm(t *testing.T) {
	v, m := newTable()
	for round := range 2 {
		for i := range uint64(12) {
			v.Crashed(i, lagoonhead.EndpointID(fmt.Sprint(round, i%4)))
		}
		suspect, err := v.Check(3)
		require.NoError(t, err)
		require.Equal(t, round > 0, suspect)
		m.Advance(time.Minute)
	}
	w, _ := newTable()
	for i := range 5 {
		w.Crashed(1, lagoonhead.EndpointID(strconv.Itoa(i)))
	}
	requireRefused(t, w, 1, true)
}

// Guards against a table that grows without bound or evicts the cause before innocent
// requests.
func TestBound(t *testing.T) {
	v, m := newTable()
	v.MaxEntries = 10
	v.Crashed(1, "a")
	m.Advance(time.Minute)
	v.Crashed(1, "b")
	for i := range uint64(1000) {
		v.Crashed(100+i, "c")
		v.Merge([]*peer.SuspectNotice{{Fingerprint: 5000 + i, Endpoints: []string{"d"}}})
	}
	require.Equal(t, int64(10), v.size.Load())
	requireRefused(t, v, 1, true)
	for i := range 100 {
		v.Merge([]*peer.SuspectNotice{{Fingerprint: 1, Endpoints: []string{strconv.Itoa(i)}, AgeMs: -5}})
	}
	require.Len(t, v.entries[1].endpoints, maxEndpoints)
	v.Merge([]*peer.SuspectNotice{{}, {Fingerprint: 7, Endpoints: []string{"a"}, AgeMs: 1 << 62}, nil})
	require.NotContains(t, v.entries, uint64(7))
}

// Guards against notices that are too long for a heartbeat or leave out refused requests.
func TestNotices(t *testing.T) {
	v, m := newTable()
	v.Crashed(1, "a")
	m.Advance(time.Minute)
	v.Crashed(1, "b")
	m.Advance(time.Minute)
	for i := range uint64(100) {
		v.Crashed(10+i, "c")
	}
	n := v.Notices()
	require.Len(t, n, maxNotices)
	require.Equal(t, uint64(1), n[0].Fingerprint)
	require.Equal(t, []string{"a", "b"}, n[0].Endpoints)
	require.Equal(t, time.Minute.Milliseconds(), n[0].AgeMs)
	w, _ := newTable()
	w.Merge(n)
	requireRefused(t, w, 1, true)
	m.Advance(noticePeriod)
	require.Len(t, v.Notices(), 1, "suspects are sent for a short time only")
}

package bodybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const mib = 1 << 20

// fill opens n bodies of a group, each of which holds its announced size.
func fill(t *testing.T, l *ledger, now time.Duration, group string, n int, size int64) (list []*entry) {
	t.Helper()
	for range n {
		e := l.open(now, group, size)
		l.expose(now, e)
		require.True(t, l.take(e, size))
		list = append(list, e)
	}
	return list
}

// Guards against large bodies that keep ordinary requests out.
func TestSmallBodiesHaveAReserve(t *testing.T) {
	l := newLedger(40 * mib)
	fill(t, l, 0, "a", 30, mib)
	require.False(t, l.take(l.open(0, "a", mib), mib))
	for range 500 {
		require.True(t, l.take(l.open(0, "b", 17<<10), 17<<10))
	}
}

// Guards against a body of unknown length that takes the whole reserve in small steps.
func TestABodyOfUnknownLengthLeavesTheReserve(t *testing.T) {
	l := newLedger(40 * mib)
	fill(t, l, 0, "a", 30, mib)
	e := l.open(0, "b", -1)
	for l.take(e, 4<<10) {
	}
	require.EqualValues(t, smallBody, e.held)
}

// Guards against bodies that stand still and keep others out for ever, and against revoking bodies
// that have arrived.
func TestStalledBodiesYield(t *testing.T) {
	l := newLedger(40 * mib)
	list := fill(t, l, 0, "a", 30, mib)
	for _, e := range list[:10] {
		require.True(t, l.protect(e))
	}
	l.receive(stalledAfter, list[10], minProgress)
	e := l.open(stalledAfter, "a", 4*mib)
	revoked, enough := l.makeRoom(stalledAfter, e, 4*mib)
	require.True(t, enough)
	require.Equal(t, list[11:15], revoked)
	require.False(t, l.take(e, 4*mib), "the bytes are not back yet")
	for _, v := range revoked {
		require.False(t, l.protect(v))
		l.close(v)
	}
	require.True(t, l.take(e, 4*mib))
	require.Zero(t, l.returning)
	require.EqualValues(t, 30*mib, l.held)
}

// Guards against one workspace that keeps the bodies of all others out, against bodies of two
// workspaces that revoke each other in turn, and against a workspace that revokes its own bodies.
func TestTheLargestWorkspaceYields(t *testing.T) {
	l := newLedger(40 * mib)
	hot := fill(t, l, 0, "hot", 30, mib)
	newest := hot[29]
	other := l.open(0, "other", mib)
	revoked, enough := l.makeRoom(0, other, mib)
	require.True(t, enough)
	require.Equal(t, []*entry{newest}, revoked)
	l.close(newest)
	require.True(t, l.take(other, mib))
	_, enough = l.makeRoom(0, l.open(0, "hot", mib), mib)
	require.False(t, enough)
	for n := 0; ; n++ {
		e := l.open(0, "other", mib)
		revoked, enough := l.makeRoom(0, e, mib)
		if !enough {
			require.Equal(t, 14, n, "both hold half")
			return
		}
		for _, v := range revoked {
			require.Equal(t, "hot", v.group)
			l.close(v)
		}
		require.True(t, l.take(e, mib))
	}
}

// Guards against bytes that are lost or counted twice.
func TestAllBytesComeBack(t *testing.T) {
	l := newLedger(8 * mib)
	list := fill(t, l, 0, "a", 6, mib)
	l.revoke(list[0])
	l.give(list[0], 100)
	l.give(list[1], 100)
	for _, e := range list {
		l.close(e)
	}
	require.Zero(t, l.held)
	require.Zero(t, l.returning)
	require.Empty(t, l.groups)
	require.Empty(t, l.revocable)
}

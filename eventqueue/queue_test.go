package eventqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against events that come out of order, too early, or not at all.
func TestEventsComeInOrder(t *testing.T) {
	var q Queue
	var got []string
	for _, v := range []struct {
		at   time.Duration
		name string
	}{{3, "d"}, {1, "a"}, {2, "b"}, {2, "c"}, {9, "e"}} {
		q.Add(v.at, func() { got = append(got, v.name) })
	}
	for last := time.Duration(0); ; {
		at, run, ok := q.Pop(8)
		if !ok {
			break
		}
		require.GreaterOrEqual(t, at, last)
		last = at
		run()
	}
	require.Equal(t, []string{"a", "b", "c", "d"}, got)
	at, _, ok := q.Pop(9)
	require.True(t, ok)
	require.EqualValues(t, 9, at)
	_, _, ok = q.Pop(9)
	require.False(t, ok)
}

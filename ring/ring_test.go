package ring

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a full ring that blocks its producer, does not count a refused push or
// loses an item that it has.
func TestPushRefusesWhenFull(t *testing.T) {
	r := New[int](2)
	require.True(t, r.Push(1))
	require.True(t, r.Push(2))
	require.False(t, r.Push(3))
	require.EqualValues(t, 1, r.Refused())
	require.Equal(t, 1, <-r.C())
	require.Equal(t, 1, r.Len())
}

// Guards against a wrong order of the items before and after the buffer wraps around.
func TestLastKeepsTheNewest(t *testing.T) {
	for _, c := range []struct {
		add  int
		want []int
	}{
		{0, nil},
		{2, []int{0, 1}},
		{3, []int{0, 1, 2}},
		{5, []int{2, 3, 4}},
	} {
		b := NewBuffer[int](3)
		for i := range c.add {
			b.Add(i)
		}
		var got []int
		b.Each(func(v int) bool { got = append(got, v); return true })
		require.Equal(t, c.want, got)
	}
}

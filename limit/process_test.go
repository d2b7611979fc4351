package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a fleet that lost power and refuses all requests for takenWait, and
// against a slot of another VM that is used while its holder may still run.
func TestASlotOfAnEarlierProcessIsUsedSoon(t *testing.T) {
	for _, one := range []bool{false, true} {
		s := Slots{VM: "a", Incarnation: "a/2", OneProcess: one}
		s.List(0, []lagoonhead.VM{lagoonhead.NewVM("a", "d", "a:1", false)})
		table := NewTable(1)
		table.Slots[0] = Slot{VM: "a", Incarnation: "a/1"}
		s.Observe(0, table, 1)
		next, ok := s.Next(0)
		require.True(t, ok)
		s.Observe(0, next, 2)
		want := takenWait
		if one {
			want = cleanWait
		}
		used := func(now time.Duration) (n int) {
			s.Starts(now, func(Start) { n++ })
			return n
		}
		require.Zero(t, used(want-1))
		require.Equal(t, 1, used(want))
	}
}

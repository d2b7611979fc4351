package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a fleet that refuses all requests for unreleasedWait after a power loss,
// and against the use of a slot while an earlier process that held it may still run.
func TestASlotOfAnEarlierProcessIsUsedSoon(t *testing.T) {
	for _, single := range []bool{false, true} {
		s := Slots{VM: "a", Incarnation: "a/2", NoEarlierProcess: single}
		s.ObserveVMs(0, []lagoonhead.VM{lagoonhead.NewVM("a", "d", "a:1", false)})
		table := NewTable(1)
		table.Slots[0] = Slot{VM: "a", Incarnation: "a/1"}
		s.Observe(0, table, 1)
		next, ok := s.NextTable(0)
		require.True(t, ok)
		s.Observe(0, next, 2)
		want := unreleasedWait
		if single {
			want = releasedWait
		}
		used := func(now time.Duration) (n int) {
			s.EachActiveSlot(now, func(ActiveSlot) { n++ })
			return n
		}
		require.Zero(t, used(want-1))
		require.Equal(t, 1, used(want))
	}
}

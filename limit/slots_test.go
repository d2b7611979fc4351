package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against the first daemon of a fleet taking every slot before it knows of
// the other VMs: they would have no tokens when it is killed or cut off.
func TestSlotsBeforeTheFirstList(t *testing.T) {
	s := Slots{VM: "a", Incarnation: "a1"}
	now, revision := time.Hour, int64(1)
	settle := func(table Table) Table {
		for {
			s.Observe(now, table, revision)
			next, want := s.Next(now)
			if !want {
				return table
			}
			table, revision = next, revision+1
		}
	}
	table := settle(NewTable(6))
	require.Equal(t, 1, s.count("a", "a1"))
	s.List(now, []lagoonhead.VM{
		lagoonhead.NewVM("a", "d", "", false), lagoonhead.NewVM("b", "d", "", false), lagoonhead.NewVM("c", "d", "", false),
	})
	settle(table)
	require.Equal(t, 2, s.count("a", "a1"))
}

package timer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// adjustableClock is a Manual whose wall clock can be set apart from its time since boot.
type adjustableClock struct {
	*Manual
	offset time.Duration // added to the wall time
}

func (c *adjustableClock) Wall() time.Time { return c.Manual.Wall().Add(c.offset) }

// Guards against counts in wrong windows when the wall clock of a VM jumps and comes back,
// and against a wall clock that is correct after a jump but never adopted.
func TestSteady(t *testing.T) {
	c := &adjustableClock{Manual: NewManual(time.Hour, time.Unix(1000, 0))}
	f := &JumpFilter{Timer: c}
	diff := func() time.Duration { return f.Wall().Sub(c.Manual.Wall()) }
	require.Zero(t, diff())
	for _, jump := range []time.Duration{2 * time.Second, -3 * time.Second} {
		c.offset = jump
		for range 6 {
			c.Advance(time.Second)
			require.Zero(t, diff())
		}
		c.offset = 0
		require.Zero(t, diff())
	}
	for range 3600 { // slewed by 1 ms per second
		c.Advance(time.Second)
		c.offset += time.Millisecond
		require.Equal(t, c.offset, diff())
	}
	before := c.offset
	c.offset += time.Hour
	require.Equal(t, before, diff())
	c.Advance(jumpHold)
	require.Equal(t, c.offset, diff(), "wall clock that kept its offset for jumpHold is adopted")
}

package timer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// setClock is a Timer whose wall clock can be set.
type setClock struct {
	*Manual
	set time.Duration
}

func (c *setClock) Wall() time.Time { return c.Manual.Wall().Add(c.set) }

// Guards against counts that go to other windows because the wall clock of a VM jumps and
// comes back, and against a clock that is right but never believed.
func TestSteady(t *testing.T) {
	c := &setClock{Manual: NewManual(time.Hour, time.Unix(1000, 0))}
	s := &Steady{Timer: c}
	off := func() time.Duration { return s.Wall().Sub(c.Manual.Wall()) }
	require.Zero(t, off())
	for _, by := range []time.Duration{2 * time.Second, -3 * time.Second} {
		c.set = by
		for range 6 {
			c.Advance(time.Second)
			require.Zero(t, off())
		}
		c.set = 0
		require.Zero(t, off())
	}
	for range 3600 { // slewed by 1 ms a second
		c.Advance(time.Second)
		c.set += time.Millisecond
		require.Equal(t, c.set, off())
	}
	before := c.set
	c.set += time.Hour
	require.Equal(t, before, off())
	c.Advance(jumpHold)
	require.Equal(t, c.set, off(), "a clock that stays is believed")
}

package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

func shortScenario() scenario {
	c := steadyScenario()
	c.length, c.warmUp = 20*time.Second, 5*time.Second
	return c
}

// Guards against runs that differ for the same seed, which would make the figures of
// the page impossible to reproduce.
func TestRunIsReproducible(t *testing.T) {
	fs := []metric{{"goodput", goodput}, {"p95", firstTokenP95}}
	vs := policyVariants()[:1]
	o := options{firstSeed: 1, seeds: 2}
	require.Equal(t, measure(shortScenario, vs, fs, o).values, measure(shortScenario, vs, fs, o).values)
}

// Guards against requests that never end after a crash of their engine, and against
// ended requests that the table still counts as in flight.
func TestNoRequestIsLost(t *testing.T) {
	c := shortScenario()
	c.prepare = func(s *sim) {
		s.after(7*time.Second, func() { s.crash(s.engines[0], 3*time.Second) })
	}
	s := newSim(c, 1)
	s.run()
	require.Positive(t, s.failedAttempts)
	for _, c := range s.calls {
		require.True(t, c.ended > 0 || c.failed, "call %s of class %s", c.request.ID(), c.class.name)
	}
	for _, d := range s.daemons {
		for _, v := range d.table.States() {
			require.Zero(t, v.InFlight)
		}
	}
}

// Guards against a cache that exceeds its capacity, and against a depth that counts
// blocks after a missing one.
func TestCacheIsBounded(t *testing.T) {
	c := newCache()
	c.add(documentBlocks(0, 1, cacheBlocks))
	c.add(documentBlocks(0, 2, 10))
	require.Equal(t, cacheBlocks, c.order.Len())
	require.Equal(t, 10, c.depth(documentBlocks(0, 2, 20)))
	require.Equal(t, cacheBlocks-10, c.depth(documentBlocks(0, 1, cacheBlocks)))
	require.Len(t, c.takeEvents(), cacheBlocks+20)
}

// Guards against interactive requests whose prefill waits behind that of deferrable
// ones.
func TestEngineHonoursPriorities(t *testing.T) {
	e := newEngine(fleet(1)[0])
	add := func(p lagoonhead.Priority) *job {
		r := lagoonhead.NewRequest("r", "w", "m", 0)
		r.SetTokens(route.DefaultPrefillRate, 10)
		r.SetPriority(p)
		j := &job{call: &call{request: r, outputLeft: 10}}
		e.enqueue(j)
		return j
	}
	add(lagoonhead.PriorityDeferrable)
	urgent := add(lagoonhead.PriorityInteractive)
	done, _ := e.step(1)
	require.Equal(t, []*job{urgent}, done)
}

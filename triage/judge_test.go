package triage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against callers that are refused together and come back together, and against a
// Retry-After that callers do not honour.
func TestRetryAfter(t *testing.T) {
	const now = time.Hour
	for _, left := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second, time.Minute} {
		for _, drains := range []time.Duration{-time.Second, 0, 200 * time.Millisecond, time.Hour} {
			var at [2]time.Duration
			for i, x := range []float64{0, 0.999} {
				at[i] = (&Judge{Random: func() float64 { return x }}).RetryAfter(now, drains, now+left)
				require.GreaterOrEqual(t, at[i], time.Duration(0))
				require.LessOrEqual(t, at[i], left/3)
			}
			require.GreaterOrEqual(t, at[0], min(drains, left/6), "not before the backlog drains, where there is room")
			require.GreaterOrEqual(t, at[1]-at[0], left/7, "spread")
		}
	}
}

// Guards against a request that comes back when it was asked to and has no better chance than before,
// and one that gains by coming back earlier.
func TestARequestThatComesBack(t *testing.T) {
	var j Judge
	now := time.Duration(0)
	decide := func(fingerprint uint64, left, wait time.Duration) Decision {
		return j.Decide(now, Prompt{
			Service: "s", Fingerprint: fingerprint, Tokens: 10_000, Wait: wait, HasObjective: true, Separate: true,
			Arrived: now, Due: now + 450*time.Millisecond, GiveUp: now + left,
		})
	}
	require.Equal(t, Unchanged, decide(1, 2400*time.Millisecond, 100*time.Millisecond).Place)
	for range 2 { // one late forecast is no overload
		require.False(t, decide(2, 2400*time.Millisecond, time.Second).Refused)
	}
	refused := decide(3, 2400*time.Millisecond, 2*time.Second)
	require.True(t, refused.Refused)
	now += refused.RetryAfter
	require.True(t, decide(4, 2*time.Second, 1900*time.Millisecond).Refused, "a new one")
	back := decide(3, 2*time.Second, 1900*time.Millisecond)
	require.False(t, back.Refused)
	require.Equal(t, Returned, back.Place)
}

// Guards against short prompts of a flood that go ahead of the late long ones of others.
func TestYieldingPromptsGoBehindLateOnes(t *testing.T) {
	require.Greater(t, Yielding.urgency(0, 0), Late.urgency(0, maxClass-1))
}

// Guards against a flood that goes ahead of others until forecasts miss the objective, and one that is
// refused while engines are idle.
func TestAFloodYieldsBeforeForecastsMiss(t *testing.T) {
	var j Judge
	yielding, number := 0, uint64(0)
	for now := time.Duration(0); now < time.Minute+time.Second; now += 10 * time.Millisecond {
		for _, w := range []lagoonhead.WorkspaceID{"flood", "a", "b", "c"} {
			if now%time.Second != 0 && (w != "flood" || now < time.Minute) {
				continue
			}
			number++
			p := Prompt{
				Service: "s", Workspace: w, Fingerprint: number, Tokens: 383, Separate: true, HasObjective: true,
				Wait: 50 * time.Millisecond, Arrived: now, Due: now + 450*time.Millisecond, GiveUp: now + 2400*time.Millisecond,
			}
			d := j.Decide(now, p)
			j.Begin(now, p, d)
			j.End(now, p, d, p.Wait, true)
			require.False(t, d.Refused)
			if d.Place == Yielding {
				require.Equal(t, lagoonhead.WorkspaceID("flood"), w)
				yielding++
				continue
			}
			require.Equal(t, Unchanged, d.Place)
		}
	}
	require.False(t, j.Overloaded(time.Minute+time.Second, "s"))
	require.Greater(t, yielding, 60, "most of the 100 prompts of the first second")
}

// Guards against a service that counts as overloaded, and prompts that go behind others, because they
// are too long to be in time on an idle engine.
func TestAPromptThatIsLateByItsLengthShowsNoOverload(t *testing.T) {
	var j Judge
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		d := j.Decide(now, Prompt{
			Service: "s", Tokens: 40_000, Wait: 800 * time.Millisecond, HasObjective: true, Separate: true, Urgency: 1,
			Arrived: now, Due: now + 450*time.Millisecond, GiveUp: now + 2*time.Second,
		})
		require.Equal(t, Decision{Urgency: 1 + maxClass, Expected: 800 * time.Millisecond}, d)
		require.False(t, j.Overloaded(now, "s"))
	}
}

// Guards against a workspace that yields although it is no larger than usual and the others are
// served, and against one that is protected while they are not.
func TestAWorkspaceAsLargeAsUsual(t *testing.T) {
	for _, othersServed := range []bool{true, false} {
		var s shares
		now := time.Duration(0)
		play := func(d time.Duration, overloaded bool) {
			for end := now + d; now < end; now += 100 * time.Millisecond {
				for w, n := range map[lagoonhead.WorkspaceID]int{"large": 10, "a": 1, "b": 1} {
					for range n {
						s.ask(now, w, 383, overloaded)
						if !overloaded || w == "large" || othersServed {
							s.serve(now, w, 383)
						}
					}
				}
			}
		}
		play(time.Minute, false)
		require.Zero(t, s.yields(now, "large"), "all are served")
		play(20*time.Second, true)
		if othersServed {
			require.Zero(t, s.yields(now, "large"))
		} else {
			require.Positive(t, s.yields(now, "large"))
		}
		require.Zero(t, s.yields(now, "a"))
	}
}

// Guards against a copy that decides otherwise than the judge, and one whose decisions count at the
// judge. Of two judges with the same prompts, only one is copied.
func TestDecisionsOfACopyChangeNothing(t *testing.T) {
	var a, b Judge
	a.Random, b.Random = func() float64 { return 0.5 }, func() float64 { return 0.5 }
	yields := 0.0
	var now time.Duration
	for i := range 2000 {
		now += 50 * time.Millisecond
		if i > 1800 { // the flood
			now -= 45 * time.Millisecond
		}
		p := Prompt{
			Service: "s", Workspace: "w1", Fingerprint: uint64(i), Tokens: 10_000, Separate: true, HasObjective: true,
			Wait: time.Duration(i) * time.Millisecond / 4, Arrived: now, Due: now + 450*time.Millisecond, GiveUp: now + 2*time.Second,
		}
		if i%8 == 0 {
			p.Workspace = "w2"
		}
		var c Judge
		a.CopyTo(&c, "s")
		c.Random = a.Random
		copied := c.Decide(now, p)
		yields = c.Yields(now, "s", "w1")
		c.Begin(now, p, copied)
		c.End(now, p, copied, time.Minute, true)
		c.Decide(now, Prompt{Service: "s", Workspace: "w3", Wait: time.Hour, GiveUp: now, HasObjective: true})
		want := b.Decide(now, p)
		require.Equal(t, want, copied)
		require.Equal(t, want, a.Decide(now, p))
		if !want.Refused {
			for _, j := range []*Judge{&a, &b} {
				j.Begin(now, p, want)
				j.End(now, p, want, p.Wait, true)
			}
		}
	}
	require.Equal(t, b.services, a.services)
	require.Equal(t, b.refused, a.refused)
	require.True(t, b.Overloaded(now, "s"))
	require.Positive(t, yields)
}

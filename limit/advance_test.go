package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

// accepted is the tolerance of these tests. It is large, so that two advances within its
// window exceed the refill that is lost while a process restarts.
var accepted = Tolerance{Window: 8 * time.Second, Overrun: 0.1, Tokens: 20_000}

// simulateRestarts simulates a fleet with one process per VM while single VMs or all of them at
// once are killed and restarted. It returns the fleet in its final state.
func simulateRestarts(d draw, b broken) *sim {
	rate := d("rate", 100, 1000)
	q := lagoonhead.Quota{Rate: float64(rate), Burst: int64(rate * d("burst", 3, 100) / 10)}
	s := newSim(uint64(d("seed", 0, 1<<30)), q, b)
	s.accepted = accepted
	for _, p := range s.daemons {
		p.slots.NoEarlierProcess, p.slots.AdvanceWindow = true, accepted.Window
	}
	s.run(time.Duration(d("start", 5, 20)) * time.Second)
	s.length = time.Duration(d("length", 1, 80)) * 100 * time.Millisecond
	s.flood(d("hot", 0, 2*simVMs), d("load", 2, 10), d("size", 1, 100))
	for range d("kills", 2, 10) {
		first, last := 0, simVMs-1
		if d("all", 0, 1) == 0 {
			first = d("vm", 0, simVMs-1)
			last = first
		}
		for vm := first; vm <= last; vm++ {
			s.restart(vm)
		}
		s.lossy = d("lossy", 0, 3) == 0
		s.run(time.Duration(d("pause", 0, 9000)) * time.Millisecond)
	}
	return s
}

// restart kills the process of a VM and starts a new one.
func (s *sim) restart(vm int) {
	if p := s.current(vm); p != nil {
		p.dead = true
	}
	if s.broken.everyAdvance {
		for i := range s.table.Slots {
			s.table.Slots[i].Advanced = false
		}
	}
	s.start(vm)
}

// maxWindowExcess returns the maximum excess over rate*t + burst, in tokens, of all windows
// of at most the given length.
func maxWindowExcess(q lagoonhead.Quota, log []use, length time.Duration) float64 {
	worst := -float64(q.Burst)
	for i := range log {
		sum := 0.0
		for _, u := range log[i:] {
			if u.at-log[i].at > length {
				break
			}
			sum += float64(u.used)
			worst = max(worst, sum-q.Rate*(u.at-log[i].at).Seconds()-float64(q.Burst))
		}
	}
	return worst
}

func restartExcess(d draw, b broken) float64 {
	s := simulateRestarts(d, b)
	return maxWindowExcess(s.quota, s.log, accepted.Window) - float64(accepted.Advance(s.quota))
}

// Guards against advances that accumulate when VMs are killed repeatedly: within the
// window of the tolerance, usage may exceed the limit by at most one advance.
func TestRestartsExceedTheLimitByOneAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := restartExcess(func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }, broken{})
		if e > roundingError {
			t.Fatalf("a window exceeds the limit and one advance by %g tokens", e)
		}
	})
}

// Guards against a simulation that does not detect an advance for every process.
func TestSimulationDetectsRepeatedAdvances(t *testing.T) {
	for seed := range uint64(200) {
		if restartExcess(seeded(seed), broken{everyAdvance: true}) > roundingError {
			require.LessOrEqual(t, restartExcess(seeded(seed), broken{}), roundingError)
			return
		}
	}
	t.Fatal("not caught")
}

// Guards against a fleet that has no tokens for the first second after a power loss, and
// against an advance for a slot that another VM held or whose use is resumed.
func TestAdvance(t *testing.T) {
	const now = time.Hour
	s := Slots{VM: "a", Incarnation: "a/2", NoEarlierProcess: true, AdvanceWindow: accepted.Window}
	s.ObserveVMs(now, vms("a", "b"))
	former := NewTable(2)
	former.Slots[0] = Slot{VM: "a", Incarnation: "a/1"}
	former.Slots[1] = Slot{VM: "b", Incarnation: "b/1"}
	s.Observe(now, former, 1)
	next, ok := s.NextTable(now)
	require.True(t, ok)
	require.True(t, next.Slots[0].Advanced)
	s.Observe(now, next, 2)
	var got []ActiveSlot
	starts := func(at time.Duration) []ActiveSlot {
		got = nil
		s.EachActiveSlot(at, func(v ActiveSlot) { got = append(got, v) })
		return got
	}
	require.Equal(t, []ActiveSlot{{Slot: 0, Since: now, Refill: now + releasedWait, Advanced: true}}, starts(now))

	_, wanted := s.NextTable(now + accepted.Window)
	require.False(t, wanted)
	ended, wanted := s.NextTable(now + accepted.Window + 1)
	require.True(t, wanted, "Advanced must be cleared, or the slot never gets an advance again")
	require.False(t, ended.Slots[0].Advanced)

	s.StopUse()
	s.Observe(now+time.Second, next, 2)
	require.Empty(t, starts(now+time.Second), "a slot whose use is resumed must not get an advance")

	killed := Slots{VM: "a", Incarnation: "a/3", NoEarlierProcess: true, AdvanceWindow: accepted.Window}
	killed.ObserveVMs(now, vms("a", "b"))
	killed.Observe(now, next, 2)
	third, ok := killed.NextTable(now)
	require.True(t, ok)
	require.False(t, third.Slots[0].Advanced, "the former process got its advance less than AdvanceWindow ago")
}

// Guards against an advance that exceeds the tolerance or is not divided exactly.
func TestAdvanceOfAQuota(t *testing.T) {
	q := lagoonhead.Quota{Rate: 1000, Burst: 500}
	small := Tolerance{Window: 8 * time.Second, Overrun: 0.1, Tokens: 50}
	require.Equal(t, int64(450), small.Advance(q)) // half of 0.1*(8000+500) + 50
	require.Zero(t, Tolerance{}.Advance(q))
	require.Equal(t, int64(500), Tolerance{Window: time.Second, Tokens: 1_000_000}.Advance(q))
	homes := []int{0, 1, 2, 3, 4, 5}
	require.Equal(t, int64(450), AdvanceShare(450, homes, homes))
	require.Equal(t, int64(75), AdvanceShare(450, homes, []int{4}))
	require.Zero(t, AdvanceShare(450, homes, nil))

	var b Bucket
	b.SetShare(0, ShareOf(q, 0, homes, homes))
	b.AddAdvance(0, 450, time.Second)
	require.Equal(t, int64(450), b.Available(0))
	require.Equal(t, int64(450), b.Available(time.Second), "no refill before the given time")
	require.Equal(t, int64(499), b.Available(time.Second+50*time.Millisecond))
}

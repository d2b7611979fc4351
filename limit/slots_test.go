package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

func vms(ids ...lagoonhead.VMID) []lagoonhead.VM {
	l := make([]lagoonhead.VM, len(ids))
	for i, id := range ids {
		l[i] = lagoonhead.NewVM(id, "d", "", false)
	}
	return l
}

func usableSlots(s *Slots, now time.Duration) int {
	n := 0
	s.EachActiveSlot(now, func(ActiveSlot) { n++ })
	return n
}

// Guards against a daemon that keeps using a slot after writing its release with
// unknown outcome: the write may still take effect, and another daemon may then use the
// slot after only releasedWait.
func TestReleaseOfUnknownOutcomeBlocksTheSlot(t *testing.T) {
	s := &Slots{VM: "a", Incarnation: "a1"}
	table := Table{Slots: []Slot{{VM: "a", Incarnation: "a1", Clean: true}, {VM: "a", Incarnation: "a1", Clean: true}}}
	s.ObserveVMs(0, vms("a", "b"))
	s.Observe(0, table, 7)
	require.Equal(t, 2, usableSlots(s, time.Minute))
	_, want := s.NextTable(time.Minute)
	require.True(t, want)
	require.Equal(t, 1, usableSlots(s, time.Minute))
	s.Observe(2*time.Minute, table, 7)
	require.Equal(t, 1, usableSlots(s, time.Hour))
	s.ObserveVMs(3*time.Minute, vms("a"))
	_, want = s.NextTable(3 * time.Minute)
	require.True(t, want, "a write must make the pending release conflict")
	s.Observe(4*time.Minute, table, 8)
	require.Equal(t, 2, usableSlots(s, time.Hour))
}

// Guards against slots that are claimed from a running daemon, that refill before the
// former holder's loans have ended, or that are distributed unevenly.
func TestClaimingSlots(t *testing.T) {
	for _, c := range []struct {
		name    string
		slot    Slot
		listed  []lagoonhead.VM
		after   time.Duration // from the first observation to the decision
		claimed bool
		wait    time.Duration
	}{
		{"free and clean", Slot{Clean: true}, vms("a", "b"), 0, true, releasedWait},
		{"free after a kill", Slot{}, vms("a", "b"), 0, true, unreleasedWait},
		{"held", Slot{VM: "b", Incarnation: "b1"}, vms("a", "b"), time.Hour, false, 0},
		{"dropped from the list", Slot{VM: "b", Incarnation: "b1", Clean: true}, vms("a"), listLag, false, 0},
		{"dropped for longer", Slot{VM: "b", Incarnation: "b1", Clean: true}, vms("a"), listLag + 1, true, unreleasedWait},
		{"former process of the VM", Slot{VM: "a", Incarnation: "a0", Clean: true}, vms("a", "b"), 0, true, unreleasedWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Slots{VM: "a", Incarnation: "a1"}
			table := Table{Slots: []Slot{c.slot}}
			s.ObserveVMs(0, c.listed)
			s.Observe(0, table, 1)
			next, want := s.NextTable(c.after)
			require.Equal(t, c.claimed, want)
			if !want {
				return
			}
			s.Observe(c.after, next, 2)
			require.Zero(t, usableSlots(s, c.after+c.wait-1))
			require.Equal(t, 1, usableSlots(s, c.after+c.wait))
			s.ObserveRevision(3)
			require.True(t, s.Suspended())
		})
	}
}

// Guards against shares that add up to more or less than the quota.
func TestSharesAddUp(t *testing.T) {
	q := lagoonhead.Quota{Rate: 100, Burst: 100_001}
	for _, n := range []int{1, 3, 6, 7, 12, 390} {
		homes := HomeSlots("w", n, MaxHomeSlots)
		var burst microtokens
		rate := 0.0
		for slot := range n {
			s := ShareOf(q, 0, homes, []int{slot})
			burst += s.capacity
			rate += s.rate
		}
		require.Equal(t, fromTokens(q.Burst), burst)
		require.InDelta(t, q.Rate, rate, 1e-9)
	}
}

// Guards against a fast clock that creates tokens.
func TestFastClockCreatesNoTokens(t *testing.T) {
	q := lagoonhead.Quota{Rate: 1000, Burst: 10}
	var b Bucket
	b.SetShare(0, ShareOf(q, 0, []int{0}, []int{0}))
	charged := int64(0)
	for ms := range time.Duration(100_000) {
		if r, ok := b.Charge(time.Duration(float64(ms*time.Millisecond)*(1+MaxDrift)), 1); ok {
			charged += r.Charged()
		}
	}
	require.LessOrEqual(t, charged, int64(100_000))
	require.Greater(t, charged, int64(99_900))
}

// Guards against the first daemon of a fleet claiming every slot before it knows the
// other VMs: they would have no tokens if it were killed or isolated.
func TestSlotsBeforeTheFirstList(t *testing.T) {
	s := Slots{VM: "a", Incarnation: "a1"}
	now, revision := time.Hour, int64(1)
	settle := func(table Table) Table {
		for {
			s.Observe(now, table, revision)
			next, want := s.NextTable(now)
			if !want {
				return table
			}
			table, revision = next, revision+1
		}
	}
	table := settle(NewTable(6))
	require.Equal(t, 1, s.count("a", "a1"))
	s.ObserveVMs(now, vms("a", "b", "c"))
	settle(table)
	require.Equal(t, 1, s.count("a", "a1"), "slots must be left for the other VMs")
}

// Guards against daemons that keep reassigning slots without converging, and against a
// VM left without a slot while another has several.
func TestSlotsSettle(t *testing.T) {
	ids := []lagoonhead.VMID{"a", "b", "c", "d"}
	table, revision := NewTable(6), int64(1)
	var ds []*Slots
	writes := 0
	for n := 1; n <= len(ids); n++ { // the VMs join one by one
		ds = append(ds, &Slots{VM: ids[n-1], Incarnation: lagoonhead.Incarnation(ids[n-1])})
		for range 20 {
			for _, d := range ds {
				d.ObserveVMs(0, vms(ids[:n]...))
				d.Observe(0, table, revision)
				if next, want := d.NextTable(0); want {
					table, revision = next, revision+1
					writes++
				}
			}
		}
	}
	for _, d := range ds {
		require.Positive(t, usableSlots(d, time.Hour))
		_, want := d.NextTable(0)
		require.False(t, want)
	}
	require.Less(t, writes, 20)
}

package limit

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

// TestMain fixes the seed, so that every run gives the same result. For longer runs:
// go test -run Fleet -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// roundingError is the rounding error, in tokens, of the sums in excess and maxWindowExcess.
const roundingError = 1e-3

// draw returns a random number from lo to hi, both inclusive.
type draw func(label string, lo, hi int) int

// profiles are the sets of actions that simulations choose from. Simulations with few
// kinds of faults come closer to the limit, where a defect of the mechanism shows.
var profiles = [][]int{
	{actToggleStore, actToggleLossy, actRetire, actRunLong, actRepair, actKill, actCut, actTraffic, actReplace, actFreeze, actHoard},
	{actReplace, actRunLong, actTraffic},
	{actToggleIsolated, actRunLong, actRunLong, actTraffic},
	{actIsolateAndReplace, actRunLong},
	{actFreeze, actHoard},
	{actToggleLossy, actHoard, actHoard, actHoard},
	{actHoard, actRunLong},
}

const (
	actToggleStore = iota
	actToggleLossy
	actRetire
	actRunLong
	actRepair
	actKill
	actCut
	actToggleIsolated
	actTraffic
	actReplace
	actFreeze
	actHoard
	actIsolateAndReplace
)

// simulateFleet simulates a fleet under random traffic and faults and returns it in its final
// state.
func simulateFleet(d draw, b broken) *sim {
	rate := d("rate", 100, 1000)
	q := lagoonhead.Quota{Rate: float64(rate), Burst: int64(rate * d("burst", 3, 40) / 10)}
	s := newSim(uint64(d("seed", 0, 1<<30)), q, b)
	if b.withDebt {
		s.debt = q.Burst * int64(d("debt", 1, 30)) / 10
	}
	s.run(time.Duration(d("start", 5, 20)) * time.Second)
	actions := profiles[d("profile", 0, len(profiles)-1)]
	size := 5
	if d("tight", 0, 1) == 0 {
		s.unused, size = d("unused", 0, 3), d("size", 1, 100)
	}
	s.length = time.Duration(d("length", 1, 80)) * 100 * time.Millisecond
	if d("flooded", 0, 1) == 1 {
		s.flood(d("hot", 0, 2*simVMs), d("load", 2, 10), size)
	}
	for range d("steps", 2, 20) {
		step(s, d, actions, size)
		s.run(time.Duration(d("pause", 0, 3000)) * time.Millisecond)
	}
	return s
}

func step(s *sim, d draw, actions []int, size int) {
	vm := d("vm", 0, simVMs-1)
	p := s.current(vm)
	if p == nil {
		s.start(vm)
		return
	}
	if d("traffic", 0, 1) == 1 {
		s.traffic(vm, d("load", 1, 10), size, 2*time.Second)
		s.run(time.Duration(d("middle", 1, 400)) * time.Millisecond)
	}
	switch actions[d("action", 0, len(actions)-1)] {
	case actToggleStore:
		s.storeDown = !s.storeDown
	case actToggleLossy:
		s.lossy = !s.lossy
	case actRetire:
		p.slots.Retire()
		s.at(0, p, p.readSlots)
	case actRunLong:
		s.run(time.Duration(d("long", 5, 30)) * time.Second)
	case actRepair:
		s.lossy, s.storeDown = false, false
		s.run(10 * time.Second)
	case actKill:
		p.dead = true
	case actCut:
		p.cutPeers, p.cutStore = d("cutPeers", 0, 1) == 1, d("cutStore", 0, 1) == 1
	case actToggleIsolated:
		p.cutPeers, p.cutStore = !p.cutPeers, !p.cutPeers
	case actReplace:
		s.start(vm) // the former process keeps running
	case actFreeze:
		p.pausedUntil = s.now + time.Duration(d("freeze", 2, 150))*100*time.Millisecond
	case actIsolateAndReplace:
		p.cutPeers, p.cutStore = true, true
		s.start(vm)
	case actHoard:
		s.hoard(p, time.Duration(d("hold", 0, 3000))*time.Millisecond)
		s.traffic(vm, 10, size, 100*time.Millisecond)
	case actTraffic:
		s.traffic(vm, d("load", 1, 10), d("big", 1, 100), 2*time.Second)
	}
}

// flood sends load times the rate until the simulation ends. Half of it goes to the daemon
// with the number hot, if there is one, and the rest to random daemons.
func (s *sim) flood(hot, load, size int) {
	s.traffic(hot, load, size, 2*time.Second)
	s.after(2*time.Second, func() { s.flood(hot, load, size) })
}

// hoard makes a daemon borrow as much as it can from all others and keep it unspent for
// the time hold.
func (s *sim) hoard(p *simDaemon, hold time.Duration) {
	p.hoarding++
	for range 3 {
		for to := range simVMs {
			s.at(time.Duration(s.rng.Int64N(int64(time.Second))), p, func() { p.requestLoan(to, s.quota.Burst) })
		}
	}
	s.run(hold)
	p.hoarding--
}

// process returns a random live process of a VM, which may be a replaced one, or nil.
func (s *sim) process(vm int) *simDaemon {
	var l []*simDaemon
	for _, p := range s.daemons {
		if p.vm == vm && !p.dead {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[s.rng.IntN(len(l))]
}

// traffic sends within span the tokens that load times the rate amounts to in two seconds.
// Half of it goes to the daemon with the number hot, if there is one. A request has up to
// size percent of one share, or, for 1 in 20 requests, of the burst.
func (s *sim) traffic(hot, load, size int, span time.Duration) {
	total := int64(s.quota.Rate * float64(load) * 2)
	for n := 0; total > 0 && n < 400; n++ {
		maxCharge := s.quota.Burst * int64(size) / 100
		if s.rng.IntN(20) > 0 {
			maxCharge /= simVMs
		}
		charge := 1 + s.rng.Int64N(max(1, maxCharge))
		total -= charge
		vm := hot
		if hot >= simVMs || s.rng.IntN(2) == 0 {
			vm = s.rng.IntN(simVMs)
		}
		at := time.Duration(s.rng.Int64N(int64(span)))
		s.after(at, func() {
			if p := s.process(vm); p != nil {
				s.at(0, p, func() { p.arrive(charge) })
			}
		})
	}
}

// Guards against any sequence of traffic and faults in which a workspace uses more than
// rate*t + burst in some window over all daemons.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }
		s := simulateFleet(d, broken{})
		if e := s.excess(); e > roundingError {
			t.Fatalf("a window exceeds rate*t + burst by %g tokens", e)
		}
	})
}

// Guards against buckets in debt that together use more than rate*t + burst + debt in some
// window, also when slots change hands.
func TestDebtIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }
		s := simulateFleet(d, broken{withDebt: true})
		if e := s.excess() - float64(s.debt); e > roundingError {
			t.Fatalf("a window exceeds rate*t + burst + debt by %g tokens", e)
		}
	})
}

package limit

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

// TestMain fixes the seed, so that every run gives the same verdict. Longer runs:
// go test -run Fleet -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// tolerance is the rounding of the oracle's own sums, in tokens.
const tolerance = 1e-3

// draw returns a number from lo to hi.
type draw func(label string, lo, hi int) int

// profiles are the sets of actions that histories draw from. Histories with few
// kinds of faults come closer to the limit, where a fault in the mechanism shows.
var profiles = [][]int{
	{actStore, actLossy, actGiveUp, actLong, actHeal, actKill, actCut, actTraffic, actReplace, actFreeze, actHoard},
	{actReplace, actLong, actTraffic},
	{actCutOff, actLong, actLong, actTraffic},
	{actZombie, actLong},
	{actFreeze, actHoard},
	{actLossy, actHoard, actHoard, actHoard},
	{actHoard, actLong},
}

const (
	actStore = iota
	actLossy
	actGiveUp
	actLong
	actHeal
	actKill
	actCut
	actCutOff
	actTraffic
	actReplace
	actFreeze
	actHoard
	actZombie
)

// play runs a fleet through a drawn history and returns it at the end.
func play(d draw, b broken) *sim {
	rate := d("rate", 100, 1000)
	q := lagoonhead.Quota{Rate: float64(rate), Burst: int64(rate * d("burst", 3, 40) / 10)}
	s := newSim(uint64(d("seed", 0, 1<<30)), q, b)
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
	case actStore:
		s.storeDown = !s.storeDown
	case actLossy:
		s.lossy = !s.lossy
	case actGiveUp:
		p.slots.GiveUp()
		s.at(0, p, p.readSlots)
	case actLong:
		s.run(time.Duration(d("long", 5, 30)) * time.Second)
	case actHeal:
		s.lossy, s.storeDown = false, false
		s.run(10 * time.Second)
	case actKill:
		p.dead = true
	case actCut:
		p.cutPeers, p.cutStore = d("cutPeers", 0, 1) == 1, d("cutStore", 0, 1) == 1
	case actCutOff:
		p.cutPeers, p.cutStore = !p.cutPeers, !p.cutPeers
	case actReplace:
		s.start(vm) // the former process goes on
	case actFreeze:
		p.pausedUntil = s.now + time.Duration(d("freeze", 2, 150))*100*time.Millisecond
	case actZombie:
		p.cutPeers, p.cutStore = true, true
		s.start(vm)
	case actHoard:
		s.hoard(p, time.Duration(d("hold", 0, 3000))*time.Millisecond)
		s.traffic(vm, 10, size, 100*time.Millisecond)
	case actTraffic:
		s.traffic(vm, d("load", 1, 10), d("big", 1, 100), 2*time.Second)
	}
}

// flood sends load times the rate without end, to all daemons alike or half of it
// to one.
func (s *sim) flood(hot, load, size int) {
	s.traffic(hot, load, size, 2*time.Second)
	s.after(2*time.Second, func() { s.flood(hot, load, size) })
}

// hoard lets a daemon borrow all it can from all others and hold it for a while.
func (s *sim) hoard(p *simDaemon, hold time.Duration) {
	p.hoarding++
	for range 3 {
		for to := range simVMs {
			s.at(time.Duration(s.rng.Int64N(int64(time.Second))), p, func() { p.ask(to, s.quota.Burst) })
		}
	}
	s.run(hold)
	p.hoarding--
}

// process returns one of the live processes of a VM, the former ones included.
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

// traffic sends what load times the rate is in two seconds, within span, half of it to one daemon if
// there is one with the number hot. A request is up to size percent of one share, or now and then of the burst.
func (s *sim) traffic(hot, load, size int, span time.Duration) {
	total := int64(s.quota.Rate * float64(load) * 2)
	for n := 0; total > 0 && n < 400; n++ {
		most := s.quota.Burst * int64(size) / 100
		if s.rng.IntN(20) > 0 {
			most /= simVMs
		}
		charge := 1 + s.rng.Int64N(max(1, most))
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

// Guards against any history in which a workspace uses more than rate*t + burst
// in some window over all daemons.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }
		s := play(d, broken{})
		if e := s.excess(); e > tolerance {
			t.Fatalf("a window exceeds rate*t + burst by %g tokens", e)
		}
	})
}

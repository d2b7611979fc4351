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

// play runs a fleet through a drawn history and returns it at the end.
func play(d draw, b broken) *sim {
	q := lagoonhead.Quota{Rate: float64(d("rate", 50, 1000)), Burst: int64(d("burst", 60, 3000))}
	s := newSim(uint64(d("seed", 0, 1<<30)), q, b)
	s.run(time.Duration(d("start", 0, 15)) * time.Second)
	for range d("steps", 10, 80) {
		step(s, d)
		s.run(time.Duration(d("pause", 0, 2000)) * time.Millisecond)
	}
	return s
}

func step(s *sim, d draw) {
	vm := d("vm", 0, simVMs-1)
	p := s.current(vm)
	action := d("action", 0, 19)
	if p == nil {
		s.start(vm)
		return
	}
	switch action {
	case 0:
		p.dead = true
	case 1:
		s.start(vm) // the former process goes on
	case 2:
		p.pausedUntil = s.now + time.Duration(d("freeze", 1, 40))*time.Second
	case 3:
		p.cutPeers, p.cutStore = d("cutPeers", 0, 1) == 1, d("cutStore", 0, 1) == 1
	case 4:
		s.storeDown = !s.storeDown
	case 5:
		s.lossy = !s.lossy
	case 6:
		p.slots.GiveUp()
		s.at(0, p, p.readSlots)
	case 7:
		s.run(time.Duration(d("long", 5, 30)) * time.Second)
	default:
		s.traffic(vm, d("load", 1, 10), d("size", 1, 100))
	}
}

// traffic sends load times the rate over a second, half of it to one daemon, in
// requests of up to size percent of the burst.
func (s *sim) traffic(hot, load, size int) {
	total := int64(s.quota.Rate * float64(load))
	most := max(1, s.quota.Burst*int64(size)/100)
	for n := 0; total > 0 && n < 200; n++ {
		charge := 1 + s.rng.Int64N(most)
		total -= charge
		vm := hot
		if s.rng.IntN(2) == 0 {
			vm = s.rng.IntN(simVMs)
		}
		if p := s.current(vm); p != nil {
			s.at(time.Duration(s.rng.Int64N(int64(time.Second))), p, func() { p.arrive(charge) })
		}
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

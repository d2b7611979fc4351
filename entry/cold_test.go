package entry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// The cold endpoint of the simulation, which stays cold, and the fleet that has requests for it.
const (
	coldPerSecond = 19
	coldStep      = 100 * time.Millisecond
	// coldLease is the time after which the entry of a VM that is cut off is gone.
	coldLease = 10 * time.Second
	// maxColdLag is the greatest age of the list that a VM that hears of the store gets.
	maxColdLag = 3500 * time.Millisecond
)

var coldTolerance = ColdTolerance{Overrun: 1.5, Slack: 5}

// coldVM is a VM of the simulation.
type coldVM struct {
	id     lagoonhead.VMID
	board  *steer.Board
	shares *coldShares
	next   time.Duration // of its next sync
	// cutOff is true while it reaches neither the store nor its peers, since cutAt.
	cutOff bool
	cutAt  time.Duration
	// seen is the number of the list that it has got last.
	seen    int
	started time.Duration
}

// coldFleet is a fleet whose VMs all have more requests for one cold endpoint than it takes.
type coldFleet struct {
	clock *timer.Manual
	rng   *rand.Rand
	vms   []*coldVM
	// history holds the lists of VMs in the store with the times since which they were there.
	history []view
	sends   []coldSend
	// settled is the highest sum of the rates of VMs with settled views.
	settled float64
}

type coldSend struct{ sent, arrived time.Duration }

// start starts a process of a VM, or another one in its place.
func (f *coldFleet) start(id lagoonhead.VMID) *coldVM {
	e := lagoonhead.NewEndpoint("e", lagoonhead.EndpointKindEngine, "m", "e:1", "a").WithColdUntil(1 << 62)
	v := &coldVM{id: id, board: new(steer.Board), seen: -1, started: f.clock.Now(), next: f.clock.Now() + time.Duration(f.rng.IntN(500))*time.Millisecond}
	v.shares = &coldShares{self: id, timer: f.clock, tolerance: coldTolerance}
	v.board.ColdShare = v.shares.share
	v.board.SetEndpoints([]lagoonhead.Endpoint{e}, func(string) int { return 0 })
	v.board.SetCold(f.clock.Now(), []lagoonhead.Endpoint{e}, true, func(string) steer.ColdTraits {
		return steer.ColdTraits{Start: time.Second, PerSecond: coldPerSecond}
	})
	if i := slices.IndexFunc(f.vms, func(o *coldVM) bool { return o.id == id }); i >= 0 {
		f.vms[i] = v
	} else {
		f.vms = append(f.vms, v)
	}
	return v
}

// write writes the list of VMs that have an entry in the store.
func (f *coldFleet) write() {
	var list []lagoonhead.VM
	for _, v := range f.vms {
		if !v.cutOff || f.clock.Now()-v.cutAt < coldLease {
			list = append(list, lagoonhead.NewVM(v.id, "a", "", false))
		}
	}
	if n := len(f.history); n == 0 || len(f.history[n-1].vms) != len(list) {
		f.history = append(f.history, view{list, f.clock.Now()})
	}
}

// sync gives a VM the list that the store had some time ago, and never an older one than before.
func (f *coldFleet) sync(v *coldVM) {
	now := f.clock.Now()
	if v.cutOff || now < v.next {
		return
	}
	v.next = now + time.Duration(200+f.rng.IntN(1300))*time.Millisecond
	at := max(v.shares.syncedAt, now-time.Duration(f.rng.Int64N(int64(maxColdLag))))
	i := len(f.history) - 1
	for i > 0 && f.history[i].from > at {
		i--
	}
	if list := f.history[i].vms; i != v.seen {
		earlier := f.history[i].from < v.started && slices.ContainsFunc(list, func(o lagoonhead.VM) bool { return o.ID() == v.id })
		v.shares.changed(list, earlier)
		v.seen = i
	}
	v.shares.matched(at)
}

// step lets all VMs send what they may.
func (f *coldFleet) step() {
	f.clock.Advance(coldStep)
	f.write()
	now := f.clock.Now()
	for _, v := range f.vms {
		f.sync(v)
		for {
			if _, ok := v.board.PickRun(now, steer.RunRequest{Service: "m"}); !ok {
				break
			}
			// Most are sent soon after the choice, and runs behind a prefill later.
			delay := time.Duration(f.rng.IntN(20)) * time.Millisecond
			if f.rng.IntN(3) == 0 {
				delay = time.Duration(f.rng.IntN(500)) * time.Millisecond
			}
			sent := now + delay
			f.sends = append(f.sends, coldSend{sent, sent + time.Duration(f.rng.IntN(300))*time.Millisecond})
		}
	}
}

// run lets the fleet go on for a time and calls event every second.
func (f *coldFleet) run(d time.Duration, event func()) {
	for i := range int(d / coldStep) {
		if i%int(time.Second/coldStep) == 0 {
			event()
			f.settled = max(f.settled, f.settledRate())
		}
		f.step()
	}
}

// settledRate returns the sum of the rates of the VMs with settled views.
func (f *coldFleet) settledRate() (sum float64) {
	for _, v := range f.vms {
		s := v.shares.share("e", coldPerSecond)
		for n := range 10 {
			if _, full := steer.PlanCold(coldPerSecond, coldTolerance.bound(coldPerSecond), n, true); s == full {
				sum += s.PerSecond
				break
			}
		}
	}
	return sum
}

// most returns the most requests that were sent and arrived in one second.
func (f *coldFleet) most() (most int) {
	slices.SortFunc(f.sends, func(a, b coldSend) int { return cmp.Compare(a.sent, b.sent) })
	for i, first := range f.sends {
		n := 0
		for _, v := range f.sends[i:] {
			if v.sent >= first.sent+time.Second {
				break
			}
			if v.arrived < first.sent+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (f *coldFleet) name(i int) lagoonhead.VMID { return lagoonhead.VMID(fmt.Sprint("vm", i)) }

// Guards against VMs that together send a cold endpoint more than it takes: in small and large
// fleets, while all VMs start, while VMs restart, join and are cut off from the store and their peers
// and come back, and while the lists of VMs differ. Guards against shares that hardly use what the
// endpoint takes.
func TestVMsShareAColdEndpoint(t *testing.T) {
	for _, n := range []int{1, 6, 30, 300} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			f := &coldFleet{clock: timer.NewManual(time.Hour, time.Unix(0, 0)), rng: rand.New(rand.NewPCG(1, uint64(n)))}
			check := func(what string, least float64, d time.Duration) {
				require.LessOrEqual(t, float64(f.most()), coldTolerance.bound(coldPerSecond), what)
				require.GreaterOrEqual(t, float64(len(f.sends)), least*coldPerSecond*d.Seconds(), what)
				_, alone := steer.PlanCold(coldPerSecond, coldTolerance.bound(coldPerSecond), 1, true)
				require.LessOrEqual(t, f.settled, alone.PerSecond+1e-9, "%s: two VMs use the same share", what)
				t.Logf("%s: at most %d in a second, %.1f a second on average", what, f.most(), float64(len(f.sends))/d.Seconds())
				f.sends = nil
			}
			started := 0
			f.run(10*time.Second, func() { // each VM sees only some of the others
				for range min(n-started, 1+n/3) {
					f.start(f.name(started))
					f.clock.Advance(time.Millisecond)
					f.write()
					started++
				}
			})
			check("start", 0, 10*time.Second)
			f.run(5*time.Second, func() {})
			f.sends = nil
			f.run(6*time.Second, func() {})
			check("calm", 0.5, 6*time.Second)
			f.run(8*time.Second, func() { // restarts, also of holders, with fresh buckets
				for range 1 + n/10 {
					f.start(f.name(f.rng.IntN(n)))
				}
			})
			check("restarts", 0, 8*time.Second)
			joined := n
			f.run(8*time.Second, func() { // VMs that others do not know of yet
				for range 1 + n/50 {
					f.start(f.name(joined))
					joined++
				}
			})
			check("joins", 0, 8*time.Second)
			cut := func(on bool, part int) {
				for i, v := range f.vms {
					if i%part == 0 {
						v.cutOff, v.cutAt = on, f.clock.Now()
					}
				}
			}
			f.run(10*time.Second, func() {})
			f.sends = nil
			for _, part := range []int{2, 1} { // 1 is an outage of the store
				cut(true, part)
				f.run(14*time.Second, func() {})
				cut(false, part)
				f.run(9*time.Second, func() {})
				check(fmt.Sprintf("one in %d cut off", part), 0.1, 23*time.Second) // VMs that know no others still use a part
			}
			f.run(30*time.Second, func() { // one after the other, until few are left
				for range 1 + len(f.vms)/30 {
					if i := slices.IndexFunc(f.vms, func(v *coldVM) bool { return !v.cutOff }); i >= 0 && i < len(f.vms)-5 {
						f.vms[i].cutOff, f.vms[i].cutAt = true, f.clock.Now()
					}
				}
			})
			check("cut off one by one", 0.1, 30*time.Second)
			cut(false, 1)
			f.run(15*time.Second, func() { // all at once
				for _, v := range f.vms {
					if f.rng.IntN(10) == 0 {
						v.cutOff, v.cutAt = !v.cutOff, f.clock.Now()
					}
				}
				f.start(f.name(f.rng.IntN(joined)))
			})
			check("all at once", 0, 15*time.Second)
		})
	}
}

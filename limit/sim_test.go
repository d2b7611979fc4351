package limit

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// broken switches off one part of the mechanism, to show that the check finds it.
type broken struct {
	lentCapacity bool // lent tokens do not lower the lender's capacity
	oldHeadroom  bool // a refund does not shrink the headroom recorded before it
	anyHeadroom  bool // refunds are not bounded by past headroom
	loanLife     bool // borrowed tokens do not run out
	repeats      bool // a repeated GiveBack is credited again
	done         bool // a loan counts as ended while tokens of it are left
	slotWait     bool // a new holder of a slot refills at once
	everyAdvance bool // every process starts with an advance
	freshness    bool // a daemon spends although it is not fresh or its table is old
}

const (
	freshFor  = 3 * time.Second
	simVMs    = 6
	heartbeat = 500 * time.Millisecond
)

type use struct {
	at   time.Duration
	used int64
}

type simEvent struct {
	at     time.Duration
	number int
	run    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simRequest struct {
	charge int64
	until  time.Duration
}

// sim is a fleet of daemons for one workspace. Its network loses, delays and
// repeats messages; its store loses answers and applies writes late.
type sim struct {
	now       time.Duration
	rng       *rand.Rand
	broken    broken
	quota     lagoonhead.Quota
	events    simEvents
	number    int
	daemons   []*simDaemon // former incarnations included
	table     Table
	revision  int64
	storeDown bool
	lossy     bool
	log       []use
	unused    int                   // quarters of the requests that use less than their charge
	length    time.Duration         // the longest request
	missing   [simVMs]time.Duration // since when a VM should be off the list, or -1
	// accepted lets daemons start with advances. A VM then runs one process only.
	accepted Tolerance
}

type simDaemon struct {
	sim         *sim
	vm          int
	bucket      Bucket
	slots       Slots
	clockRate   float64
	clockOffset time.Duration
	dead        bool
	pausedUntil time.Duration
	cutPeers    bool
	cutStore    bool
	contact     time.Duration // local time of the newest proof of store contact
	known       bool
	answered    [simVMs]time.Duration // local time of sending of the newest answered heartbeat
	waiting     []simRequest
	nextRead    time.Duration
	hoarding    int // holds what it borrows and dispatches nothing
	asks        int
	shares      []int
	lastFresh   time.Duration
}

func newSim(seed uint64, q lagoonhead.Quota, b broken) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), quota: q, broken: b, table: NewTable(simVMs), revision: 1}
	for i := range simVMs {
		s.missing[i] = -1
		s.start(i)
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.number++
	heap.Push(&s.events, simEvent{s.now + d, s.number, f})
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// at runs f at a daemon, after a pause if it is paused then.
func (s *sim) at(delay time.Duration, d *simDaemon, f func()) {
	s.after(delay, func() {
		if d.dead {
			return
		}
		if d.pausedUntil > s.now {
			s.at(d.pausedUntil-s.now, d, f)
			return
		}
		d.check()
		f()
	})
}

func (s *sim) start(vm int) {
	d := &simDaemon{
		sim: s, vm: vm, clockRate: 1 + (s.rng.Float64()*2-1)*MaxDrift,
		clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour))),
	}
	for i := range d.answered {
		d.answered[i] = -time.Hour
	}
	d.slots.VM, d.slots.Incarnation = vmID(vm), lagoonhead.Incarnation(strconv.Itoa(len(s.daemons)))
	d.slots.OneProcess, d.slots.AdvanceWindow = s.accepted.Window > 0, s.accepted.Window
	s.daemons = append(s.daemons, d)
	s.every(heartbeat, d, d.heartbeats)
	s.every(2*time.Second, d, d.readSlots)
}

// every runs f again and again, with an interval that varies by a half.
func (s *sim) every(interval time.Duration, d *simDaemon, f func()) {
	s.at(interval/2+time.Duration(s.rng.Int64N(int64(interval))), d, func() {
		f()
		s.every(interval, d, f)
	})
}

func vmID(i int) lagoonhead.VMID { return lagoonhead.VMID(fmt.Sprint("vm", i)) }

// current returns the newest process of a VM, or nil.
func (s *sim) current(vm int) *simDaemon {
	for i := len(s.daemons) - 1; i >= 0; i-- {
		if d := s.daemons[i]; d.vm == vm {
			if d.dead {
				return nil
			}
			return d
		}
	}
	return nil
}

// send delivers a message to the newest process of a VM, perhaps late, twice or
// never.
func (s *sim) send(from *simDaemon, to int, f func(d *simDaemon)) {
	copies := 1
	if s.lossy {
		copies = s.rng.IntN(3)
	}
	for range copies {
		delay := time.Millisecond
		if s.lossy && s.rng.IntN(4) == 0 {
			delay = time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
		s.after(delay, func() {
			d := s.current(to)
			if d == nil || d.cutPeers || from.cutPeers {
				return
			}
			s.at(0, d, func() { f(d) })
		})
	}
}

func (d *simDaemon) local() time.Duration {
	return d.clockOffset + time.Duration(float64(d.sim.now)*d.clockRate)
}

// fresh is the rule of the design: proof of store contact, its own or passed on
// by peers, or answers from a majority, at most 3 s old.
func (d *simDaemon) fresh() bool {
	now, heard := d.local(), 1
	for i, at := range d.answered {
		if i != d.vm && now-at < freshFor {
			heard++
		}
	}
	return d.known && now-d.contact < freshFor || heard > simVMs/2
}

// check gives the slots up when the daemon was not fresh for too long.
func (d *simDaemon) check() {
	now := d.local()
	if now-d.lastFresh > 10*time.Second {
		d.slots.Drop()
	}
	if d.fresh() {
		d.lastFresh = now
	} else {
		d.slots.Postpone(now)
	}
	d.applySlots()
}

func (d *simDaemon) mayAct() bool {
	return d.sim.broken.freshness || d.fresh() && !d.slots.Suspended()
}

func (d *simDaemon) applySlots() {
	if d.sim.broken.slotWait {
		for i := range d.slots.held {
			d.slots.held[i].from = 0
		}
	}
	var active []int
	var starts []Start
	d.slots.Starts(d.local(), func(v Start) { active, starts = append(active, v.Slot), append(starts, v) })
	if slices.Equal(active, d.shares) {
		return
	}
	former, homes := d.shares, Homes("w", simVMs)
	d.shares = active
	d.bucket.SetShare(d.local(), ShareOf(d.sim.quota, homes, active))
	for _, v := range starts {
		if v.Advanced && !slices.Contains(former, v.Slot) {
			d.bucket.Advance(d.local(), AdvanceOf(d.sim.accepted.Advance(d.sim.quota), homes, []int{v.Slot}), v.Refill)
		}
	}
}

func (d *simDaemon) heartbeats() {
	for to := range simVMs {
		if to == d.vm {
			continue
		}
		sent, revision := d.local(), d.slots.Revision()
		d.sim.send(d, to, func(p *simDaemon) {
			p.slots.Hear(revision)
			age, known, theirs := p.local()-p.contact, p.known, p.slots.Revision()
			d.sim.send(p, d.vm, func(back *simDaemon) {
				if back != d {
					return
				}
				d.slots.Hear(theirs)
				d.answered[to] = max(d.answered[to], sent)
				if known && (!d.known || sent-age > d.contact) {
					d.known, d.contact = true, sent-age
				}
				if d.slots.Suspended() {
					d.readSlots()
				}
			})
		})
	}
}

func (d *simDaemon) readSlots() {
	s := d.sim
	if s.storeDown || d.cutStore || s.now < d.nextRead {
		return
	}
	d.nextRead = s.now + 300*time.Millisecond
	started := d.local()
	s.after(time.Millisecond, func() {
		t, revision := s.table, s.revision
		s.at(time.Millisecond, d, func() {
			now := d.local()
			d.known, d.contact = true, max(d.contact, started)
			d.slots.List(now, s.list())
			d.slots.Observe(now, t, revision)
			next, want := d.slots.Next(now)
			d.applySlots()
			if want {
				d.writeSlots(next, revision)
			}
		})
	})
}

// writeSlots compares and swaps. The write may take effect long after the daemon
// stopped waiting for the answer.
func (d *simDaemon) writeSlots(t Table, revision int64) {
	s := d.sim
	delay := time.Millisecond
	if s.lossy && s.rng.IntN(3) == 0 {
		delay = time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}
	s.after(delay, func() {
		if s.revision == revision && !s.storeDown {
			s.table = t
			s.revision++
		}
	})
	s.at(400*time.Millisecond, d, d.readSlots)
}

// list returns the platform's list. A VM without a running process leaves it late,
// and so does one whose process is paused or cut off.
func (s *sim) list() []lagoonhead.VM {
	var vms []lagoonhead.VM
	for i := range simVMs {
		d := s.current(i)
		gone := d == nil || d.pausedUntil > s.now || d.cutPeers && d.cutStore
		if gone && s.missing[i] < 0 {
			s.missing[i] = s.now + time.Duration(s.rng.Int64N(int64(listLag)))
		}
		if !gone {
			s.missing[i] = -1
		}
		if s.missing[i] < 0 || s.now < s.missing[i] {
			vms = append(vms, lagoonhead.NewVM(vmID(i), "d", "", false))
		}
	}
	return vms
}

// arrive queues a request at a daemon.
func (d *simDaemon) arrive(charge int64) {
	if len(d.waiting) < 50 {
		d.waiting = append(d.waiting, simRequest{charge, d.sim.now + 2*time.Second})
	}
	d.serve()
}

// serve dispatches what it can and borrows for the rest.
func (d *simDaemon) serve() {
	if d.hoarding > 0 {
		return
	}
	now := d.local()
	d.waiting = slices.DeleteFunc(d.waiting, func(r simRequest) bool { return r.until < d.sim.now })
	for len(d.waiting) > 0 && d.mayAct() {
		h, ok := d.bucket.Take(now, d.waiting[0].charge)
		if !ok {
			break
		}
		d.dispatch(h)
		d.waiting = d.waiting[1:]
	}
	if len(d.waiting) == 0 {
		d.bucket.Pour(now, 0)
		d.giveBack()
		return
	}
	d.bucket.Pour(now, LoanLife/2)
	d.giveBack()
	need := d.waiting[0].charge - d.bucket.Available(now)
	if d.asks < 3 && need > 0 {
		d.asks++
		d.ask(d.sim.rng.IntN(simVMs), need)
		d.sim.at(30*time.Millisecond, d, func() {
			d.asks--
			d.serve()
		})
	}
}

func (d *simDaemon) dispatch(h Hold) {
	s := d.sim
	charge := h.Charged()
	used := charge
	if s.rng.IntN(4) < s.unused {
		used = s.rng.Int64N(charge + 1)
	}
	s.log = append(s.log, use{s.now, used})
	length := time.Duration(s.rng.Int64N(int64(s.length)))
	s.at(length, d, func() {
		refund(&d.bucket, d.local(), h, used, s.broken)
		d.giveBack()
		d.serve()
	})
}

// refund is Refund, or a broken variant of it.
func refund(b *Bucket, now time.Duration, h Hold, used int64, v broken) {
	b.advance(now)
	if v.anyHeadroom {
		b.level = min(b.level+micros(h.charged-used), max(0, b.capacity-b.lent))
		return
	}
	marks := slices.Clone(b.marks)
	b.Refund(now, h, used)
	if v.oldHeadroom {
		for i := range marks {
			marks[i].least = min(marks[i].least, max(0, b.headroom()))
		}
		b.marks = marks
	}
}

func (d *simDaemon) ask(to int, need int64) {
	asked, taken := d.local(), false
	d.sim.send(d, to, func(p *simDaemon) {
		loan, lent := p.lend(need)
		d.sim.send(p, d.vm, func(back *simDaemon) {
			if back != d || taken {
				return
			}
			taken = true
			if !d.bucket.Receive(d.local(), asked, vmID(p.vm), p.slots.Incarnation, loan, lent) {
				return
			}
			if d.sim.broken.loanLife && len(d.bucket.received) > 0 {
				d.bucket.received[len(d.bucket.received)-1].expires += time.Hour
			}
			d.giveBack()
			d.serve()
		})
	})
}

func (d *simDaemon) lend(need int64) (uint64, int64) {
	if !d.mayAct() {
		return 0, 0
	}
	return lend(&d.bucket, d.local(), need, d.sim.broken)
}

// lend is Lend, or a broken variant of it.
func lend(b *Bucket, now time.Duration, need int64, v broken) (uint64, int64) {
	loan, lent := b.Lend(now, need)
	if lent > 0 && v.lentCapacity {
		b.lent -= micros(lent)
		b.made[len(b.made)-1].amount = 0
	}
	return loan, lent
}

// takeBack is TakeBack, or a broken variant of it.
func takeBack(b *Bucket, now time.Duration, loan uint64, returned int64, done bool, v broken) {
	if v.repeats {
		for i := range b.made {
			b.made[i].returned = 0
		}
	}
	b.TakeBack(now, loan, returned, done || v.done)
}

func (d *simDaemon) giveBack() {
	for _, g := range d.bucket.Messages() {
		var to int
		fmt.Sscanf(string(g.Lender()), "vm%d", &to)
		d.sim.send(d, to, func(p *simDaemon) {
			if p.slots.Incarnation != g.Incarnation() {
				return
			}
			takeBack(&p.bucket, p.local(), g.Loan(), g.Returned(), g.Done(), p.sim.broken)
			p.serve()
		})
	}
}

// excess returns by how many tokens the worst window exceeds rate*t + burst, or
// less than zero when none does. It knows the dispatches only. The largest sum over
// the windows that end at a dispatch follows from the one before.
func excess(q lagoonhead.Quota, log []use) float64 {
	slices.SortStableFunc(log, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	worst, sum, last := -float64(q.Burst), 0.0, time.Duration(0)
	for _, u := range log {
		sum = max(0, sum-q.Rate*(u.at-last).Seconds()) + float64(u.used)
		last = u.at
		worst = max(worst, sum-float64(q.Burst))
	}
	return worst
}

func (s *sim) excess() float64 { return excess(s.quota, s.log) }

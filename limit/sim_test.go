package limit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/eventqueue"
)

// broken disables parts of the mechanism, to show that the simulation detects it.
type broken struct {
	lentCapacity bool // lent tokens do not reduce the lender's capacity
	oldHeadroom  bool // a refund does not reduce the headroom minima recorded before it
	anyHeadroom  bool // refunds are not bounded by past headroom
	loanLife     bool // borrowed tokens do not expire
	repeats      bool // a duplicated LoanReturn is credited again
	done         bool // a loan counts as ended while it still has tokens
	slotWait     bool // a new holder of a slot refills without waiting
	everyAdvance bool // every process starts with an advance
	withDebt     bool // not a defect: buckets may go into debt
	// debtForgotten means that a new holder of a slot does not take over the debt.
	debtForgotten bool
	freshness     bool // a daemon spends although it is not fresh or its table is outdated
}

const (
	freshFor  = 3 * time.Second
	simVMs    = 6
	heartbeat = 500 * time.Millisecond
)

// use is the number of tokens that a request used, at the time of its dispatch.
type use struct {
	at   time.Duration
	used int64
}

type simRequest struct {
	charge int64
	until  time.Duration // the request is dropped if it still waits after this time
}

// sim simulates a fleet of daemons for one workspace. Its network loses, delays and
// duplicates messages; its store loses responses and applies writes late.
type sim struct {
	now       time.Duration
	rng       *rand.Rand
	broken    broken
	quota     lagoonhead.Quota
	events    eventqueue.Queue
	daemons   []*simDaemon // including former incarnations
	table     Table
	revision  int64
	storeDown bool
	lossy     bool
	log       []use                 // all dispatches
	unused    int                   // number of requests in 4 that use less than their charge
	length    time.Duration         // maximum duration of a request
	missing   [simVMs]time.Duration // when a VM disappears from the list, or -1
	// accepted enables advances if its Window is positive. A VM must then run at most one
	// process at a time.
	accepted Tolerance
	// debt is the sum of the debts that the buckets of all slots may have.
	debt int64
}

type simDaemon struct {
	sim          *sim
	vm           int
	bucket       Bucket
	slots        Slots
	clockRate    float64
	clockOffset  time.Duration
	dead         bool
	pausedUntil  time.Duration
	cutPeers     bool                  // no message from or to peers is delivered
	cutStore     bool                  // the store cannot be read
	storeContact time.Duration         // local time of the latest known contact of any daemon with the store
	contactKnown bool                  // whether storeContact is set
	answeredAt   [simVMs]time.Duration // local time at which the latest answered heartbeat was sent
	waiting      []simRequest
	nextRead     time.Duration // earliest simulated time of the next read of the slot table
	hoarding     int           // while positive, the daemon keeps borrowed tokens and dispatches nothing
	loanRequests int           // recent requests for loans
	activeSlots  []int
	lastFresh    time.Duration // local time
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
	s.events.Add(s.now+d, f)
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for {
		at, run, ok := s.events.Pop(end)
		if !ok {
			break
		}
		s.now = at
		run()
	}
	s.now = end
}

// at runs f at a daemon after delay, or after the daemon's pause if it is paused by then.
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
	for i := range d.answeredAt {
		d.answeredAt[i] = -time.Hour
	}
	d.slots.VM, d.slots.Incarnation = vmID(vm), lagoonhead.Incarnation(strconv.Itoa(len(s.daemons)))
	d.slots.NoEarlierProcess, d.slots.AdvanceWindow = s.accepted.Window > 0, s.accepted.Window
	s.daemons = append(s.daemons, d)
	s.every(heartbeat, d, d.heartbeats)
	s.every(2*time.Second, d, d.readSlots)
}

// every runs f repeatedly, with random intervals of 0.5 to 1.5 times the given one.
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

// send delivers a message to the newest process of a VM. While the network is lossy, the
// message may be late, duplicated or lost.
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

// fresh reports whether the daemon has evidence at most 3 s old that it is connected:
// contact with the store, its own or reported by a peer, or heartbeat answers that make
// a majority of the VMs together with itself.
func (d *simDaemon) fresh() bool {
	now, reached := d.local(), 1
	for i, at := range d.answeredAt {
		if i != d.vm && now-at < freshFor {
			reached++
		}
	}
	return d.contactKnown && now-d.storeContact < freshFor || reached > simVMs/2
}

// check stops the use of the slots when the daemon has not been fresh for 10 s, and
// postpones their waits while it is not fresh.
func (d *simDaemon) check() {
	now := d.local()
	if now-d.lastFresh > 10*time.Second {
		d.slots.StopUse()
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
			d.slots.held[i].refillFrom = 0
		}
	}
	var active []int
	var starts []ActiveSlot
	d.slots.EachActiveSlot(d.local(), func(v ActiveSlot) { active, starts = append(active, v.Slot), append(starts, v) })
	if slices.Equal(active, d.activeSlots) {
		return
	}
	former, homes := d.activeSlots, HomeSlots("w", simVMs, MaxHomeSlots)
	d.activeSlots = active
	debtOf := func(slot int) int64 { return ShareOf(d.sim.quota, d.sim.debt, homes, []int{slot}).Debt() }
	d.bucket.SetShare(d.local(), ShareOf(d.sim.quota, d.sim.debt, homes, active))
	for _, v := range starts {
		switch {
		case slices.Contains(former, v.Slot):
		case v.Advanced:
			d.bucket.AddAdvance(d.local(), AdvanceShare(d.sim.accepted.Advance(d.sim.quota), homes, []int{v.Slot}), v.Refill)
		case !d.sim.broken.debtForgotten:
			d.bucket.Owe(d.local(), debtOf(v.Slot))
		}
	}
	for _, slot := range former {
		if !slices.Contains(active, slot) {
			d.bucket.Forgive(d.local(), debtOf(slot))
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
			p.slots.ObserveRevision(revision)
			age, known, theirs := p.local()-p.storeContact, p.contactKnown, p.slots.Revision()
			d.sim.send(p, d.vm, func(back *simDaemon) {
				if back != d {
					return
				}
				d.slots.ObserveRevision(theirs)
				d.answeredAt[to] = max(d.answeredAt[to], sent)
				if known && (!d.contactKnown || sent-age > d.storeContact) {
					d.contactKnown, d.storeContact = true, sent-age
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
			d.contactKnown, d.storeContact = true, max(d.storeContact, started)
			d.slots.ObserveVMs(now, s.list())
			d.slots.Observe(now, t, revision)
			next, want := d.slots.NextTable(now)
			d.applySlots()
			if want {
				d.writeSlots(next, revision)
			}
		})
	})
}

// writeSlots writes the table by compare-and-swap. The write may take effect long after
// the daemon stopped waiting for the response.
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

// list returns the platform's list of VMs. A VM whose process is dead, paused or isolated
// disappears from it after a random delay.
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

// serve dispatches waiting requests while there are tokens and borrows for the next one.
func (d *simDaemon) serve() {
	if d.hoarding > 0 {
		return
	}
	now := d.local()
	d.waiting = slices.DeleteFunc(d.waiting, func(r simRequest) bool { return r.until < d.sim.now })
	for len(d.waiting) > 0 && d.mayAct() {
		receipt, ok := d.bucket.Charge(now, d.waiting[0].charge)
		if !ok {
			break
		}
		d.dispatch(receipt)
		d.waiting = d.waiting[1:]
	}
	if len(d.waiting) == 0 {
		d.bucket.DepositLoans(now, 0)
		d.sendLoanReturns()
		return
	}
	d.bucket.DepositLoans(now, LoanTTL/2)
	d.sendLoanReturns()
	need := d.waiting[0].charge - d.bucket.Available(now)
	if d.loanRequests < 3 && need > 0 {
		d.loanRequests++
		d.requestLoan(d.sim.rng.IntN(simVMs), need)
		d.sim.at(30*time.Millisecond, d, func() {
			d.loanRequests--
			d.serve()
		})
	}
}

func (d *simDaemon) dispatch(r Receipt) {
	s := d.sim
	charge := r.Charged()
	used := charge
	if s.rng.IntN(4) < s.unused {
		used = s.rng.Int64N(charge + 1)
	}
	s.log = append(s.log, use{s.now, used})
	length := time.Duration(s.rng.Int64N(int64(s.length)))
	s.at(length, d, func() {
		refund(&d.bucket, d.local(), r, used, s.broken)
		d.sendLoanReturns()
		d.serve()
	})
}

// refund is Refund, or a broken variant of it.
func refund(b *Bucket, now time.Duration, r Receipt, used int64, v broken) {
	b.advanceTo(now)
	if v.anyHeadroom {
		b.level = min(b.level+fromTokens(r.charged-used), max(0, b.capacity-b.lent))
		return
	}
	minima := slices.Clone(b.minima)
	b.Refund(now, r, used)
	if v.oldHeadroom {
		for i := range minima {
			minima[i].headroom = min(minima[i].headroom, max(0, b.headroom()))
		}
		b.minima = minima
	}
}

func (d *simDaemon) requestLoan(to int, need int64) {
	requested, received := d.local(), false
	d.sim.send(d, to, func(p *simDaemon) {
		loan, lent := p.lend(need)
		d.sim.send(p, d.vm, func(back *simDaemon) {
			if back != d || received {
				return
			}
			received = true
			if !d.bucket.Receive(d.local(), requested, vmID(p.vm), p.slots.Incarnation, loan, lent) {
				return
			}
			if d.sim.broken.loanLife && len(d.bucket.received) > 0 {
				d.bucket.received[len(d.bucket.received)-1].expires += time.Hour
			}
			d.sendLoanReturns()
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
		b.lent -= fromTokens(lent)
		b.lentLoans[len(b.lentLoans)-1].amount = 0
	}
	return loan, lent
}

// handleReturn is HandleReturn, or a broken variant of it.
func handleReturn(b *Bucket, now time.Duration, loan uint64, returned int64, done bool, v broken) {
	if v.repeats {
		for i := range b.lentLoans {
			b.lentLoans[i].returned = 0
		}
	}
	b.HandleReturn(now, loan, returned, done || v.done)
}

func (d *simDaemon) sendLoanReturns() {
	for _, g := range d.bucket.Messages() {
		var to int
		fmt.Sscanf(string(g.Lender()), "vm%d", &to)
		d.sim.send(d, to, func(p *simDaemon) {
			if p.slots.Incarnation != g.Incarnation() {
				return
			}
			handleReturn(&p.bucket, p.local(), g.Loan(), g.Returned(), g.Done(), p.sim.broken)
			p.serve()
		})
	}
}

// excess returns the maximum excess over rate*t + burst, in tokens, of all windows; it is
// negative when no window reaches the limit. It depends on the dispatches only. The
// maximum over the windows that end at a dispatch is computed from that of the dispatch
// before.
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

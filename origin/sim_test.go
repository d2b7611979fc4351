package origin

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/eventqueue"
)

const (
	simLifetime = 12 * time.Second
	// simTakeUp is the longest time after its beginning at which a simulated stream is taken up.
	simTakeUp = 5 * time.Second
	// simCut is the longest time for which a VM is cut off. With simTakeUp it is less than
	// simLifetime, as entry has it.
	simCut = 5 * time.Second
	// simFresh is the age up to which a copy of the registrations counts as fresh.
	simFresh = 2200 * time.Millisecond
	simEnd   = time.Minute
	// simStreams is the mean time between two new streams of a VM.
	simStreams = 100 * time.Millisecond
)

// simTrouble says what happens in a simulation besides new versions.
type simTrouble struct {
	kills, peerCuts, storeCuts, partitions, lostCalls bool
}

// simStream is a stream of the simulation.
type simStream struct {
	key      uint64
	software string
}

// simVM is one VM of the simulation.
type simVM struct {
	lagoonhead.VM
	hub  bool
	book *Book
	// process changes with each start; 0 is down.
	process int
	// cut has the VMs that it cannot reach. noStore is true while it cannot read the store.
	cut     map[lagoonhead.VMID]bool
	noStore bool
	// list are the registered versions as of the time asOf; read is true once it has read them.
	list []string
	asOf time.Duration
	read bool
	// caughtUp is true once the others have been asked what has served before.
	caughtUp bool
}

// sim plays a fleet in which software versions come and go.
type sim struct {
	eventqueue.Queue
	rand    *rand.Rand
	now     time.Duration
	trouble simTrouble
	vms     []*simVM
	hubs    []lagoonhead.VM
	byID    map[lagoonhead.VMID]*simVM
	// registered has the versions in the store, key what the store keeps of mixed services.
	registered []string
	key        map[string][]string
	nextKey    uint64
	process    int
	counts     simCounts
}

type simCounts struct{ begun, takenUp, went, wrong, calmCalls int }

func newSim(seed uint64, vms, hubCount int, t simTrouble) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, trouble: t, byID: make(map[lagoonhead.VMID]*simVM), registered: []string{"v1"}}
	for i, v := range hubs(vms, 3) {
		m := &simVM{VM: v, hub: i < hubCount}
		if m.hub {
			s.hubs = append(s.hubs, v)
		}
		s.vms = append(s.vms, m)
		s.byID[v.ID()] = m
		s.start(m)
	}
	return s
}

// after adds an event.
func (s *sim) after(d time.Duration, run func()) { s.Add(s.now+d, run) }

// upTo returns a random time up to d.
func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rand.Int64N(int64(d))) + 1 }

// whileUp adds an event that does not happen if the process of the VM has ended by then.
func (s *sim) whileUp(m *simVM, d time.Duration, run func()) {
	p := m.process
	s.after(d, func() {
		if m.process == p {
			run()
		}
	})
}

// start starts the process of a VM.
func (s *sim) start(m *simVM) {
	s.process++
	m.process, m.book, m.read, m.caughtUp = s.process, NewBook(simLifetime), false, false
	s.sync(m)
	s.catchUp(m)
	s.whileUp(m, s.upTo(2*simStreams), func() { s.newStreams(m) })
	s.whileUp(m, s.upTo(500*time.Millisecond), func() { s.store(m) })
}

// sync has a VM read the registrations, and again later.
func (s *sim) sync(m *simVM) {
	if !m.noStore {
		if !m.read {
			s.learn(m)
		}
		m.list, m.asOf, m.read = slices.Clone(s.registered), s.now, true
		if m.book.Observe(s.now, registered(m.list...)) {
			s.announce(m)
		}
	}
	s.whileUp(m, s.upTo(time.Second), func() { s.sync(m) })
}

// catchUp is Tracker.catchUp.
func (s *sim) catchUp(m *simVM) {
	left := 1
	end := func() {
		left--
		m.caughtUp = m.caughtUp || left == 0
	}
	for _, v := range s.vms {
		if !v.hub || v == m || v.process == 0 {
			continue
		}
		left++
		var groups []Group
		s.call(m, v, announceTimeout, func() { groups = v.book.Versions(s.now) }, func(ok bool) {
			if ok {
				s.record(m, groups)
			}
			end()
		})
	}
	end()
}

func (s *sim) learn(m *simVM) {
	m.book.Learn(s.now, s.key)
}

// store has the first hub that runs keep in the store which versions there are.
func (s *sim) store(m *simVM) {
	first := slices.IndexFunc(s.vms, func(v *simVM) bool { return v.process > 0 && v.hub })
	if first >= 0 && s.vms[first] == m && !m.noStore && m.read {
		s.key = m.book.Mixed(s.now)
	}
	s.whileUp(m, 500*time.Millisecond, func() { s.store(m) })
}

// reaches reports whether a call arrives.
func (s *sim) reaches(a, b *simVM) bool {
	return b.process > 0 && !a.cut[b.ID()] && !b.cut[a.ID()] && (!s.trouble.lostCalls || s.rand.IntN(50) > 0)
}

// call has one VM call another and calls back with whether the call succeeded. A call that fails
// silently takes the given bound.
func (s *sim) call(from, to *simVM, bound time.Duration, handle func(), back func(ok bool)) {
	s.after(s.upTo(3*time.Millisecond), func() {
		if !s.reaches(from, to) {
			s.whileUp(from, bound, func() { back(false) })
			return
		}
		handle()
		s.whileUp(from, s.upTo(3*time.Millisecond), func() { back(true) })
	})
}

// announce is Tracker.announce.
func (s *sim) announce(m *simVM) {
	a := m.book.Announce(s.now)
	if a == nil {
		return
	}
	share := a.share(s.hubs)
	told := map[lagoonhead.VMID]bool{m.ID(): true}
	var round func()
	round = func() {
		waiting := 1
		end := func() {
			waiting--
			switch {
			case waiting > 0:
			case a.Over(s.now, s.known(told), len(s.hubs)):
				m.book.Announced(a)
			default:
				s.whileUp(m, announceInterval, round)
			}
		}
		for _, h := range s.hubs {
			to := s.byID[h.ID()]
			if told[to.ID()] {
				continue
			}
			waiting++
			if to.process == 0 { // the connection is refused
				told[to.ID()] = true
				end()
				continue
			}
			s.call(m, to, announceTimeout, func() { s.record(to, share[to.ID()]) }, func(ok bool) {
				if ok {
					told[to.ID()] = true
				}
				end()
			})
		}
		end()
	}
	round()
}

// known returns the number of hubs that have been told.
func (s *sim) known(told map[lagoonhead.VMID]bool) (n int) {
	for _, v := range s.hubs {
		if told[v.ID()] {
			n++
		}
	}
	return n
}

func (s *sim) record(m *simVM, groups []Group) {
	if m.book.Record(s.now, groups) {
		s.announce(m)
	}
}

// newStreams begins a stream at a VM, and more later.
func (s *sim) newStreams(m *simVM) {
	s.whileUp(m, s.upTo(2*simStreams), func() { s.newStreams(m) })
	if !m.read {
		return
	}
	usable := m.book.Usable(registered(m.list...))
	if len(usable) == 0 {
		return
	}
	s.nextKey++
	v := simStream{s.nextKey, usable[s.rand.IntN(len(usable))].Software()}
	tell := m.book.Begin(s.now, "s", v.software, v.key)
	if len(m.book.unannounced) > 0 {
		s.announce(m)
	}
	begun := false
	begin := func() {
		if !begun {
			begun = true
			s.counts.begun++
			s.after(s.upTo(simTakeUp), func() { s.takeUp(v) })
		}
	}
	if !tell {
		begin()
		return
	}
	if len(s.registered) == 1 && s.now < time.Hour+5*time.Second {
		s.counts.calmCalls++
	}
	s.whileUp(m, tellBound, begin)
	for _, h := range homes(s.hubs, v.key) {
		to := s.byID[h.ID()]
		if to == m {
			continue
		}
		s.call(m, to, callTimeout, func() { s.record(to, []Group{{"s", v.software, []uint64{v.key}}}) }, func(ok bool) {
			if ok {
				begin()
			}
		})
	}
}

// fresh reports whether the copy of a VM is fresh.
func (s *sim) fresh(m *simVM) bool { return m.caughtUp && m.read && s.now-m.asOf <= simFresh }

// takeUp has a caller take up a stream at a random VM that runs. It is Tracker.Find.
func (s *sim) takeUp(v simStream) {
	var up []*simVM
	for _, m := range s.vms {
		if m.read && m.process > 0 {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return
	}
	m := up[s.rand.IntN(len(up))]
	s.counts.takenUp++
	own := m.book.Answer(s.now, "s", v.key)
	if own.Known {
		s.judge(v, own.Software, true)
		return
	}
	q := &inquiry{hubs: len(s.hubs)}
	q.add(witness{vm: m.ID(), Answer: own, hub: m.hub, fresh: s.fresh(m)})
	var others []lagoonhead.VM
	for _, h := range order(s.hubs, v.key) {
		if h.ID() != m.ID() {
			others = append(others, h)
		}
	}
	n := min(firstAsked, len(others))
	s.ask(m, q, others[:n], v.key, func() {
		if _, _, ok := q.result(); ok || q.mixed() {
			software, _, ok := q.result()
			s.judge(v, software, ok)
			return
		}
		s.ask(m, q, others[n:], v.key, func() {
			software, _, ok := q.result()
			s.judge(v, software, ok)
		})
	})
}

// ask is Tracker.ask.
func (s *sim) ask(m *simVM, q *inquiry, vms []lagoonhead.VM, key uint64, done func()) {
	if len(vms) == 0 || q.decided() {
		done()
		return
	}
	left, ended := len(vms), false
	end := func() {
		if !ended {
			ended = true
			done()
		}
	}
	s.whileUp(m, askBound, end)
	for _, h := range vms {
		to := s.byID[h.ID()]
		var w witness
		s.call(m, to, 2*askBound, func() {
			w = witness{vm: to.ID(), Answer: to.book.Answer(s.now, "s", key), hub: true, fresh: s.fresh(to)}
		}, func(ok bool) {
			left--
			if ended {
				return
			}
			if ok {
				q.add(w)
			}
			if q.decided() || left == 0 {
				end()
			}
		})
	}
}

func (s *sim) judge(v simStream, software string, ok bool) {
	if !ok {
		return
	}
	s.counts.went++
	if software != v.software {
		s.counts.wrong++
	}
}

// plan adds what happens to the versions and the VMs.
func (s *sim) plan() {
	at := 5 * time.Second
	changes := []time.Duration{}
	for i := 2; at < simEnd-5*time.Second; i++ {
		name := fmt.Sprint("v", i)
		changes = append(changes, at)
		s.after(at, func() { s.registered = append(s.registered, name) })
		// After a long pause the others have forgotten the former version.
		long := s.rand.IntN(2) == 0
		if long || s.rand.IntN(3) > 0 {
			s.after(at+s.upTo(4*time.Second), s.leave)
		}
		at += 3*time.Second + s.upTo(8*time.Second)
		if long {
			at += simLifetime + simCut
		}
	}
	for range 6 {
		m := s.vms[s.rand.IntN(len(s.vms))]
		at := s.upTo(simEnd - simCut)
		if s.rand.IntN(2) == 0 { // around a new version
			at = changes[s.rand.IntN(len(changes))] + s.upTo(4*time.Second) - 3*time.Second
		}
		switch s.rand.IntN(4) {
		case 0:
			if s.trouble.kills {
				s.after(at, func() { s.kill(m) })
			}
		case 1:
			if s.trouble.peerCuts {
				s.after(at, func() { s.cutOff(m) })
			}
		case 2:
			if s.trouble.storeCuts {
				s.after(at, func() { m.noStore = true })
				s.after(at+s.upTo(simCut), func() { m.noStore = false })
			}
		case 3:
			if s.trouble.partitions {
				s.after(at, s.partition)
			}
		}
	}
}

// leave has all versions but the newest leave, once the store keeps that there are several. A
// fleet of which no VM runs, or none reaches the store, from before a version comes until another
// has gone cannot know of the latter.
func (s *sim) leave() {
	switch {
	case len(s.registered) < 2:
	case len(s.key["s"]) == 0:
		s.after(100*time.Millisecond, s.leave)
	default:
		s.registered = s.registered[len(s.registered)-1:]
	}
}

func (s *sim) kill(m *simVM) {
	if m.process == 0 {
		return
	}
	m.process, m.read = 0, false
	s.after(s.upTo(2*time.Second), func() { s.start(m) })
}

// partition cuts some VMs off from the store and from the others.
func (s *sim) partition() {
	var inside, outside []*simVM
	for _, v := range s.vms {
		if s.rand.IntN(2) == 0 {
			inside = append(inside, v)
		} else {
			outside = append(outside, v)
		}
	}
	for _, v := range inside {
		v.noStore, v.cut = true, make(map[lagoonhead.VMID]bool)
		for _, o := range outside {
			v.cut[o.ID()] = true
		}
	}
	s.after(s.upTo(simCut), func() {
		for _, v := range inside {
			v.noStore, v.cut = false, nil
		}
	})
}

// cutOff cuts a VM off from some of the others.
func (s *sim) cutOff(m *simVM) {
	m.cut = make(map[lagoonhead.VMID]bool)
	for _, v := range s.vms {
		if s.rand.IntN(3) > 0 {
			m.cut[v.ID()] = true
		}
	}
	s.after(s.upTo(simCut), func() { m.cut = nil })
}

func (s *sim) run() simCounts {
	s.plan()
	for end := s.now + simEnd; ; {
		at, run, ok := s.Pop(end)
		if !ok {
			return s.counts
		}
		s.now = at
		run()
	}
}

var simSeeds = flag.Int("origin.seeds", 6, "number of simulated fleets of each kind")

// Guards against a stream that goes on at another version than that at which it began, whatever
// happens to the VMs, and against streams that are refused while their homes run.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, c := range []struct {
		name      string
		vms, hubs int
		trouble   simTrouble
		share     float64 // of the streams that go on
	}{
		{"calm", 6, 6, simTrouble{}, 0.99},
		{"lost calls", 6, 6, simTrouble{lostCalls: true}, 0.95},
		{"kills", 6, 6, simTrouble{kills: true}, 0.9},
		{"cut off from the store", 6, 6, simTrouble{storeCuts: true}, 0.9},
		{"cut off from peers", 6, 6, simTrouble{peerCuts: true}, 0.5},
		{"partitions", 6, 6, simTrouble{partitions: true}, 0.5},
		{"all", 6, 6, simTrouble{true, true, true, true, true}, 0.5},
		{"attached VMs", 20, 6, simTrouble{true, true, true, true, true}, 0.5},
		{"two VMs", 2, 2, simTrouble{kills: true, storeCuts: true}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all simCounts
			for seed := range *simSeeds {
				n := newSim(uint64(seed), c.vms, c.hubs, c.trouble).run()
				require.Zero(t, n.wrong, "seed %d", seed)
				require.Zero(t, n.calmCalls, "calls while one version has served, seed %d", seed)
				all.begun += n.begun
				all.takenUp += n.takenUp
				all.went += n.went
			}
			t.Logf("%d streams begun, %d taken up, %d went on: %.4f", all.begun, all.takenUp, all.went, float64(all.went)/float64(all.takenUp))
			require.Greater(t, float64(all.went)/float64(all.takenUp), c.share)
		})
	}
}

// Guards against the same in fleets of any size with any trouble.
func TestNoWrongVersionInAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 10).Draw(t, "vms")
		hubCount := rapid.IntRange(1, vms).Draw(t, "hubs")
		trouble := simTrouble{
			kills: rapid.Bool().Draw(t, "kills"), peerCuts: rapid.Bool().Draw(t, "peerCuts"), storeCuts: rapid.Bool().Draw(t, "storeCuts"),
			partitions: rapid.Bool().Draw(t, "partitions"), lostCalls: rapid.Bool().Draw(t, "lostCalls"),
		}
		n := newSim(rapid.Uint64().Draw(t, "seed"), vms, hubCount, trouble).run()
		require.Zero(t, n.wrong)
	})
}

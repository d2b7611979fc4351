package config

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

// TestMain sets a fixed seed for the property tests unless the command line sets one,
// so that runs in CI are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	checksFixed = flag.Lookup("rapid.checks").Value.String() != flag.Lookup("rapid.checks").DefValue
	os.Exit(m.Run())
}

// checksFixed is true if the command line sets the number of cases.
var checksFixed bool

// setChecks sets the number of cases of the next property test.
func setChecks(n int) {
	if !checksFixed {
		_ = flag.Set("rapid.checks", strconv.Itoa(n))
	}
}

// process is one daemon of the model.
type process struct {
	id lagoonhead.VMID
	// number counts the starts of the daemon.
	number int
	view   *View
	paused bool
	// lastInForce is the revision that was in force at the last check.
	lastInForce int64
}

func (p *process) incarnation() lagoonhead.Incarnation {
	return lagoonhead.Incarnation(fmt.Sprintf("%s-%d", p.id, p.number))
}

// message is a request in flight. sample makes the answer at the receiver and returns
// the function that delivers it to the sender, or false if the receiver is down.
// deliver is that function; it is nil until the answer is made.
type message struct {
	from        *process
	incarnation lagoonhead.Incarnation
	sent        time.Duration
	sample      func() (deliver func(), ok bool)
	deliver     func()
}

// commit is a committed revision whose acceptance an operator waits for.
type commit struct {
	revision    int64
	committer   *process
	incarnation lagoonhead.Incarnation
	state       *Acceptance
	// accepted is the time of the acceptance, once done is true.
	accepted time.Duration
	done     bool
}

// fleet is the model of the daemons and the store. Messages can be lost, delayed,
// reordered and delivered more than once.
type fleet struct {
	now time.Duration
	// store is the newest revision in the store.
	store   int64
	storeUp bool
	// partsUp is false while the parts of revisions cannot be read.
	partsUp  bool
	vms      []*process
	listed   []lagoonhead.VMID
	messages []*message
	commits  []*commit
	replaced int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Minute, storeUp: true, partsUp: true}
	for i := range n {
		id := lagoonhead.VMID(fmt.Sprintf("vm%d", i))
		f.listed = append(f.listed, id)
		f.vms = append(f.vms, &process{id: id})
	}
	for _, p := range f.vms {
		f.restart(p)
	}
	return f
}

func (f *fleet) restart(p *process) {
	p.number++
	p.lastInForce = 0
	p.view = NewView(p.id, f.now)
	p.view.SetListed(f.listed)
	p.paused = false
}

func (f *fleet) send(from *process, sample func() (func(), bool)) *message {
	m := &message{from: from, incarnation: from.incarnation(), sent: f.now, sample: sample}
	f.messages = append(f.messages, m)
	return m
}

// fetch reads the parts of a revision, if they can be read, and updates the revision in
// force.
func (f *fleet) fetch(p *process, revision int64) {
	if f.partsUp {
		p.view.SetLocal(revision)
	}
	p.view.Adopt(f.now)
}

// readStore sends a read of the manifest; the answer is followed by a fetch of the parts.
func (f *fleet) readStore(p *process) *message {
	sent := f.now
	return f.send(p, func() (func(), bool) {
		r := f.store
		return func() {
			p.view.RecordStoreAnswer(f.now, sent, r)
			f.fetch(p, r)
		}, f.storeUp
	})
}

// exchange sends a heartbeat from p to q; the answer is followed by a pull of q's
// revision.
func (f *fleet) exchange(p, q *process) *message {
	sent := f.now
	return f.send(p, func() (func(), bool) {
		r := q.view.Report(f.now, q.incarnation())
		return func() {
			p.view.RecordHeartbeat(f.now, sent, r)
			f.fetch(p, r.Revision)
		}, !q.paused
	})
}

// poll queries the revision in force at q, on behalf of an operator who waits for the
// acceptance of c.
func (f *fleet) poll(c *commit, q *process) *message {
	sent := f.now
	return f.send(c.committer, func() (func(), bool) {
		id, in, r := q.id, q.incarnation(), q.view.InForce()
		return func() {
			if c.done || c.incarnation != c.committer.incarnation() {
				return
			}
			c.state.RecordAnswer(id, in, r, sent, f.now)
			if c.state.Accepted(f.listed) {
				c.done, c.accepted = true, f.now
			}
		}, !q.paused
	})
}

// step advances a message by one stage: the first makes the answer, the second and
// later ones deliver it.
func (f *fleet) step(m *message) {
	if m.deliver == nil {
		if d, ok := m.sample(); ok {
			m.deliver = d
		}
		return
	}
	if m.from.incarnation() == m.incarnation && !m.from.paused {
		m.deliver()
	}
}

func (f *fleet) commit(p *process) {
	f.store++
	p.view.RecordExistence(f.now, f.store)
	p.view.SetLocal(f.store)
	p.view.Adopt(f.now)
	f.commits = append(f.commits, &commit{
		revision: f.store, committer: p, incarnation: p.incarnation(), state: NewAcceptance(f.store),
	})
}

// replace replaces a VM by a new one with another ID and gives all daemons the new VM
// list at once.
func (f *fleet) replace(i int) {
	f.replaced++
	p := &process{id: lagoonhead.VMID(fmt.Sprintf("new%d", f.replaced))}
	f.vms[i] = p
	f.listed[i] = p.id
	f.restart(p)
	for _, q := range f.vms {
		q.view.SetListed(f.listed)
	}
}

// check asserts the guarantees of View.
func (f *fleet) check(t require.TestingT) {
	for _, p := range f.vms {
		in := p.view.InForce()
		require.GreaterOrEqual(t, in, p.lastInForce, "%s went back to an older revision", p.id)
		require.LessOrEqual(t, in, f.store, "%s has a revision in force that does not exist", p.id)
		p.lastInForce = in
		if !p.view.Fresh(f.now) {
			continue
		}
		for _, c := range f.commits {
			if c.done && f.now-c.accepted > 4*time.Second {
				require.GreaterOrEqual(t, in, c.revision, "%s is fresh with an older revision %v after the acceptance", p.id, f.now-c.accepted)
			}
		}
	}
}

// progress advances a new message by 0 steps (it is still in flight), 1 (it is answered)
// or 2 (the answer is delivered).
func (f *fleet) progress(m *message, steps int) {
	for range steps {
		f.step(m)
	}
}

// confirm lets a group of daemons get the revision of the committing daemon, and then
// polls each of them the given number of times.
func (f *fleet) confirm(c *commit, group []*process, rounds int) {
	for _, q := range group {
		q.view.SetLocal(c.committer.view.InForce())
		f.progress(f.exchange(q, c.committer), 2)
	}
	for range rounds {
		f.now += time.Millisecond
		for _, q := range group {
			f.progress(f.poll(c, q), 2)
		}
	}
}

// Guards against a fresh daemon with a revision older than one accepted more than 4 s
// ago, and against a daemon that goes back to an older revision. Messages are lost,
// delayed and duplicated, the store has outages and returns old data, and daemons are
// restarted, paused and replaced.
func TestViewKeepsAcceptedRevisions(t *testing.T) {
	setChecks(1500)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 5).Draw(t, "vms"))
		vm := func() *process { return rapid.SampledFrom(f.vms).Draw(t, "vm") }
		group := func() []*process {
			set := rapid.IntRange(1, 1<<len(f.vms)-1).Draw(t, "group")
			return slices.DeleteFunc(slices.Clone(f.vms), func(p *process) bool {
				return set>>slices.Index(f.vms, p)&1 == 0
			})
		}
		steps := func() int { return rapid.SampledFrom([]int{2, 2, 2, 1, 0}).Draw(t, "steps") }
		commitNow := func(*rapid.T) {
			if p := vm(); f.storeUp && !p.paused {
				f.commit(p)
				f.confirm(f.commits[len(f.commits)-1], group(), rapid.IntRange(0, 3).Draw(t, "rounds"))
			}
		}
		exchange := func(*rapid.T) {
			p, n := vm(), steps()
			for _, q := range group() {
				f.progress(f.exchange(p, q), n)
			}
		}
		advance := func(t *rapid.T) {
			f.now += time.Duration(rapid.SampledFrom([]int{10, 700, 1400, 2900}).Draw(t, "ms")) * time.Millisecond
		}
		f.now += time.Second
		for _, p := range f.vms {
			f.progress(f.readStore(p), 2)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { f.check(t) },
			"advance": advance, "advance2": advance, "hear": exchange, "hear2": exchange, "hear3": exchange,
			"commit": commitNow, "commit2": commitNow,
			"readStore": func(*rapid.T) {
				n := steps()
				for _, p := range group() {
					f.progress(f.readStore(p), n)
				}
			},
			"deliver": func(t *rapid.T) {
				for range min(len(f.messages), 4) {
					f.step(rapid.SampledFrom(f.messages).Draw(t, "message"))
				}
			},
			"forget": func(*rapid.T) { f.messages = nil },
			"confirm": func(t *rapid.T) {
				if len(f.commits) > 0 {
					c := rapid.SampledFrom(f.commits).Draw(t, "commit")
					f.confirm(c, group(), rapid.IntRange(0, 2).Draw(t, "rounds"))
				}
			},
			"restart": func(*rapid.T) {
				for _, p := range group() {
					f.restart(p)
				}
			},
			"restartOne": func(*rapid.T) { f.restart(vm()) },
			"pause":      func(*rapid.T) { p := vm(); p.paused = !p.paused },
			"outage":     func(*rapid.T) { f.storeUp = !f.storeUp },
			"parts":      func(*rapid.T) { f.partsUp = !f.partsUp },
			"replace":    func(t *rapid.T) { f.maybeReplace(rapid.IntRange(0, 4*len(f.vms)).Draw(t, "which")) },
			"oldStore":   func(t *rapid.T) { f.oldAnswer(t, vm()) },
		})
	})
}

// maybeReplace replaces VM i if there is one and all others have the newest revision in
// force: the VM list must not lose half of its members within one outage.
func (f *fleet) maybeReplace(i int) {
	if i >= len(f.vms) {
		return
	}
	for j, p := range f.vms {
		if j != i && p.view.InForce() < f.store {
			return
		}
	}
	f.replace(i)
}

// oldAnswer delivers an answer of the store with an older revision than the daemon knows
// of, and asserts that it is ignored.
func (f *fleet) oldAnswer(t *rapid.T, p *process) {
	if known := p.view.Known(); known > 1 {
		old := rapid.Int64Range(0, known-1).Draw(t, "old")
		require.False(t, p.view.RecordStoreAnswer(f.now, f.now, old))
		p.view.SetLocal(old)
	}
}

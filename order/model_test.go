package order_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/order"
	"github.com/lagoonhead/lagoonhead/timer"
)

// headerTimeout is how long the platform of the model keeps a connection open without
// receiving a request on it.
const headerTimeout = 5 * time.Second

// variant disables parts of the protocol, to show that the model detects the
// violations that they prevent.
type variant struct {
	// noTakeoverDelay lets a new holder send without waiting for late orders of the former
	// holder (lease.DefaultMaxOrderFlight).
	noTakeoverDelay bool
	// noHeaderTimeout keeps the connections of paused senders open.
	noHeaderTimeout bool
	// manyUnfenced sends more than one order to engines without fencing.
	manyUnfenced bool
}

// fault is what the driver injects into a step of a process.
type fault int

const (
	proceed      fault = iota // no fault
	loseResponse              // the call takes effect, but its response is lost
	outage                    // the call fails without effect
	kill                      // the process ends
)

// model simulates a few processes, the store and the targets. Only one goroutine runs
// at a time, so a run depends on the driver's choices alone.
type model struct {
	v       variant
	clock   *timer.Manual
	kv      *fakeplatform.KV
	procs   []*process
	started int
	// paused is a process that gets no steps; nil means none.
	paused *process

	// platform lists the orders received by the platform.
	platform []received
	// unfenced has the content of the last order to each engine without fencing.
	unfenced map[lagoonhead.Incarnation]string
	// fenced is the last order that the engine with fencing accepted.
	fenced received
	// engine numbers the incarnations of the engine without fencing.
	engine int
	// violations lists the violations found.
	violations []string
}

// received is an order that reached a target.
type received struct {
	epoch    int64
	sequence int64
	content  string
}

// process is a daemon of the model and its connection to the store.
type process struct {
	m       *model
	name    string
	resume  chan fault
	yielded chan struct{}
	session *lease.Session
	keeper  *lease.Keeper
	// wanted is the content of the newest orders of the process.
	wanted int
	done   bool
	// renewed is when the last renewal was sent.
	renewed time.Duration
	// inSend is true between the check of the authority and the write.
	inSend bool
}

var duty = lease.Duty{Kind: "orders"}

func newModel(v variant) *model {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	return &model{
		v: v, clock: clock, kv: fakeplatform.NewKV(clock),
		unfenced: make(map[lagoonhead.Incarnation]string), engine: 1,
	}
}

func (m *model) start() {
	m.started++
	name := fmt.Sprintf("vm%d", m.started)
	p := &process{m: m, name: name, resume: make(chan fault), yielded: make(chan struct{}), wanted: m.started}
	p.session = &lease.Session{Store: p, Timer: m.clock}
	takeoverDelay := lease.DefaultMaxOrderFlight
	if m.v.noTakeoverDelay {
		takeoverDelay = time.Nanosecond
	}
	p.keeper = &lease.Keeper{
		Store: p, Session: p.session, Timer: m.clock, MaxOrderFlight: takeoverDelay,
		VM: lagoonhead.VMID(name), Incarnation: lagoonhead.Incarnation(name), Duties: []lease.Duty{duty},
	}
	m.procs = append(m.procs, p)
	go p.run()
	<-p.yielded
}

// step resumes one process, with the given fault, until its next pause point.
func (m *model) step(p *process, f fault) {
	if p.done {
		return
	}
	p.resume <- f
	<-p.yielded
}

// sending returns a process that is between the check of its authority and its send,
// or p when there is none.
func (m *model) sending(p *process) *process {
	for _, q := range m.procs {
		if q.inSend && !q.done {
			return q
		}
	}
	return p
}

// advanceToLeaseEnd moves the clock to 50 ms before the time at which the holder itself
// considers its lease expired.
func (m *model) advanceToLeaseEnd() {
	for _, p := range m.procs {
		if p.done || p.keeper.Tenure(duty) == nil {
			continue
		}
		end := p.renewed + lease.DefaultTTL - lease.DefaultMargin - 50*time.Millisecond
		if d := end - m.clock.Now(); d > 0 {
			m.clock.Advance(d)
		}
		return
	}
}

func (m *model) stop() {
	for _, p := range m.procs {
		m.step(p, kill)
	}
}

// violation records that a target got an order that it must not get.
func (m *model) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// pause returns control to the driver until the next step of the process.
func (p *process) pause() fault {
	p.yielded <- struct{}{}
	f := <-p.resume
	if f == kill {
		runtime.Goexit()
	}
	return f
}

func (p *process) run() {
	defer func() {
		p.done = true
		p.yielded <- struct{}{}
	}()
	ctx := context.Background()
	for {
		p.pause()
		if p.m.clock.Now() >= p.renewed+lease.DefaultRenewInterval || p.renewed == 0 {
			p.renewed = p.m.clock.Now()
			p.session.Step(ctx)
		}
		p.keeper.Step(ctx)
		if t := p.keeper.Tenure(duty); t != nil {
			p.work(ctx, t)
		}
	}
}

// work sends the open orders again, then delivers a new order to each target. The
// content of new orders changes with every call, so processes order different things.
func (p *process) work(ctx context.Context, t *lease.Tenure) {
	l := &order.Ledger{Store: p, Authority: t, Writer: p.name}
	open, err := l.AdoptOpen(ctx, "")
	if err != nil {
		return
	}
	for _, r := range open {
		_ = l.Resend(ctx, r, p.sender(t, r.Target()))
	}
	p.wanted++
	content, _ := json.Marshal(p.wanted)
	incarnation := fmt.Sprintf("unfenced-%d", p.m.engine)
	once := !p.m.v.manyUnfenced
	_ = l.Deliver(ctx, "platform", content, false, p.sender(t, "platform"))
	_ = l.Deliver(ctx, "fenced", content, false, p.sender(t, "fenced"))
	_ = l.Deliver(ctx, incarnation, content, once, p.sender(t, incarnation))
}

func (p *process) sender(t *lease.Tenure, target string) order.Send {
	return func(_ context.Context, r order.Record) error {
		dialled := p.m.clock.Now()
		if err := t.Check(); err != nil {
			return err
		}
		p.inSend = true
		f := p.pause()
		p.inSend = false
		if f == outage {
			return unavailable()
		}
		if err := p.m.receive(target, dialled, received{t.Epoch(), r.Sequence(), string(r.Content())}); err != nil {
			return err
		}
		if f == loseResponse {
			return unknown()
		}
		return nil
	}
}

// receive handles an order at its target and records violations. The platform closes a
// connection after headerTimeout without a request; engines never close one.
func (m *model) receive(target string, dialled time.Duration, o received) error {
	switch target {
	case "platform":
		if !m.v.noHeaderTimeout && m.clock.Now()-dialled > headerTimeout {
			return unknown()
		}
		if n := len(m.platform); n > 0 && m.platform[n-1].epoch > o.epoch {
			m.violation("platform got an order of epoch %d after one of epoch %d", o.epoch, m.platform[n-1].epoch)
		}
		m.platform = append(m.platform, o)
	case "fenced":
		if o.sequence < m.fenced.sequence {
			return &order.Error{Fault: lagoonhead.Fault{Op: "engine", Kind: lagoonhead.KindStale}}
		}
		if o.sequence == m.fenced.sequence && o.content != m.fenced.content {
			m.violation("fenced engine got two orders with number %d", o.sequence)
		}
		m.fenced = o
	default:
		inc := lagoonhead.Incarnation(target)
		if have, ok := m.unfenced[inc]; ok && have != o.content {
			m.violation("engine %s got order %s after order %s", inc, o.content, have)
		}
		m.unfenced[inc] = o.content
	}
	return nil
}

func unavailable() error {
	return &order.Error{Fault: lagoonhead.Fault{Op: "model", Kind: lagoonhead.KindUnavailable}}
}

func unknown() error {
	return &order.Error{Fault: lagoonhead.Fault{Op: "model", Kind: lagoonhead.KindUnknown, Err: errors.New("response lost")}}
}

// The following methods implement the store of a process. Each call is a pause point,
// and the response of a write can be lost.

func (p *process) write(call func() error) error {
	f := p.pause()
	if f == outage {
		return unavailable()
	}
	if err := call(); err != nil {
		return err
	}
	if f == loseResponse {
		return unknown()
	}
	return nil
}

func (p *process) read(call func() error) error {
	if p.pause() == outage {
		return unavailable()
	}
	return call()
}

func (p *process) Get(ctx context.Context, key string) (e lagoonhead.Entry, err error) {
	err = p.read(func() (err error) { e, err = p.m.kv.Get(ctx, key); return err })
	return e, err
}

func (p *process) List(ctx context.Context, prefix string) (l []lagoonhead.Entry, revision int64, err error) {
	err = p.read(func() (err error) { l, revision, err = p.m.kv.List(ctx, prefix); return err })
	return l, revision, err
}

func (p *process) Watch(context.Context, string, int64) ([]lagoonhead.Event, int64, error) {
	return nil, 0, unavailable()
}

func (p *process) Put(ctx context.Context, r lagoonhead.PutRequest) (rev int64, err error) {
	err = p.write(func() (err error) { rev, err = p.m.kv.Put(ctx, r); return err })
	return rev, err
}

func (p *process) Delete(ctx context.Context, key string, rev int64) error {
	return p.write(func() error { return p.m.kv.Delete(ctx, key, rev) })
}

func (p *process) GrantLease(ctx context.Context, ttl time.Duration) (id lagoonhead.LeaseID, err error) {
	err = p.write(func() (err error) { id, err = p.m.kv.GrantLease(ctx, ttl); return err })
	return id, err
}

func (p *process) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return p.write(func() error { return p.m.kv.RenewLease(ctx, id) })
}

func (p *process) RevokeLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return p.write(func() error { return p.m.kv.RevokeLease(ctx, id) })
}

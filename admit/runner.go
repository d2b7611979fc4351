package admit

import (
	"context"
	"expvar"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/limit"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/ring"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	defaultMaxWait    = 10 * time.Second
	defaultQueueLimit = 10_000
	defaultSlotCount  = 6

	// tick is how often waiting requests are looked at without an event: for
	// deadlines, refill and new rounds of borrowing.
	tick = 20 * time.Millisecond
	// sweep is how often idle buckets are dropped from memory.
	sweep = 10 * time.Second
	// dropAfter is how long a daemon may be without a fresh view before it gives up
	// its slots.
	dropAfter = 10 * time.Second
	// pourAge is the age at which borrowed tokens that are still waiting to be used
	// are moved into the bucket. It is well below limit.LoanLife.
	pourAge = limit.LoanLife / 2
)

// Commands are the calls to a lender. peer.Commands has them.
type Commands interface {
	Borrow(context.Context, *peer.BorrowRequest) (*peer.BorrowResponse, error)
	GiveBack(context.Context, *peer.GiveBackRequest) (*peer.GiveBackResponse, error)
}

// Lender is another daemon.
type Lender struct {
	VM       lagoonhead.VMID
	Commands Commands
}

// Peers tells which daemons can lend. It may change at any time.
type Peers interface {
	Lenders() []Lender
}

// Runner implements lagoonhead.Admitter. Its exported fields are set before Run.
type Runner struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Timer       timer.Timer
	Store       lagoonhead.Store
	VMs         lagoonhead.VMLister
	Directory   lagoonhead.DirectorySource
	// Gate is asked while the Runner's lock is held; it must not call the Runner,
	// except SlotsRevision and HeardSlotsRevision.
	Gate  lagoonhead.Gate
	Peers Peers
	// Decisions gets refusals with their reasons. It may be nil.
	Decisions lagoonhead.DecisionRecorder
	Log       *zap.Logger
	// SlotCount is the number of slots of a new table; 0 means 6. It does not change
	// a table that exists.
	SlotCount int
	// OneProcess tells that an earlier process of this VM cannot run any more.
	OneProcess bool
	// Tolerance bounds the tokens that a workspace starts with after the process before
	// this one has ended without giving up its slots. The zero value allows none.
	Tolerance limit.Tolerance
	// MaxWait is the longest time that a request waits for tokens; 0 means 10 s.
	MaxWait time.Duration
	// QueueLimit is the largest number of requests that wait; 0 means 10,000.
	QueueLimit int
	// Policy is the order in which waiting requests are served.
	Policy fair.Policy

	once     sync.Once
	counters counters
	wake     chan struct{}
	reread   chan struct{}
	backs    *ring.Ring[giveBack]
	heard    atomic.Int64 // newest revision of the slot table at any peer
	read     atomic.Int64 // revision of the slot table read last

	mu        sync.Mutex
	closed    bool
	slots     limit.Slots
	lastFresh time.Duration // time of the last check that passed
	everFresh bool
	starts    []limit.Start // slots in use
	made      uint64        // number of the newest book
	revision  int64         // of the directory whose quotas all books have
	books     map[lagoonhead.WorkspaceID]*book
	wanting   []*book // books that may need to borrow
	queue     *fair.Queue[*waiter]
	round     uint64 // number of the present call of pump
	silent    map[lagoonhead.VMID]time.Duration
}

var _ lagoonhead.Admitter = (*Runner)(nil)

var errClosed = fault("admit.admit", lagoonhead.KindUnavailable, "the daemon is shutting down")

type giveBack struct {
	workspace lagoonhead.WorkspaceID
	limit.GiveBack
}

type counters struct {
	vars                                            expvar.Map
	admitted, waited, refused, wronglyRefused       expvar.Int
	borrowed, lent, givenBack, takenBack, lostBacks expvar.Int
	asks, failedAsks, slotWrites, slotConflicts     expvar.Int
	slotFailures                                    expvar.Int
}

func (r *Runner) init() {
	r.once.Do(func() {
		if r.MaxWait == 0 {
			r.MaxWait = defaultMaxWait
		}
		if r.QueueLimit == 0 {
			r.QueueLimit = defaultQueueLimit
		}
		if r.SlotCount == 0 {
			r.SlotCount = defaultSlotCount
		}
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.wake = make(chan struct{}, 1)
		r.reread = make(chan struct{}, 1)
		r.backs = ring.New[giveBack](1024)
		r.slots.VM, r.slots.Incarnation, r.slots.OneProcess = r.VM, r.Incarnation, r.OneProcess
		r.slots.AdvanceWindow = r.Tolerance.Window
		r.books = make(map[lagoonhead.WorkspaceID]*book)
		r.silent = make(map[lagoonhead.VMID]time.Duration)
		r.queue = fair.New[*waiter](r.Policy, r.QueueLimit)
		r.counters.publish()
	})
}

func (c *counters) publish() {
	c.vars.Init()
	for _, v := range []struct {
		name  string
		value *expvar.Int
	}{
		{"admitted", &c.admitted}, {"waited", &c.waited},
		{"refused", &c.refused}, {"wronglyRefused", &c.wronglyRefused},
		{"borrowed", &c.borrowed}, {"lent", &c.lent},
		{"givenBack", &c.givenBack}, {"takenBack", &c.takenBack}, {"lostGiveBacks", &c.lostBacks},
		{"asks", &c.asks}, {"failedAsks", &c.failedAsks},
		{"slotWrites", &c.slotWrites}, {"slotConflicts", &c.slotConflicts}, {"slotFailures", &c.slotFailures},
	} {
		c.vars.Set(v.name, v.value)
	}
}

// Vars returns the counters: requests admitted at once or after a wait, refused,
// and refused although the workspace was inside its rate; tokens borrowed, lent
// and given back; asks of peers; writes of the slot table.
func (r *Runner) Vars() *expvar.Map {
	r.init()
	return &r.counters.vars
}

// Run serves waiting requests, borrows and keeps the daemon's slots until ctx
// ends. Then it gives the slots up and refuses new requests.
func (r *Runner) Run(ctx context.Context) error {
	r.init()
	var w sync.WaitGroup
	w.Go(func() { r.runSlots(ctx) })
	for range giveBackSenders {
		w.Go(func() { r.sendGiveBacks(ctx) })
	}
	r.runQueue(ctx, &w)
	w.Wait()
	return nil
}

func (r *Runner) runQueue(ctx context.Context, w *sync.WaitGroup) {
	ticks := r.Timer.Subscribe(tick)
	defer ticks.Stop()
	swept := r.Timer.Now()
	for {
		select {
		case <-ctx.Done():
			r.close()
			return
		case <-ticks.C():
		case <-r.wake:
		}
		now := r.Timer.Now()
		r.mu.Lock()
		r.refresh(now)
		r.pump(now)
		r.pourOld(now)
		rounds := r.due(now)
		if now-swept >= sweep {
			swept = now
			r.sweep(now)
		}
		r.mu.Unlock()
		for _, b := range rounds {
			w.Go(func() { r.borrow(ctx, b) })
		}
	}
}

// close refuses all that wait and all that comes.
func (r *Runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.turnAway(errClosed)
}

// turnAway answers all that wait with err, so that another daemon can run them.
func (r *Runner) turnAway(err error) {
	for {
		w, ok := r.queue.Pop(nil)
		if !ok {
			return
		}
		w.book.waiting -= w.request.Charge()
		w.answer(nil, err)
	}
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// fresh tells whether the daemon may start work. Spending and lending also need a
// slot table that is not suspended. A daemon that was not fresh for dropAfter stops
// using its slots first, even if it is fresh again.
func (r *Runner) fresh(now time.Duration) error {
	if r.closed {
		return errClosed
	}
	err := r.Gate.Fresh()
	r.slots.Hear(r.heard.Load())
	if r.everFresh && now-r.lastFresh > dropAfter && len(r.starts) > 0 {
		r.Log.Warn("gave up limit slots after too long without a fresh view", zap.Duration("since", now-r.lastFresh))
		r.slots.Drop()
		r.applySlots(now)
	}
	if err != nil {
		r.slots.Postpone(now)
		return err
	}
	r.everFresh, r.lastFresh = true, now
	return nil
}

// refresh applies what changes with time: slots whose wait has ended, and the
// directory.
func (r *Runner) refresh(now time.Duration) {
	_ = r.fresh(now)
	r.applySlots(now)
	dir := r.Directory.Directory()
	if dir == nil || dir.Revision() == r.revision {
		return
	}
	r.revision = dir.Revision()
	for _, b := range r.books {
		r.setQuota(now, b, dir)
	}
}

// applySlots sets the shares of all buckets when the slots in use have changed.
func (r *Runner) applySlots(now time.Duration) {
	starts := make([]limit.Start, 0, len(r.starts))
	r.slots.Starts(now, func(s limit.Start) { starts = append(starts, s) })
	if slices.Equal(starts, r.starts) {
		return
	}
	former := r.starts
	r.starts = starts
	for _, b := range r.books {
		r.setShare(now, b)
		for _, s := range starts {
			switch i := slices.IndexFunc(former, func(f limit.Start) bool { return f.Slot == s.Slot }); {
			case i < 0:
				r.advance(now, b, s)
			case former[i].Refill < s.Refill:
				b.bucket.Advance(now, 0, s.Refill)
			}
		}
	}
}

// pump refuses what waited too long and admits what can be admitted.
func (r *Runner) pump(now time.Duration) {
	for {
		w, ok := r.queue.Expired(now)
		if !ok {
			break
		}
		w.answer(nil, r.refusal(now, w))
	}
	if r.queue.Len() == 0 {
		return
	}
	if err := r.fresh(now); err != nil {
		r.turnAway(err)
		return
	}
	if r.slots.Suspended() {
		return
	}
	r.round++
	for {
		w, ok := r.queue.Pop(func(_ fair.Entry, w *waiter) bool { return r.tryTake(now, w) })
		if !ok {
			return
		}
		r.counters.waited.Add(1)
		w.answer(w.reservation, nil)
	}
}

// tryTake takes the tokens of a waiting request. A request that is short of tokens
// holds back the later ones of its workspace, so that large requests get their
// turn.
func (r *Runner) tryTake(now time.Duration, w *waiter) bool {
	b := w.book
	if b.heldBack == r.round {
		return false
	}
	res, ok := r.take(now, b, w.request, w.expected)
	if !ok {
		b.heldBack, b.head = r.round, w
		return false
	}
	w.reservation = res
	b.waiting -= w.request.Charge()
	return true
}

// take reserves the charge of a request from the bucket.
func (r *Runner) take(now time.Duration, b *book, q *lagoonhead.Request, expected float64) (*reservation, bool) {
	charge := q.Charge()
	if q.Priority() >= lagoonhead.PriorityDeferrable && !b.leavesReserve(now, charge) {
		return nil, false
	}
	hold, ok := b.bucket.Take(now, charge)
	if !ok {
		return nil, false
	}
	r.sendBack(b)
	b.open++
	b.spent.add(now, float64(charge))
	if q.Priority() < lagoonhead.PriorityDeferrable {
		b.prompt.add(now, float64(charge))
	}
	if b.short(now) {
		r.want(b)
		r.signal()
	}
	return &reservation{runner: r, book: b, hold: hold, priority: q.Priority(), expected: expected}, true
}

func (r *Runner) pourOld(now time.Duration) {
	for _, b := range r.wanting {
		b.bucket.Pour(now, pourAge)
		r.sendBack(b)
	}
}

// sendBack passes the bucket's messages to the senders.
func (r *Runner) sendBack(b *book) {
	for _, g := range b.bucket.Messages() {
		if !r.backs.Push(giveBack{b.workspace, g}) {
			r.counters.lostBacks.Add(1)
		}
	}
}

// refusal returns the error for a request that waited in vain and counts it.
func (r *Runner) refusal(now time.Duration, w *waiter) error {
	b := w.book
	charge := w.request.Charge()
	b.waiting -= charge
	r.counters.refused.Add(1)
	w.book.refused++
	rate := b.fleetDemand(now)
	wrongful := rate <= b.quota.Rate
	if wrongful {
		r.counters.wronglyRefused.Add(1)
		w.book.wronglyRefused++
	}
	after := defaultRetryAfter
	if b.quota.Rate > 0 {
		seconds := math.Ceil(float64(charge+b.waiting) / b.quota.Rate)
		after = time.Duration(min(seconds, maxRetryAfter.Seconds())) * time.Second
	}
	e := faultf("admit.admit", lagoonhead.KindExhausted,
		"%d tokens were not free within %s; workspace %s has a rate of %.0f tokens/s and asked for %.0f lately",
		charge, (now - w.since).Round(time.Millisecond), b.workspace, b.quota.Rate, rate)
	e.after = max(after, time.Second)
	r.explain(now, w, rate, wrongful)
	return e
}

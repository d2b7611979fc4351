package admit

import (
	"cmp"
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

	// tickInterval is how often waiting requests are checked without an event: for
	// deadlines, refill and new borrowing rounds.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is how often the state of idle workspaces is deleted.
	sweepInterval = 10 * time.Second
	// maxStaleTime is how long a daemon may have a stale view of the fleet before it
	// stops using its slots.
	maxStaleTime = 10 * time.Second
	// depositAge is the age at which unused borrowed tokens are moved into the bucket. It
	// is well below limit.LoanTTL.
	depositAge = limit.LoanTTL / 2
)

// Commands are the calls to a lender. peer.Commands implements them.
type Commands interface {
	Borrow(context.Context, *peer.BorrowRequest) (*peer.BorrowResponse, error)
	GiveBack(context.Context, *peer.GiveBackRequest) (*peer.GiveBackResponse, error)
}

// Lender is another daemon, from which this one can borrow tokens.
type Lender struct {
	VM       lagoonhead.VMID
	Commands Commands
}

// Peers lists the daemons that can lend tokens. The list may change at any time.
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
	// Gate reports whether the daemon's view of the fleet is fresh. It is called while
	// the Runner's lock is held and must not call methods of the Runner other than
	// SlotsRevision and ObserveSlotsRevision.
	Gate  lagoonhead.Gate
	Peers Peers
	// Decisions records refusals with their reasons. It may be nil.
	Decisions lagoonhead.DecisionRecorder
	Log       *zap.Logger
	// SlotsKey is the key of the slot table; empty means limit.SlotsKey.
	SlotsKey string
	// OnlyListed means that this daemon holds slots only while VMs lists its VM.
	OnlyListed bool
	// SlotCount is the number of slots of a new slot table; 0 means 6. It does not
	// change an existing table.
	SlotCount int
	// MaxHomes is the number of slots that share the quota of a workspace, if the table has
	// more; 0 means limit.MaxHomeSlots. All daemons must have the same value.
	MaxHomes int
	// NoEarlierProcess is true when no earlier daemon process of this VM can still be
	// running.
	NoEarlierProcess bool
	// Tolerance bounds the initial tokens of a workspace after the previous process of
	// this VM has ended without releasing its slots, and the debt of its buckets. The zero
	// value allows none.
	Tolerance limit.Tolerance
	// MaxWait bounds the time that a request waits for tokens; 0 means 10 s.
	MaxWait time.Duration
	// AskDirectly means that a request that is short of tokens asks the lenders for exactly
	// its own at once, and is refused at once with the time at which they expect to have
	// them, unless that is within MaxWait. Otherwise it waits in a queue for which tokens are
	// borrowed. It is for fleets in which few VMs hold the quota of a workspace.
	AskDirectly bool
	// QueueLimit bounds the number of waiting requests; 0 means 10,000.
	QueueLimit int
	// Policy is the order in which waiting requests are served.
	Policy fair.Policy

	once         sync.Once
	counters     counters
	wake         chan struct{} // wakes runQueue
	asking       chan struct{} // holds an element for each request that asks lenders
	reread       chan struct{} // triggers a read of the slot table by runSlots
	loanReturns  *ring.Ring[loanReturn]
	peerRevision atomic.Int64 // newest revision of the slot table at any peer
	readRevision atomic.Int64 // revision of the slot table applied last

	mu                sync.Mutex
	closed            bool
	slots             limit.Slots
	lastFresh         time.Duration // time of the last check of Gate that passed
	everFresh         bool
	activeSlots       []limit.ActiveSlot // slots in use
	created           uint64             // number of workspace states created; keeps loan numbers unique
	directoryRevision int64              // revision of the directory applied to all workspaces
	workspaces        map[lagoonhead.WorkspaceID]*workspaceState
	borrowCandidates  []*workspaceState // workspaces that may need to borrow
	queue             *fair.Queue[*waiter]
	admitRound        uint64                            // number of the current call of admitWaiting
	unresponsive      map[lagoonhead.VMID]time.Duration // until when a peer comes last in the order of lenders
}

var _ lagoonhead.Admitter = (*Runner)(nil)

var errClosed = fault("admit.admit", lagoonhead.KindUnavailable, "the daemon is shutting down")

// loanReturn is a return of borrowed tokens, queued for its lender.
type loanReturn struct {
	workspace lagoonhead.WorkspaceID
	limit.LoanReturn
}

type counters struct {
	vars                                                expvar.Map
	admitted, waited, refused, wronglyRefused           expvar.Int
	borrowed, lent, givenBack, takenBack, lostGiveBacks expvar.Int
	asks, failedAsks, slotWrites, slotConflicts         expvar.Int
	slotFailures                                        expvar.Int
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
		if r.MaxHomes == 0 {
			r.MaxHomes = limit.MaxHomeSlots
		}
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.wake = make(chan struct{}, 1)
		r.reread = make(chan struct{}, 1)
		r.asking = make(chan struct{}, maxAsks)
		r.loanReturns = ring.New[loanReturn](1024)
		r.SlotsKey = cmp.Or(r.SlotsKey, limit.SlotsKey)
		r.slots.VM, r.slots.Incarnation, r.slots.NoEarlierProcess, r.slots.OnlyListed = r.VM, r.Incarnation, r.NoEarlierProcess, r.OnlyListed
		r.slots.AdvanceWindow = r.Tolerance.Window
		r.workspaces = make(map[lagoonhead.WorkspaceID]*workspaceState)
		r.unresponsive = make(map[lagoonhead.VMID]time.Duration)
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
		{"givenBack", &c.givenBack}, {"takenBack", &c.takenBack}, {"lostGiveBacks", &c.lostGiveBacks},
		{"asks", &c.asks}, {"failedAsks", &c.failedAsks},
		{"slotWrites", &c.slotWrites}, {"slotConflicts", &c.slotConflicts}, {"slotFailures", &c.slotFailures},
	} {
		c.vars.Set(v.name, v.value)
	}
}

// Vars returns the counters: requests admitted at once, admitted after a wait,
// refused, and refused although the workspace was within its rate; tokens borrowed,
// lent and credited on their return; messages that return tokens, sent and lost;
// Borrow calls to peers, and failed ones; writes of the slot table, conflicts, and
// failures to bring it up to date.
func (r *Runner) Vars() *expvar.Map {
	r.init()
	return &r.counters.vars
}

// Run admits waiting requests, borrows tokens and maintains the daemon's slots until
// ctx ends. Then it refuses all requests and releases the slots.
func (r *Runner) Run(ctx context.Context) error {
	r.init()
	var w sync.WaitGroup
	w.Go(func() { r.runSlots(ctx) })
	for range loanReturnSenders {
		w.Go(func() { r.sendLoanReturns(ctx) })
	}
	r.runQueue(ctx, &w)
	w.Wait()
	return nil
}

// runQueue admits and refuses waiting requests and starts borrowing rounds.
func (r *Runner) runQueue(ctx context.Context, w *sync.WaitGroup) {
	ticks := r.Timer.Subscribe(tickInterval)
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
		r.admitWaiting(now)
		r.depositOldLoans(now)
		rounds := r.dueForBorrowing(now)
		if now-swept >= sweepInterval {
			swept = now
			r.sweep(now)
		}
		r.mu.Unlock()
		for _, ws := range rounds {
			w.Go(func() { r.borrow(ctx, ws) })
		}
	}
}

// close refuses all waiting and all later requests.
func (r *Runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.refuseWaiting(errClosed)
}

// refuseWaiting refuses all waiting requests with err, so that another daemon can run
// them.
func (r *Runner) refuseWaiting(err error) {
	for {
		w, ok := r.queue.Pop(nil)
		if !ok {
			return
		}
		w.workspace.waitingTokens -= w.request.Charge()
		w.finish(nil, err)
	}
}

// wakeQueue makes runQueue check the queue and the borrow candidates now.
func (r *Runner) wakeQueue() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// checkFresh returns an error when the daemon may not admit requests: it is shutting
// down, or its view of the fleet is stale. Before tokens are charged or lent,
// limit.Slots.Suspended must be checked as well. A daemon whose view was stale for
// maxStaleTime stops using its slots, even if the view is fresh again by the time of the
// check.
func (r *Runner) checkFresh(now time.Duration) error {
	if r.closed {
		return errClosed
	}
	err := r.Gate.Fresh()
	r.slots.ObserveRevision(r.peerRevision.Load())
	if r.everFresh && now-r.lastFresh > maxStaleTime && len(r.activeSlots) > 0 {
		r.Log.Warn("stopped using rate limit slots: the view of the fleet was stale for too long", zap.Duration("since", now-r.lastFresh))
		r.slots.StopUse()
		r.applySlots(now)
	}
	if err != nil {
		r.slots.Postpone(now)
		return err
	}
	r.everFresh, r.lastFresh = true, now
	return nil
}

// refresh applies slots whose waiting time has ended and a new revision of the
// directory.
func (r *Runner) refresh(now time.Duration) {
	_ = r.checkFresh(now)
	r.applySlots(now)
	dir := r.Directory.Directory()
	if dir == nil || dir.Revision() == r.directoryRevision {
		return
	}
	r.directoryRevision = dir.Revision()
	for _, ws := range r.workspaces {
		r.setQuota(now, ws, dir)
	}
}

// applySlots sets the shares of all buckets when the slots in use have changed.
func (r *Runner) applySlots(now time.Duration) {
	active := make([]limit.ActiveSlot, 0, len(r.activeSlots))
	r.slots.EachActiveSlot(now, func(s limit.ActiveSlot) { active = append(active, s) })
	if slices.Equal(active, r.activeSlots) {
		return
	}
	former := r.activeSlots
	r.activeSlots = active
	for _, ws := range r.workspaces {
		r.setShare(now, ws)
		for _, s := range active {
			switch i := slices.IndexFunc(former, func(f limit.ActiveSlot) bool { return f.Slot == s.Slot }); {
			case i < 0:
				r.beginSlot(now, ws, s)
			case former[i].Refill < s.Refill:
				ws.bucket.AddAdvance(now, 0, s.Refill)
			}
		}
		for _, f := range former {
			if !slices.ContainsFunc(active, func(s limit.ActiveSlot) bool { return s.Slot == f.Slot }) {
				ws.bucket.Forgive(now, r.slotDebt(ws, f.Slot))
			}
		}
	}
}

// admitWaiting refuses the requests that waited too long and admits those that have
// enough tokens.
func (r *Runner) admitWaiting(now time.Duration) {
	for {
		w, ok := r.queue.Expired(now)
		if !ok {
			break
		}
		w.finish(nil, r.refuse(now, w))
	}
	if r.queue.Len() == 0 {
		return
	}
	if err := r.checkFresh(now); err != nil {
		r.refuseWaiting(err)
		return
	}
	if r.slots.Suspended() {
		return
	}
	r.admitRound++
	for {
		w, ok := r.queue.Pop(func(_ fair.Entry, w *waiter) bool { return r.tryAdmit(now, w) })
		if !ok {
			return
		}
		r.counters.waited.Add(1)
		w.finish(w.reservation, nil)
	}
}

// tryAdmit reserves the tokens of a waiting request. A request that is short of
// tokens blocks the later ones of its workspace, so that small requests do not
// starve large ones.
func (r *Runner) tryAdmit(now time.Duration, w *waiter) bool {
	ws := w.workspace
	if ws.blockedRound == r.admitRound {
		return false
	}
	res, ok := r.reserve(now, ws, w.request, w.expected)
	if !ok {
		ws.blockedRound, ws.head = r.admitRound, w
		return false
	}
	w.reservation = res
	ws.waitingTokens -= w.request.Charge()
	return true
}

// reserve charges a request to the bucket. It returns false when there are too few
// tokens.
func (r *Runner) reserve(now time.Duration, ws *workspaceState, q *lagoonhead.Request, expected float64) (*reservation, bool) {
	charge := q.Charge()
	if q.Priority() >= lagoonhead.PriorityDeferrable && !ws.leavesReserve(now, charge) {
		return nil, false
	}
	receipt, ok := ws.bucket.Charge(now, charge)
	if !ok {
		return nil, false
	}
	r.queueLoanReturns(ws)
	ws.unsettled++
	ws.spent.add(now, float64(charge))
	if q.Priority() < lagoonhead.PriorityDeferrable {
		ws.nonDeferrable.add(now, float64(charge))
	}
	if ws.shouldPrefetch(now) {
		r.addBorrowCandidate(ws)
		r.wakeQueue()
	}
	return &reservation{runner: r, workspace: ws, receipt: receipt, priority: q.Priority(), expected: expected}, true
}

// depositOldLoans moves borrowed tokens older than depositAge into the buckets of the borrow
// candidates, so that the tokens are not lost when their loans end.
func (r *Runner) depositOldLoans(now time.Duration) {
	for _, ws := range r.borrowCandidates {
		ws.bucket.DepositLoans(now, depositAge)
		r.queueLoanReturns(ws)
	}
}

// queueLoanReturns queues the bucket's returns of borrowed tokens for sendLoanReturns.
func (r *Runner) queueLoanReturns(ws *workspaceState) {
	for _, g := range ws.bucket.Messages() {
		if !r.loanReturns.Push(loanReturn{ws.id, g}) {
			r.counters.lostGiveBacks.Add(1)
		}
	}
}

// refuse returns the error for a request that was not admitted in time, and counts the
// refusal.
func (r *Runner) refuse(now time.Duration, w *waiter) error {
	ws := w.workspace
	charge := w.request.Charge()
	ws.waitingTokens -= charge
	r.counters.refused.Add(1)
	w.workspace.refused++
	rate := ws.fleetDemand(now)
	wrongful := rate <= ws.quota.Rate
	if wrongful {
		r.counters.wronglyRefused.Add(1)
		w.workspace.wronglyRefused++
	}
	after := defaultRetryAfter
	if ws.quota.Rate > 0 {
		seconds := math.Ceil(float64(charge+ws.waitingTokens) / ws.quota.Rate)
		after = time.Duration(min(seconds, maxRetryAfter.Seconds())) * time.Second
	}
	e := faultf("admit.admit", lagoonhead.KindExhausted,
		"%d tokens were not free within %s; workspace %s has a rate of %.0f tokens/s and asked for %.0f lately",
		charge, (now - w.since).Round(time.Millisecond), ws.id, ws.quota.Rate, rate)
	e.after = max(after, time.Second)
	r.recordRefusal(now, w, rate, wrongful)
	return e
}

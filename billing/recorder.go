package billing

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// copyWait is how long an answer is held back for the buddy's copy.
	copyWait = 50 * time.Millisecond
	// handTimeout bounds one call to the buddy.
	handTimeout = 200 * time.Millisecond
	// handPause is the pause after a call that failed.
	handPause = 100 * time.Millisecond
	// storeInterval is how often totals go to the store and the buddy hears from this
	// daemon at least.
	storeInterval = 10 * time.Second
	// storeTimeout bounds one call of the store, which answers in milliseconds.
	storeTimeout = 2 * time.Second
	// putAttempts bounds the attempts at one conditional write.
	putAttempts = 5
	// touchInterval is how often totals are written even if they did not change. It
	// is far below retireAfter.
	touchInterval = time.Hour
	// copyAge is how long the owner of a copy must be silent before the buddy writes
	// it.
	copyAge = 15 * time.Second
	// copyMemory is how long a copy is kept after the last news from its owner.
	copyMemory = 10 * time.Minute
	// finalTimeout bounds the last write at shutdown.
	finalTimeout = 5 * time.Second
)

// Commands is the call to a buddy. peer.Commands has it.
type Commands interface {
	HandUsage(context.Context, *peer.HandUsageRequest) (*peer.HandUsageResponse, error)
}

// Buddy is the daemon that holds the copy.
type Buddy struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Commands    Commands
}

// Buddies chooses the buddy. ok is false when there is none. A daemon that restarts
// is another buddy, since it has lost the copy.
type Buddies interface {
	Buddy() (b Buddy, ok bool)
}

// Recorder counts usage. Its exported fields are set before Run.
type Recorder struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Timer       timer.Timer
	Store       lagoonhead.Store
	Buddies     Buddies
	Log         *zap.Logger

	once     sync.Once
	counters recorderCounters
	wake     chan struct{}

	mu      sync.Mutex
	totals  totals
	dirty   map[lagoonhead.WorkspaceID]bool // not yet at the buddy
	beat    bool                            // send even if nothing is dirty
	next    chan struct{}                   // closed when what is dirty now is at the buddy
	buddyVM lagoonhead.VMID
	buddyIn lagoonhead.Incarnation
	copies  map[lagoonhead.Incarnation]*copied

	// The fields below belong to the goroutine that writes to the store.
	revision int64
	written  bool
	wroteAt  time.Duration
	lastSent []lagoonhead.WorkspaceUsage
}

var _ lagoonhead.UsageRecorder = (*Recorder)(nil)

// copied is the copy of another daemon's totals.
type copied struct {
	totals  totals
	heard   time.Duration
	unsaved bool
}

type recorderCounters struct {
	vars                                                      expvar.Map
	recorded, copied, uncopied, writes, failedWrites, rescued expvar.Int
}

func (r *Recorder) init() {
	r.once.Do(func() {
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.wake = make(chan struct{}, 1)
		r.totals = totals{}
		r.dirty = make(map[lagoonhead.WorkspaceID]bool)
		r.next = make(chan struct{})
		r.copies = make(map[lagoonhead.Incarnation]*copied)
		c := &r.counters
		c.vars.Init()
		c.vars.Set("recorded", &c.recorded)
		c.vars.Set("copied", &c.copied)
		c.vars.Set("uncopied", &c.uncopied)
		c.vars.Set("storeWrites", &c.writes)
		c.vars.Set("failedStoreWrites", &c.failedWrites)
		c.vars.Set("rescuedCopies", &c.rescued)
	})
}

// Vars returns the counters: requests recorded, answers that ended with and
// without the buddy's copy, writes to the store, and copies of silent daemons
// that were written for them.
func (r *Recorder) Vars() *expvar.Map {
	r.init()
	return &r.counters.vars
}

// Record counts the usage and waits until the buddy has it, at most 50 ms.
func (r *Recorder) Record(ctx context.Context, u lagoonhead.WorkspaceUsage) {
	done := r.count(u)
	if _, ok := r.Buddies.Buddy(); !ok {
		r.counters.uncopied.Add(1)
		return
	}
	r.signal()
	ctx, cancel := context.WithTimeout(ctx, copyWait)
	defer cancel()
	select {
	case <-done:
		r.counters.copied.Add(1)
	case <-ctx.Done():
		r.counters.uncopied.Add(1)
	}
}

// count adds the usage and returns a channel that is closed when the buddy has it.
func (r *Recorder) count(u lagoonhead.WorkspaceUsage) <-chan struct{} {
	r.init()
	r.counters.recorded.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.add(u)
	r.dirty[u.Workspace] = true
	return r.next
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends copies and writes totals until ctx ends, and then once more.
func (r *Recorder) Run(ctx context.Context) error {
	r.init()
	var w sync.WaitGroup
	w.Go(func() { r.runHand(ctx) })
	ticks := r.Timer.Subscribe(storeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Wait()
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			r.hand(last)
			r.save(last)
			r.rescue(last, 0)
			return nil
		case <-ticks.C():
			r.save(ctx)
			r.rescue(ctx, copyAge)
			r.sendBeat()
		}
	}
}

func (r *Recorder) runHand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for !r.hand(ctx) && ctx.Err() == nil {
			if r.Timer.Sleep(ctx, handPause) != nil {
				return
			}
		}
	}
}

// sendBeat makes the next hand-over take place even if the buddy lacks nothing, so
// that it does not take this daemon for silent.
func (r *Recorder) sendBeat() {
	r.mu.Lock()
	r.beat = true
	r.mu.Unlock()
	r.signal()
}

// hand sends the totals that the buddy lacks, those of all requests that wait in
// one message. It returns false when the call is to be repeated.
func (r *Recorder) hand(ctx context.Context) bool {
	b, ok := r.Buddies.Buddy()
	if !ok {
		return true
	}
	req, done := r.batch(b)
	if req == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	_, err := b.Commands.HandUsage(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		for _, t := range req.GetTotals() {
			r.dirty[lagoonhead.WorkspaceID(t.GetWorkspace())] = true
		}
		return false
	}
	close(done)
	return true
}

// batch takes what the buddy lacks, or nil when nothing is to be sent. Those who wait for it and see the call fail
// stop waiting after copyWait, before it is repeated.
func (r *Recorder) batch(b Buddy) (*peer.HandUsageRequest, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.VM != r.buddyVM || b.Incarnation != r.buddyIn {
		r.buddyVM, r.buddyIn = b.VM, b.Incarnation
		for w := range r.totals {
			r.dirty[w] = true
		}
	}
	if len(r.dirty) == 0 && !r.beat {
		return nil, nil
	}
	req := &peer.HandUsageRequest{Vm: string(r.VM), Incarnation: string(r.Incarnation)}
	for w := range r.dirty {
		u := r.totals[w]
		req.Totals = append(req.Totals, &peer.UsageTotal{
			Workspace: string(w), PromptTokens: u.PromptTokens, OutputTokens: u.OutputTokens, Requests: u.Requests,
		})
	}
	clear(r.dirty)
	r.beat = false
	done := r.next
	r.next = make(chan struct{})
	return req, done
}

// HandUsage handles the totals of another daemon.
func (r *Recorder) HandUsage(_ context.Context, req *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	r.init()
	us := make([]lagoonhead.WorkspaceUsage, 0, len(req.GetTotals()))
	for _, t := range req.GetTotals() {
		us = append(us, lagoonhead.WorkspaceUsage{
			Workspace: lagoonhead.WorkspaceID(t.GetWorkspace()), PromptTokens: t.GetPromptTokens(),
			OutputTokens: t.GetOutputTokens(), Requests: t.GetRequests(),
		})
	}
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	in := lagoonhead.Incarnation(req.GetIncarnation())
	c := r.copies[in]
	if c == nil {
		c = &copied{totals: totals{}}
		r.copies[in] = c
	}
	c.heard = now
	c.unsaved = c.totals.merge(us) || c.unsaved
	return &peer.HandUsageResponse{}, nil
}

// save writes the totals of this daemon to the store if they have changed. The
// write is conditional, so that an older one that arrives late has no effect.
func (r *Recorder) save(ctx context.Context) {
	r.mu.Lock()
	us := r.totals.list()
	r.mu.Unlock()
	now := r.Timer.Now()
	same := r.written && slices.Equal(us, r.lastSent)
	if len(us) == 0 || same && now-r.wroteAt < touchInterval {
		return
	}
	if err := r.put(ctx, r.Incarnation, us, &r.revision); err != nil {
		r.written = false
		r.counters.failedWrites.Add(1)
		return
	}
	r.written, r.wroteAt, r.lastSent = true, now, us
}

// put merges totals into the key of an incarnation. known is the revision to try
// first; it is brought up to date.
func (r *Recorder) put(ctx context.Context, in lagoonhead.Incarnation, us []lagoonhead.WorkspaceUsage, known *int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := TotalsPrefix + string(in)
	for range putAttempts {
		r.counters.writes.Add(1)
		v := storedTotals{Usage: us, Writer: r.Incarnation, Nonce: uuid.NewString()}
		revision, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: key, Value: encode(v), IfRevision: *known})
		if err == nil {
			*known = revision
			return nil
		}
		if !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			return err
		}
		present, revision, err := r.readTotals(ctx, key)
		if err != nil {
			return err
		}
		*known = revision
		if present.Nonce == v.Nonce {
			return nil
		}
		t := totals{}
		t.merge(present.Usage)
		if !t.merge(us) {
			return nil
		}
		us = t.list()
	}
	return wrap("billing.put", lagoonhead.KindUnavailable, errors.New("other writes came first each time"))
}

func (r *Recorder) readTotals(ctx context.Context, key string) (storedTotals, int64, error) {
	var v storedTotals
	e, err := r.Store.Get(ctx, key)
	if lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, err
	}
	return v, e.Revision, decode("billing.readTotals", e.Value, &v)
}

// rescue writes the copies whose owners have been silent for age.
func (r *Recorder) rescue(ctx context.Context, age time.Duration) {
	now := r.Timer.Now()
	for in, us := range r.silentCopies(now, age) {
		var revision int64
		if r.put(ctx, in, us, &revision) != nil {
			r.counters.failedWrites.Add(1)
			continue
		}
		r.counters.rescued.Add(1)
		r.mu.Lock()
		if c := r.copies[in]; c != nil && slices.Equal(us, c.totals.list()) {
			c.unsaved = false
		}
		r.mu.Unlock()
	}
}

func (r *Recorder) silentCopies(now, age time.Duration) map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := make(map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage)
	for in, c := range r.copies {
		if c.unsaved && now-c.heard >= age {
			silent[in] = c.totals.list()
		}
		if !c.unsaved && now-c.heard >= copyMemory {
			delete(r.copies, in)
		}
	}
	return silent
}

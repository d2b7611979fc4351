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
	// copyWait is the maximum time that a response waits until the buddy has a copy.
	copyWait = 50 * time.Millisecond
	// sendTimeout bounds one call to the buddy.
	sendTimeout = 200 * time.Millisecond
	// retryDelay is the delay before a failed call to the buddy is retried.
	retryDelay = 100 * time.Millisecond
	// storeInterval is the time between two writes of totals to the store, and the maximum
	// time between two calls to the buddy.
	storeInterval = 10 * time.Second
	// storeTimeout bounds one call of the store, which answers in milliseconds.
	storeTimeout = 2 * time.Second
	// putAttempts is the maximum number of attempts at one conditional write.
	putAttempts = 5
	// touchInterval is the time after which totals are written even if they did not
	// change. It is far below retireAfter.
	touchInterval = time.Hour
	// copyAge is how long the buddy must have received nothing from the owner of a copy
	// before it writes the copy to the store.
	copyAge = 15 * time.Second
	// copyRetention is how long a copy is kept after the last message from its owner.
	copyRetention = 10 * time.Minute
	// finalTimeout bounds the last call to the buddy and the last writes at shutdown.
	finalTimeout = 5 * time.Second
)

// BuddyClient sends totals to a buddy. The client peer.Commands implements it.
type BuddyClient interface {
	HandUsage(context.Context, *peer.HandUsageRequest) (*peer.HandUsageResponse, error)
}

// Buddy is the daemon that keeps a copy of another daemon's totals.
type Buddy struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Commands    BuddyClient
}

// Buddies chooses the buddy of this daemon. ok is false if there is none. A daemon that
// has restarted counts as another buddy, since it has lost the copy.
type Buddies interface {
	Buddy() (b Buddy, ok bool)
}

// Recorder counts the usage of finished requests. Its exported fields are set before Run.
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

	mu               sync.Mutex
	totals           totals
	dirty            map[lagoonhead.WorkspaceID]bool // totals that the buddy lacks
	keepAlive        bool                            // send a message even if nothing is dirty
	nextSent         chan struct{}                   // closed when the buddy has all that is dirty now
	buddyVM          lagoonhead.VMID
	buddyIncarnation lagoonhead.Incarnation
	copies           map[lagoonhead.Incarnation]*peerCopy

	// Only the goroutine that writes to the store uses the fields below.
	revision    int64
	written     bool
	writtenAt   time.Duration
	lastWritten []lagoonhead.WorkspaceUsage
}

var _ lagoonhead.UsageRecorder = (*Recorder)(nil)

// peerCopy is the copy of another daemon's totals.
type peerCopy struct {
	totals     totals
	receivedAt time.Duration
	unsaved    bool // changed since the last write to the store
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
		r.nextSent = make(chan struct{})
		r.copies = make(map[lagoonhead.Incarnation]*peerCopy)
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

// Vars returns the counters: requests recorded, responses that ended after the buddy
// had the copy and before it had, writes to the store and failed ones, and copies
// written to the store for silent owners.
func (r *Recorder) Vars() *expvar.Map {
	r.init()
	return &r.counters.vars
}

// Record counts the usage and waits until the buddy has it, at most copyWait.
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
	return r.nextSent
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends totals to the buddy and writes them to the store until ctx ends, and then once
// more.
func (r *Recorder) Run(ctx context.Context) error {
	r.init()
	var w sync.WaitGroup
	w.Go(func() { r.runSend(ctx) })
	ticks := r.Timer.Subscribe(storeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Wait()
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			r.send(last)
			r.save(last)
			r.saveCopies(last, 0)
			return nil
		case <-ticks.C():
			r.save(ctx)
			r.saveCopies(ctx, copyAge)
			r.sendKeepAlive()
		}
	}
}

func (r *Recorder) runSend(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for !r.send(ctx) && ctx.Err() == nil {
			if r.Timer.Sleep(ctx, retryDelay) != nil {
				return
			}
		}
	}
}

// sendKeepAlive makes runSend call the buddy even if it lacks no totals, so that it does
// not treat this daemon as silent.
func (r *Recorder) sendKeepAlive() {
	r.mu.Lock()
	r.keepAlive = true
	r.mu.Unlock()
	r.signal()
}

// send sends the totals that the buddy lacks, in one message for all waiting requests. It
// returns false if the call must be retried.
func (r *Recorder) send(ctx context.Context) bool {
	b, ok := r.Buddies.Buddy()
	if !ok {
		return true
	}
	req, done := r.batch(b)
	if req == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
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

// batch returns a message with the totals that the buddy lacks, and the channel to close
// when the buddy has them. It returns nil if there is nothing to send. After a failed call
// the channel is never closed: the requests that wait for it give up after copyWait, before the call
// is retried.
func (r *Recorder) batch(b Buddy) (*peer.HandUsageRequest, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.VM != r.buddyVM || b.Incarnation != r.buddyIncarnation {
		r.buddyVM, r.buddyIncarnation = b.VM, b.Incarnation
		for w := range r.totals {
			r.dirty[w] = true
		}
	}
	if len(r.dirty) == 0 && !r.keepAlive {
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
	r.keepAlive = false
	done := r.nextSent
	r.nextSent = make(chan struct{})
	return req, done
}

// HandUsage merges the totals of another daemon into the copy kept for it.
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
		c = &peerCopy{totals: totals{}}
		r.copies[in] = c
	}
	c.receivedAt = now
	c.unsaved = c.totals.merge(us) || c.unsaved
	return &peer.HandUsageResponse{}, nil
}

// save writes the totals of this daemon to the store if they have changed or were last
// written touchInterval ago. The write is conditional, so that an older write that arrives
// late has no effect.
func (r *Recorder) save(ctx context.Context) {
	r.mu.Lock()
	us := r.totals.list()
	r.mu.Unlock()
	now := r.Timer.Now()
	same := r.written && slices.Equal(us, r.lastWritten)
	if len(us) == 0 || same && now-r.writtenAt < touchInterval {
		return
	}
	if err := r.put(ctx, r.Incarnation, us, &r.revision); err != nil {
		r.written = false
		r.counters.failedWrites.Add(1)
		return
	}
	r.written, r.writtenAt, r.lastWritten = true, now, us
}

// put merges totals into the stored value of an incarnation. lastRevision is the revision
// of the value as far as known; put updates it.
func (r *Recorder) put(ctx context.Context, in lagoonhead.Incarnation, us []lagoonhead.WorkspaceUsage, lastRevision *int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := TotalsPrefix + string(in)
	for range putAttempts {
		r.counters.writes.Add(1)
		v := storedTotals{Usage: us, Writer: r.Incarnation, Nonce: uuid.NewString()}
		revision, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: key, Value: encode(v), IfRevision: *lastRevision})
		if err == nil {
			*lastRevision = revision
			return nil
		}
		if !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			return err
		}
		present, revision, err := r.readTotals(ctx, key)
		if err != nil {
			return err
		}
		*lastRevision = revision
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
	return wrap("billing.put", lagoonhead.KindUnavailable, errors.New("another writer changed the key before each attempt"))
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

// saveCopies writes the unsaved copies to the store whose owners have been silent for age.
func (r *Recorder) saveCopies(ctx context.Context, age time.Duration) {
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

// silentCopies returns the unsaved copies whose owners have been silent for age, and drops
// saved ones after copyRetention.
func (r *Recorder) silentCopies(now, age time.Duration) map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := make(map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage)
	for in, c := range r.copies {
		if c.unsaved && now-c.receivedAt >= age {
			silent[in] = c.totals.list()
		}
		if !c.unsaved && now-c.receivedAt >= copyRetention {
			delete(r.copies, in)
		}
	}
	return silent
}

package lease

import (
	"context"
	"encoding/json"
	"expvar"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Duty is one shard of a task that at most one daemon performs at a time.
type Duty struct {
	// Kind names the task, for example engineOrders.
	Kind string
	// Shard is the index of the shard, from 0.
	Shard int
}

// String returns the duty in the form kind/shard.
func (d Duty) String() string { return d.Kind + "/" + strconv.Itoa(d.Shard) }

func (k *Keeper) dutyKey(d Duty) string { return k.KeyPrefix + "duty/" + d.String() }
func (d Duty) epochKey() string         { return "epoch/" + d.String() }

// Holder is the stored value of a duty key.
type Holder struct {
	VM          lagoonhead.VMID        `json:"vm"`
	Incarnation lagoonhead.Incarnation `json:"incarnation"`
	// Nonce identifies the write, to find out after a lost response whether it took effect.
	Nonce string `json:"nonce"`
}

type epochRecord struct {
	// Epoch counts the holders. The store may lose the newest ones; see number.
	Epoch int64  `json:"epoch"`
	Nonce string `json:"nonce"`
	// Holders are the VMs that held the duty most recently, the newest first.
	Holders []lagoonhead.VMID `json:"holders,omitempty"`
	// Era is the era of the store at the time of the record, and EraSince the wall time of the
	// first record of that era in milliseconds since 1970, or 0 in era 0.
	Era      int64 `json:"era,omitempty"`
	EraSince int64 `json:"eraSince,omitempty"`
}

// maxRecordedHolders bounds the holders in an epoch record. A few are enough, since few VMs
// can alternate as holders within the time in which a lease lapses.
const maxRecordedHolders = 4

// isReturning reports whether vm held the duty before and another VM has held it since.
func (r epochRecord) isReturning(vm lagoonhead.VMID) bool {
	return len(r.Holders) > 1 && r.Holders[0] != vm && slices.Contains(r.Holders[1:], vm)
}

// withHolder returns the record of the next epoch, in which vm is the newest holder, at a wall
// time in an era of the store.
func (r epochRecord) withHolder(vm lagoonhead.VMID, era int64, wall time.Time) epochRecord {
	holders := append([]lagoonhead.VMID{vm}, r.Holders...)
	next := epochRecord{
		Epoch: r.Epoch + 1, Nonce: uuid.NewString(), Holders: holders[:min(len(holders), maxRecordedHolders)],
		Era: era, EraSince: r.EraSince,
	}
	if era != r.Era {
		next.EraSince = wall.UnixMilli()
	}
	return next
}

// maxLostEpochs is the number of epochs that a restore of the store loses at most.
const maxLostEpochs = 1 << 20

// number returns the epoch of the holder. The counts that a restore loses are given out again, so
// the era goes before the count.
func (r epochRecord) number() int64 { return r.Era*maxLostEpochs + r.Epoch }

// Tenure is the right of this daemon to perform a duty. It ends when the lease lapses.
type Tenure struct {
	duty     Duty
	epoch    int64
	lease    lagoonhead.LeaseID
	startsAt time.Duration
	era      int64
	keptFrom time.Time
	session  *Session
	timer    timer.Timer
}

// Duty returns the duty that the tenure is for.
func (t *Tenure) Duty() Duty { return t.duty }

// Epoch returns the epoch of this tenure; it is larger than those of all earlier tenures of
// the duty.
func (t *Tenure) Epoch() int64 { return t.epoch }

// Era returns the era of the store in which the tenure began.
func (t *Tenure) Era() int64 { return t.era }

// KeptFrom returns the wall time from which on the store has kept all that holders of the duty
// wrote: it may have lost what was written before, when it was restored from a copy. The zero
// time means that it has lost nothing.
func (t *Tenure) KeptFrom() time.Time { return t.keptFrom }

// Check returns nil while the holder may send orders, an error of KindUnavailable while
// an order of the former holder may still be in flight, and one of KindStale once the
// lease has lapsed.
func (t *Tenure) Check() error {
	id, valid := t.session.Lease()
	if !valid || id != t.lease {
		return fail("check", lagoonhead.KindStale, "lease of duty %s has lapsed", t.duty)
	}
	if now := t.timer.Now(); now < t.startsAt {
		return fail("check", lagoonhead.KindUnavailable, "duty %s begins in %s", t.duty, t.startsAt-now)
	}
	return nil
}

// Lapsed reports whether the tenure has ended. It cannot start again.
func (t *Tenure) Lapsed() bool { return lagoonhead.IsKind(t.Check(), lagoonhead.KindStale) }

// RunWhileHeld runs work with a context that is canceled when ctx ends or the tenure
// lapses. It checks the tenure once per interval.
func (t *Tenure) RunWhileHeld(ctx context.Context, interval time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for !t.Lapsed() && t.timer.Sleep(ctx, interval) == nil {
		}
		cancel()
	}()
	return work(ctx)
}

// DefaultMaxOrderFlight is the maximum time that an order of the former holder can be
// in flight: the receiver's timeout for request headers.
const DefaultMaxOrderFlight = 6 * time.Second

// DefaultAttemptInterval is the interval between attempts to acquire duties.
const DefaultAttemptInterval = 2 * time.Second

// Keeper acquires free duties that this daemon is eligible for. Set the exported fields
// before Run.
type Keeper struct {
	// Store holds the duty keys.
	Store lagoonhead.Store
	// Session keeps the lease that duty keys are attached to.
	Session *Session
	// Timer is the clock.
	Timer timer.Timer
	// Log receives a message when a duty is gained or lost.
	Log *zap.Logger
	// VM and Incarnation identify this daemon.
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// KeyPrefix begins the keys of holders. It may be empty.
	KeyPrefix string
	// Duties are all duties of the fleet.
	Duties []Duty
	// Eligible reports whether this daemon should try to acquire the duty now. Nil means
	// always.
	Eligible func(Duty) bool
	// OnGained, if not nil, is called with each new tenure.
	OnGained func(*Tenure)
	// Fenced asserts that all receivers refuse the epoch of a former holder. A new holder
	// then starts at once, unless it held the duty before and another VM has held it since:
	// two holders must not alternate at intervals shorter than MaxOrderFlight.
	Fenced bool
	// NoEarlierProcess asserts that no earlier process of this VM is still running, so that
	// its duties can be taken over before its lease ends.
	NoEarlierProcess bool
	// MaxOrderFlight and AttemptInterval default to DefaultMaxOrderFlight and
	// DefaultAttemptInterval.
	MaxOrderFlight, AttemptInterval time.Duration

	mu      sync.Mutex
	tenures map[Duty]*Tenure
	vars    expvar.Map
}

// Vars returns the counters gained, lost and failed.
func (k *Keeper) Vars() *expvar.Map { return &k.vars }

// Run tries to acquire duties once per AttemptInterval until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.setDefaults()
	timer.Every(ctx, k.Timer, k.AttemptInterval, func(time.Duration) { k.Step(ctx) })
	return nil
}

func (k *Keeper) setDefaults() {
	if k.MaxOrderFlight == 0 {
		k.MaxOrderFlight = DefaultMaxOrderFlight
	}
	if k.AttemptInterval == 0 {
		k.AttemptInterval = DefaultAttemptInterval
	}
	if k.Log == nil {
		k.Log = zap.NewNop()
	}
}

// Step tries once to acquire every duty that this daemon is eligible for and does not hold.
// Run calls it on every tick.
func (k *Keeper) Step(ctx context.Context) {
	k.setDefaults()
	for _, d := range k.Duties {
		if k.Tenure(d) != nil {
			continue
		}
		if k.Eligible != nil && !k.Eligible(d) {
			continue
		}
		if err := k.acquire(ctx, d); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindConflict) {
			k.vars.Add("failed", 1)
		}
	}
}

// Tenure returns the current tenure of d, or nil when this daemon does not hold d.
func (k *Keeper) Tenure(d Duty) *Tenure {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.tenures[d]
	if t == nil {
		return nil
	}
	if t.Lapsed() {
		delete(k.tenures, d)
		k.vars.Add("lost", 1)
		k.Log.Warn("duty lost", zap.Stringer("duty", d), zap.Int64("epoch", t.epoch))
		return nil
	}
	return t
}

// acquire creates the duty key and increments the epoch.
func (k *Keeper) acquire(ctx context.Context, d Duty) error {
	id, valid := k.Session.Lease()
	if !valid {
		return fail("take", lagoonhead.KindUnavailable, "no lease")
	}
	revision, err := k.createKey(ctx, d, id)
	if err != nil {
		return err
	}
	record, returning, err := k.incrementEpoch(ctx, d, lagoonhead.EraOf(revision))
	if err != nil {
		return err
	}
	t := &Tenure{
		duty: d, epoch: record.number(), lease: id, session: k.Session, timer: k.Timer,
		startsAt: k.Timer.Now() + k.MaxOrderFlight, era: record.Era,
	}
	if record.Era != 0 {
		t.keptFrom = time.UnixMilli(record.EraSince)
	}
	if k.Fenced && !returning {
		t.startsAt = k.Timer.Now()
	}
	k.mu.Lock()
	if k.tenures == nil {
		k.tenures = make(map[Duty]*Tenure)
	}
	k.tenures[d] = t
	k.mu.Unlock()
	k.vars.Add("gained", 1)
	k.Log.Info("duty gained", zap.Stringer("duty", d), zap.Int64("epoch", t.epoch))
	if k.OnGained != nil {
		k.OnGained(t)
	}
	return nil
}

// createKey creates the duty key, or finds that an earlier attempt whose response was
// lost has already created it under this lease. It returns the revision of the key.
func (k *Keeper) createKey(ctx context.Context, d Duty, id lagoonhead.LeaseID) (int64, error) {
	e, err := k.Store.Get(ctx, k.dutyKey(d))
	revision := int64(0)
	switch {
	case err == nil:
		own, err := k.isOwn(e, d, id)
		if own || err != nil {
			return e.Revision, err
		}
		revision = e.Revision
	case !lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		return 0, err
	}
	h := Holder{VM: k.VM, Incarnation: k.Incarnation, Nonce: uuid.NewString()}
	value, err := json.Marshal(h)
	if err != nil {
		return 0, fail("create", lagoonhead.KindInternal, "%v", err)
	}
	// After a lost response the next attempt reads the key and finds that it is its own.
	return k.Store.Put(ctx, lagoonhead.PutRequest{Key: k.dutyKey(d), Value: value, IfRevision: revision, Lease: id})
}

// isOwn reports whether this process already holds the duty under this lease. It returns
// an error of KindConflict when another process holds the duty, unless that is an earlier
// process of this VM that cannot be running any more.
func (k *Keeper) isOwn(e lagoonhead.Entry, d Duty, id lagoonhead.LeaseID) (own bool, err error) {
	var h Holder
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return false, fail("create", lagoonhead.KindInternal, "key %s: %v", k.dutyKey(d), err)
	}
	if h.Incarnation == k.Incarnation && e.Lease == id {
		return true, nil
	}
	if k.NoEarlierProcess && h.VM == k.VM {
		return false, nil
	}
	return false, fail("create", lagoonhead.KindConflict, "duty %s is held by VM %s", d, h.VM)
}

// incrementEpoch adds one to the stored epoch and records this VM as the newest holder, in an
// era of the store. returning reports whether this VM held the duty before and another one has
// held it since. A lost response makes the attempt fail; the next attempt increments the epoch
// again, which does no harm.
func (k *Keeper) incrementEpoch(ctx context.Context, d Duty, era int64) (next epochRecord, returning bool, err error) {
	var r epochRecord
	e, err := k.Store.Get(ctx, d.epochKey())
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		return r, false, err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return r, false, fail("epoch", lagoonhead.KindInternal, "key %s: %v", d.epochKey(), err)
		}
	}
	next = r.withHolder(k.VM, era, k.Timer.Wall())
	value, err := json.Marshal(next)
	if err != nil {
		return r, false, fail("epoch", lagoonhead.KindInternal, "%v", err)
	}
	revision, err := k.Store.Put(ctx, lagoonhead.PutRequest{Key: d.epochKey(), Value: value, IfRevision: e.Revision})
	if err == nil && lagoonhead.EraOf(revision) != era {
		err = fail("epoch", lagoonhead.KindUnavailable, "the store was restored while duty %s was acquired", d)
	}
	return next, r.isReturning(k.VM), err
}

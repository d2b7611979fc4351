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

// Duty is a shard of a task that one daemon does at a time.
type Duty struct {
	// Kind names the task, for example engineOrders.
	Kind string
	// Shard counts from 0.
	Shard int
}

// String returns kind/shard.
func (d Duty) String() string { return d.Kind + "/" + strconv.Itoa(d.Shard) }

func (d Duty) dutyKey() string  { return "duty/" + d.String() }
func (d Duty) epochKey() string { return "epoch/" + d.String() }

// Holder is the value of a duty key.
type Holder struct {
	VM          lagoonhead.VMID        `json:"vm"`
	Incarnation lagoonhead.Incarnation `json:"incarnation"`
	// Nonce tells after a lost answer whether the write took effect.
	Nonce string `json:"nonce"`
}

type epochRecord struct {
	Epoch int64  `json:"epoch"`
	Nonce string `json:"nonce"`
	// Holders are the VMs that held the duty last, the newest first.
	Holders []lagoonhead.VMID `json:"holders,omitempty"`
}

// rememberedHolders is how many former holders an epoch record names. Holders that take
// turns faster than leases lapse are few.
const rememberedHolders = 4

// returns reports whether vm comes back to a duty that others have held in the meantime.
func (r epochRecord) returns(vm lagoonhead.VMID) bool {
	return len(r.Holders) > 1 && r.Holders[0] != vm && slices.Contains(r.Holders[1:], vm)
}

func (r epochRecord) next(vm lagoonhead.VMID) epochRecord {
	holders := append([]lagoonhead.VMID{vm}, r.Holders...)
	return epochRecord{Epoch: r.Epoch + 1, Nonce: uuid.NewString(), Holders: holders[:min(len(holders), rememberedHolders)]}
}

// Tenure is the authority over a duty. It ends by itself when the lease lapses.
type Tenure struct {
	duty    Duty
	epoch   int64
	lease   lagoonhead.LeaseID
	from    time.Duration
	session *Session
	timer   timer.Timer
}

// Duty returns the duty.
func (t *Tenure) Duty() Duty { return t.duty }

// Epoch returns the number of this tenure; it is larger than all earlier ones.
func (t *Tenure) Epoch() int64 { return t.epoch }

// Check returns nil while the holder may send orders, KindUnavailable while an
// order of the former holder may still be in flight, and KindStale once the lease
// has lapsed.
func (t *Tenure) Check() error {
	id, valid := t.session.Lease()
	if !valid || id != t.lease {
		return fail("check", lagoonhead.KindStale, "lease of duty %s has lapsed", t.duty)
	}
	if now := t.timer.Now(); now < t.from {
		return fail("check", lagoonhead.KindUnavailable, "duty %s begins in %s", t.duty, t.from-now)
	}
	return nil
}

// Lapsed reports whether the tenure has ended for good.
func (t *Tenure) Lapsed() bool { return lagoonhead.IsKind(t.Check(), lagoonhead.KindStale) }

// While runs work with a context that ends with ctx or once the tenure has lapsed. It
// looks every interval whether it has.
func (t *Tenure) While(ctx context.Context, interval time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for !t.Lapsed() && t.timer.Sleep(ctx, interval) == nil {
		}
		cancel()
	}()
	return work(ctx)
}

// DefaultOrderFlight is the longest time that an order of the former holder can be
// in flight: the receiver's timeout for request headers.
const DefaultOrderFlight = 6 * time.Second

// DefaultAttempt is the interval between looks at the duties.
const DefaultAttempt = 2 * time.Second

// Keeper takes duties when they are free and this daemon is a candidate. Set the
// exported fields before Run.
type Keeper struct {
	// Store holds the duty keys.
	Store lagoonhead.Store
	// Session is the lease that duties hang on.
	Session *Session
	// Timer is the clock.
	Timer timer.Timer
	// Log gets a line when a duty is gained or lost.
	Log *zap.Logger
	// VM and Incarnation identify this daemon.
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// Duties are all duties of the fleet.
	Duties []Duty
	// Eligible reports whether this daemon should try for the duty now. Nil means
	// always.
	Eligible func(Duty) bool
	// Gained is called with each new tenure. Nil means nobody is told.
	Gained func(*Tenure)
	// Fenced tells that all receivers refuse the epoch of a former holder. A new holder
	// then begins at once, unless it comes back to the duty after another VM: two holders
	// must not act in turns faster than OrderFlight.
	Fenced bool
	// OneProcess tells that an earlier process of this VM cannot run any more, so that its
	// duties are taken over before its lease ends.
	OneProcess bool
	// OrderFlight and Attempt default to the constants of the package.
	OrderFlight, Attempt time.Duration

	mu   sync.Mutex
	held map[Duty]*Tenure
	vars expvar.Map
}

// Vars returns the counters gained, lost and failed.
func (k *Keeper) Vars() *expvar.Map { return &k.vars }

// Run looks for free duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.setDefaults()
	timer.Every(ctx, k.Timer, k.Attempt, func(time.Duration) { k.Step(ctx) })
	return nil
}

func (k *Keeper) setDefaults() {
	if k.OrderFlight == 0 {
		k.OrderFlight = DefaultOrderFlight
	}
	if k.Attempt == 0 {
		k.Attempt = DefaultAttempt
	}
	if k.Log == nil {
		k.Log = zap.NewNop()
	}
}

// Step tries once for every free duty. Run calls it on every tick.
func (k *Keeper) Step(ctx context.Context) {
	k.setDefaults()
	for _, d := range k.Duties {
		if k.Tenure(d) != nil {
			continue
		}
		if k.Eligible != nil && !k.Eligible(d) {
			continue
		}
		if err := k.take(ctx, d); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindConflict) {
			k.vars.Add("failed", 1)
		}
	}
}

// Tenure returns the authority over d, or nil when this daemon does not have it.
func (k *Keeper) Tenure(d Duty) *Tenure {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.held[d]
	if t == nil {
		return nil
	}
	if t.Lapsed() {
		delete(k.held, d)
		k.vars.Add("lost", 1)
		k.Log.Warn("duty lost", zap.Stringer("duty", d), zap.Int64("epoch", t.epoch))
		return nil
	}
	return t
}

// take creates the duty key and raises the epoch.
func (k *Keeper) take(ctx context.Context, d Duty) error {
	id, valid := k.Session.Lease()
	if !valid {
		return fail("take", lagoonhead.KindUnavailable, "no lease")
	}
	if err := k.create(ctx, d, id); err != nil {
		return err
	}
	epoch, returns, err := k.raiseEpoch(ctx, d)
	if err != nil {
		return err
	}
	t := &Tenure{
		duty: d, epoch: epoch, lease: id, session: k.Session, timer: k.Timer,
		from: k.Timer.Now() + k.OrderFlight,
	}
	if k.Fenced && !returns {
		t.from = k.Timer.Now()
	}
	k.mu.Lock()
	if k.held == nil {
		k.held = make(map[Duty]*Tenure)
	}
	k.held[d] = t
	k.mu.Unlock()
	k.vars.Add("gained", 1)
	k.Log.Info("duty gained", zap.Stringer("duty", d), zap.Int64("epoch", epoch))
	if k.Gained != nil {
		k.Gained(t)
	}
	return nil
}

// create takes the duty key, or recognises it as already taken under this lease
// by an attempt whose answer was lost.
func (k *Keeper) create(ctx context.Context, d Duty, id lagoonhead.LeaseID) error {
	e, err := k.Store.Get(ctx, d.dutyKey())
	revision := int64(0)
	switch {
	case err == nil:
		own, err := k.recognise(e, d, id)
		if own || err != nil {
			return err
		}
		revision = e.Revision
	case !lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		return err
	}
	h := Holder{VM: k.VM, Incarnation: k.Incarnation, Nonce: uuid.NewString()}
	value, err := json.Marshal(h)
	if err != nil {
		return fail("create", lagoonhead.KindInternal, "%v", err)
	}
	_, err = k.Store.Put(ctx, lagoonhead.PutRequest{Key: d.dutyKey(), Value: value, IfRevision: revision, Lease: id})
	// After a lost answer the next attempt reads the key and recognises it.
	return err
}

// recognise reports whether the duty is this process's own already. It returns an error
// of KindConflict when another process holds it, unless that is an earlier process of
// this VM that cannot run any more.
func (k *Keeper) recognise(e lagoonhead.Entry, d Duty, id lagoonhead.LeaseID) (own bool, err error) {
	var h Holder
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return false, fail("create", lagoonhead.KindInternal, "key %s: %v", d.dutyKey(), err)
	}
	if h.Incarnation == k.Incarnation && e.Lease == id {
		return true, nil
	}
	if k.OneProcess && h.VM == k.VM {
		return false, nil
	}
	return false, fail("create", lagoonhead.KindConflict, "duty %s is held by VM %s", d, h.VM)
}

// raiseEpoch adds one to the persistent epoch. A lost answer makes the attempt
// fail; the next one raises the epoch again, which does no harm.
func (k *Keeper) raiseEpoch(ctx context.Context, d Duty) (epoch int64, returns bool, err error) {
	var r epochRecord
	e, err := k.Store.Get(ctx, d.epochKey())
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		return 0, false, err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return 0, false, fail("epoch", lagoonhead.KindInternal, "key %s: %v", d.epochKey(), err)
		}
	}
	returns = r.returns(k.VM)
	r = r.next(k.VM)
	value, err := json.Marshal(r)
	if err != nil {
		return 0, false, fail("epoch", lagoonhead.KindInternal, "%v", err)
	}
	_, err = k.Store.Put(ctx, lagoonhead.PutRequest{Key: d.epochKey(), Value: value, IfRevision: e.Revision})
	return r.Epoch, returns, err
}

package claim

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/ring"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	defaultAnswerBytes = 256 << 10
	defaultOutcomeWait = 2 * time.Second
	defaultLateEvery   = time.Second
	// lateSize bounds the late writes. At 1 KB each they take 1 MB; with kept answers
	// of the largest size it is more, which needs as many bookings during an outage.
	lateSize = 1024
	// maxLateTries bounds the tries of a late write, one each Keeper.LateEvery.
	maxLateTries = 600
)

// Keeper keeps claims in the store. Its exported fields are set before the first
// call of Once or Run; those that are 0 have the default named with them.
type Keeper struct {
	Store lagoonhead.Store
	// Holder names this process in its claims.
	Holder lagoonhead.Incarnation
	Timer  timer.Timer
	// Log is optional.
	Log *zap.Logger
	// AnswerBytes is the largest body of an answer that a claim keeps: 256 KiB. It
	// must stay below three quarters of lagoonhead.MaxValueBytes, since bodies are
	// stored in base64.
	AnswerBytes int
	// OutcomeWait bounds the time for which an answer waits until its outcome is
	// recorded: 2 s.
	OutcomeWait time.Duration
	// LateEvery is the time between tries of late writes: 1 s.
	LateEvery time.Duration

	once sync.Once
	late *ring.Ring[lateWrite]
	vars counters
}

type counters struct {
	claimed, repeated, otherCall, unknown, refused expvar.Int
	released, readBack, late, lateDropped          expvar.Int
}

var _ lagoonhead.ClaimKeeper = (*Keeper)(nil)

// Vars returns the counters of the keeper.
func (k *Keeper) Vars() *expvar.Map {
	k.once.Do(k.setUp)
	m := new(expvar.Map)
	m.Set("claimed", &k.vars.claimed)
	m.Set("repeated", &k.vars.repeated)
	m.Set("otherCall", &k.vars.otherCall)
	m.Set("outcomeUnknown", &k.vars.unknown)
	m.Set("refusedNotRun", &k.vars.refused)
	m.Set("released", &k.vars.released)
	m.Set("readBack", &k.vars.readBack)
	m.Set("lateWrites", &k.vars.late)
	m.Set("lateWritesDropped", &k.vars.lateDropped)
	m.Set("lateWritesWaiting", expvar.Func(func() any { return k.late.Len() }))
	return m
}

func (k *Keeper) setUp() {
	if k.Log == nil {
		k.Log = zap.NewNop()
	}
	if k.AnswerBytes == 0 {
		k.AnswerBytes = defaultAnswerBytes
	}
	if k.OutcomeWait == 0 {
		k.OutcomeWait = defaultOutcomeWait
	}
	if k.LateEvery == 0 {
		k.LateEvery = defaultLateEvery
	}
	k.late = ring.New[lateWrite](lateSize)
}

// Once runs attempt at most once for the key of c over all daemons, as
// lagoonhead.ClaimKeeper describes. The end of ctx does not keep the outcome from
// being recorded.
func (k *Keeper) Once(ctx context.Context, c lagoonhead.ClaimRequest, attempt func(context.Context) (lagoonhead.RecordedAnswer, error)) (lagoonhead.RecordedAnswer, error) {
	k.once.Do(k.setUp)
	own, earlier, err := k.acquire(ctx, c)
	if err != nil || earlier != nil {
		return k.repeat(earlier, err)
	}
	k.vars.claimed.Add(1)
	ans, err := attempt(ctx)
	k.finish(ctx, storeKey(c), own, ans, err)
	return ans, err
}

// Lookup returns the recorded answer as lagoonhead.ClaimKeeper describes.
func (k *Keeper) Lookup(ctx context.Context, c lagoonhead.ClaimRequest) (lagoonhead.RecordedAnswer, error) {
	k.once.Do(k.setUp)
	v, err := k.get(ctx, storeKey(c))
	if err != nil {
		return lagoonhead.RecordedAnswer{}, err
	}
	ans, err := v.outcome(c)
	if err == nil && ans == nil {
		err = fault("claim.lookup", lagoonhead.KindNotFound, errors.New("the call was not sent"))
	}
	return k.repeat(ans, err)
}

func (k *Keeper) repeat(ans *lagoonhead.RecordedAnswer, err error) (lagoonhead.RecordedAnswer, error) {
	if err != nil {
		k.count(err)
		return lagoonhead.RecordedAnswer{}, err
	}
	k.vars.repeated.Add(1)
	ans.Repeated = true
	return *ans, nil
}

func (k *Keeper) count(err error) {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindInvalid:
		k.vars.otherCall.Add(1)
	case lagoonhead.KindUnknown:
		k.vars.unknown.Add(1)
	case lagoonhead.KindUnavailable:
		k.vars.refused.Add(1)
	}
}

// acquire claims the key for this arrival, or returns the recorded answer.
func (k *Keeper) acquire(ctx context.Context, c lagoonhead.ClaimRequest) (version, *lagoonhead.RecordedAnswer, error) {
	key := storeKey(c)
	own, err := k.create(ctx, key, c, 0)
	if err == nil || !lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		return own, nil, err
	}
	v, err := k.get(ctx, key)
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return version{}, nil, fault("claim.acquire", lagoonhead.KindUnavailable, err)
	}
	if err != nil {
		return version{}, nil, err
	}
	ans, err := v.outcome(c)
	if err != nil || ans != nil {
		return version{}, ans, err
	}
	own, err = k.create(ctx, key, c, v.revision)
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		err = fault("claim.acquire", lagoonhead.KindUnknown, errors.New("another arrival has taken the released claim"))
	}
	return own, nil, err
}

// outcome returns what a record tells a repeat: an answer, an error, or neither
// when the claim is released.
func (v version) outcome(c lagoonhead.ClaimRequest) (*lagoonhead.RecordedAnswer, error) {
	const op = "claim.outcome"
	if v.BodyHash != hashText(c) {
		return nil, fault(op, lagoonhead.KindInvalid, errors.New("the key was used with another call"))
	}
	switch v.State {
	case done:
		return v.Answer, nil
	case released:
		return nil, nil
	}
	return nil, fault(op, lagoonhead.KindUnknown, errors.Newf("the claim of %s has no outcome", v.Holder))
}

// create writes a new claim in place of the given revision; 0 means none. When the
// effect of the write is not known, the arrival is not run, and the claim is
// released later in case it is there.
func (k *Keeper) create(ctx context.Context, key string, c lagoonhead.ClaimRequest, ifRevision int64) (version, error) {
	nonce := uuid.NewString()
	r := record{
		State: claimed, BodyHash: hashText(c), Holder: k.Holder, Claim: nonce, Nonce: nonce,
		ClaimedAt: k.Timer.Wall(),
	}
	rev, err := k.put(ctx, key, r, ifRevision)
	if err == nil {
		return version{record: r, revision: rev}, nil
	}
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		r.State, r.Nonce = released, uuid.NewString()
		k.pushLate(lateWrite{key: key, final: r})
		err = fault("claim.create", lagoonhead.KindUnavailable, err)
	}
	return version{}, err
}

// finish records how the attempt ended. The caller is answered after it.
func (k *Keeper) finish(ctx context.Context, key string, own version, ans lagoonhead.RecordedAnswer, attemptErr error) {
	r := own.record
	r.Nonce = uuid.NewString()
	switch {
	case attemptErr == nil:
		r.State, r.Answer = done, k.kept(ans)
	case lagoonhead.IsKind(attemptErr, lagoonhead.KindUnavailable):
		r.State = released
		k.vars.released.Add(1)
	default:
		r.State = unknown
	}
	ctx, stop := k.outcomeContext(ctx)
	defer stop()
	if _, err := k.put(ctx, key, r, own.revision); err != nil {
		k.Log.Warn("outcome of a claim is recorded late", zap.String("claim", key), zap.Error(err))
		k.pushLate(lateWrite{key: key, final: r})
	}
}

// kept returns the answer as the claim keeps it.
func (k *Keeper) kept(a lagoonhead.RecordedAnswer) *lagoonhead.RecordedAnswer {
	if len(a.Body) > k.AnswerBytes {
		a.Body, a.Omitted = nil, true
	}
	return &a
}

// outcomeContext returns a context that outlives the caller but not OutcomeWait.
func (k *Keeper) outcomeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		if k.Timer.Sleep(ctx, k.OutcomeWait) == nil {
			cancel()
		}
	}()
	return ctx, cancel
}

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
	// maxLateWrites bounds the queued late writes. At 1 KB each they take 1 MB. They take
	// more only if as many calls with answers of up to Keeper.MaxAnswerBytes run during an
	// outage of the store.
	maxLateWrites = 1024
	// maxLateTries bounds the tries of a late write; there is one every
	// Keeper.LateWriteInterval.
	maxLateTries = 600
)

// Keeper implements lagoonhead.ClaimKeeper with claims in the store. Its exported
// fields are set before the first call of a method; a field of value 0 gets the default
// given in its comment.
type Keeper struct {
	Store lagoonhead.Store
	// Holder identifies this process in its claims.
	Holder lagoonhead.Incarnation
	Timer  timer.Timer
	// Log is optional.
	Log *zap.Logger
	// MaxAnswerBytes is the maximum size of an answer's body that a claim stores; default
	// 256 KiB. It must be below three quarters of lagoonhead.MaxValueBytes, since bodies
	// are stored in base64.
	MaxAnswerBytes int
	// OutcomeTimeout bounds the time that recording an outcome may delay the answer;
	// default 2 s.
	OutcomeTimeout time.Duration
	// LateWriteInterval is the time between tries of late writes; default 1 s.
	LateWriteInterval time.Duration

	once       sync.Once
	lateWrites *ring.Ring[lateWrite]
	counters   counters
}

type counters struct {
	claimed, repeated, otherCall, unknown, refused    expvar.Int
	released, readBack, lateWrites, lateWritesDropped expvar.Int
}

var _ lagoonhead.ClaimKeeper = (*Keeper)(nil)

// Vars returns the counters of the keeper.
func (k *Keeper) Vars() *expvar.Map {
	k.once.Do(k.setUp)
	m := new(expvar.Map)
	m.Set("claimed", &k.counters.claimed)
	m.Set("repeated", &k.counters.repeated)
	m.Set("otherCall", &k.counters.otherCall)
	m.Set("outcomeUnknown", &k.counters.unknown)
	m.Set("refusedNotRun", &k.counters.refused)
	m.Set("released", &k.counters.released)
	m.Set("readBack", &k.counters.readBack)
	m.Set("lateWrites", &k.counters.lateWrites)
	m.Set("lateWritesDropped", &k.counters.lateWritesDropped)
	m.Set("lateWritesWaiting", expvar.Func(func() any { return k.lateWrites.Len() }))
	return m
}

func (k *Keeper) setUp() {
	if k.Log == nil {
		k.Log = zap.NewNop()
	}
	if k.MaxAnswerBytes == 0 {
		k.MaxAnswerBytes = defaultAnswerBytes
	}
	if k.OutcomeTimeout == 0 {
		k.OutcomeTimeout = defaultOutcomeWait
	}
	if k.LateWriteInterval == 0 {
		k.LateWriteInterval = defaultLateEvery
	}
	k.lateWrites = ring.New[lateWrite](maxLateWrites)
}

// Once runs attempt at most once for the key of c over all daemons, as
// lagoonhead.ClaimKeeper describes. The outcome is recorded even if ctx has ended.
func (k *Keeper) Once(ctx context.Context, c lagoonhead.ClaimRequest, attempt func(context.Context) (lagoonhead.RecordedAnswer, error)) (lagoonhead.RecordedAnswer, error) {
	k.once.Do(k.setUp)
	own, earlier, err := k.acquire(ctx, c)
	if err != nil || earlier != nil {
		return k.replay(earlier, err)
	}
	k.counters.claimed.Add(1)
	ans, err := attempt(ctx)
	k.recordOutcome(ctx, storeKey(c), own, ans, err)
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
	return k.replay(ans, err)
}

// replay returns the recorded answer, marked as repeated, or err, and counts it.
func (k *Keeper) replay(ans *lagoonhead.RecordedAnswer, err error) (lagoonhead.RecordedAnswer, error) {
	if err != nil {
		k.count(err)
		return lagoonhead.RecordedAnswer{}, err
	}
	k.counters.repeated.Add(1)
	ans.Replayed = true
	return *ans, nil
}

// count increments the counter for the kind of err.
func (k *Keeper) count(err error) {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindInvalid:
		k.counters.otherCall.Add(1)
	case lagoonhead.KindUnknown:
		k.counters.unknown.Add(1)
	case lagoonhead.KindUnavailable:
		k.counters.refused.Add(1)
	}
}

// acquire claims the key for this call, or returns the recorded answer of an earlier
// one.
func (k *Keeper) acquire(ctx context.Context, c lagoonhead.ClaimRequest) (storedRecord, *lagoonhead.RecordedAnswer, error) {
	key := storeKey(c)
	own, err := k.create(ctx, key, c, 0)
	if err == nil || !lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		return own, nil, err
	}
	v, err := k.get(ctx, key)
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return storedRecord{}, nil, fault("claim.acquire", lagoonhead.KindUnavailable, err)
	}
	if err != nil {
		return storedRecord{}, nil, err
	}
	ans, err := v.outcome(c)
	if err != nil || ans != nil {
		return storedRecord{}, ans, err
	}
	own, err = k.create(ctx, key, c, v.revision)
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		err = fault("claim.acquire", lagoonhead.KindUnknown, errors.New("another call has taken over the released claim"))
	}
	return own, nil, err
}

// outcome returns what a retry of the call gets from the record: an answer, an error,
// or neither when the claim is released.
func (v storedRecord) outcome(c lagoonhead.ClaimRequest) (*lagoonhead.RecordedAnswer, error) {
	const op = "claim.outcome"
	if v.BodyHash != hashText(c) {
		return nil, fault(op, lagoonhead.KindInvalid, errors.New("the key was used with another call"))
	}
	switch v.State {
	case stateDone:
		return v.Answer, nil
	case stateReleased:
		return nil, nil
	}
	return nil, fault(op, lagoonhead.KindUnknown, errors.Newf("the claim of %s has no recorded outcome", v.Holder))
}

// create writes a new claim over the record with the given revision; 0 means that there
// is no record. If it is unknown whether the write took effect, create fails with
// KindUnavailable, so that the call is not run, and a late write releases the claim in
// case it exists.
func (k *Keeper) create(ctx context.Context, key string, c lagoonhead.ClaimRequest, ifRevision int64) (storedRecord, error) {
	nonce := uuid.NewString()
	r := record{
		State: stateClaimed, BodyHash: hashText(c), Holder: k.Holder, Claim: nonce, Nonce: nonce,
		ClaimedAt: k.Timer.Wall(),
	}
	rev, err := k.put(ctx, key, r, ifRevision)
	if err == nil {
		return storedRecord{record: r, revision: rev}, nil
	}
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		r.State, r.Nonce = stateReleased, uuid.NewString()
		k.queueLateWrite(lateWrite{key: key, final: r})
		err = fault("claim.create", lagoonhead.KindUnavailable, err)
	}
	return storedRecord{}, err
}

// recordOutcome records how the attempt ended. It is called before the caller gets the
// answer.
func (k *Keeper) recordOutcome(ctx context.Context, key string, own storedRecord, ans lagoonhead.RecordedAnswer, attemptErr error) {
	r := own.record
	r.Nonce = uuid.NewString()
	switch {
	case attemptErr == nil:
		r.State, r.Answer = stateDone, k.storedAnswer(ans)
	case lagoonhead.IsKind(attemptErr, lagoonhead.KindUnavailable):
		r.State = stateReleased
		k.counters.released.Add(1)
	default:
		r.State = stateUnknown
	}
	ctx, stop := k.outcomeContext(ctx)
	defer stop()
	if _, err := k.put(ctx, key, r, own.revision); err != nil {
		k.Log.Warn("outcome of a claim is not recorded yet; the write is retried later", zap.String("claim", key), zap.Error(err))
		k.queueLateWrite(lateWrite{key: key, final: r})
	}
}

// storedAnswer returns the answer as the claim stores it: without a body that exceeds
// MaxAnswerBytes.
func (k *Keeper) storedAnswer(a lagoonhead.RecordedAnswer) *lagoonhead.RecordedAnswer {
	if len(a.Body) > k.MaxAnswerBytes {
		a.Body, a.Omitted = nil, true
	}
	return &a
}

// outcomeContext returns a context that ends after OutcomeTimeout and not with ctx.
func (k *Keeper) outcomeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		if k.Timer.Sleep(ctx, k.OutcomeTimeout) == nil {
			cancel()
		}
	}()
	return ctx, cancel
}

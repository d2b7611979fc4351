package bodybudget

import (
	"context"
	"expvar"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// maxWait bounds the wait for the bytes of bodies that were revoked, whose goroutines give them
	// back at once.
	maxWait = 500 * time.Millisecond
	// maxAnswerWait bounds the wait of an answer, which is not refused at once since the request has
	// run. An endpoint cuts off an answer that remains unread for some seconds.
	maxAnswerWait = 3 * time.Second
	// recheckInterval is the time after which an answer that waits looks for stalled ones again.
	recheckInterval = 250 * time.Millisecond
	// minRetryAfter is the least time after which callers of refused requests may come again, and
	// retrySpread the random part by which their return is spread.
	minRetryAfter, retrySpread = 500 * time.Millisecond, 500 * time.Millisecond
	// sweepInterval is the time between checks for stalled bodies and between two log lines.
	sweepInterval = time.Second
	// sweptAfter is the time without progress after which a body is given up while connections are
	// scarce or the budget is half used.
	sweptAfter = 5 * time.Second
	// minSegment and maxSegment bound the size of the parts in which a body of unknown length is read.
	minSegment, maxSegment = 4 << 10, 256 << 10
)

// Budget bounds the bytes of bodies that are held together: those of callers' requests, or those of
// answers. Set the exported fields before use. A
// nil Budget has no bound.
type Budget struct {
	Timer timer.Timer
	// Log may be nil.
	Log *zap.Logger
	// Crowded reports whether connections of callers are scarce. It may be nil.
	Crowded func() bool

	// name is used in log lines.
	name string

	mu     sync.Mutex
	ledger *ledger
	// bodies holds the bodies whose bytes are counted.
	bodies map[*entry]*Body
	// maxWait bounds the wait for bytes.
	maxWait time.Duration
	// released is closed when bytes were given back, and replaced then.
	released chan struct{}

	// refused counts the bodies for which there was no room, revoked those that gave their bytes to
	// another one, swept those that were given up for their lack of progress, and late those that did
	// not arrive in time.
	refused, revoked, swept, late expvar.Int
	most                          expvar.Int
	logged                        [4]int64
}

// New returns a budget of a number of bytes; 0 means that there is no bound.
func New(capacity int64, t timer.Timer, log *zap.Logger) *Budget {
	if log == nil {
		log = zap.NewNop()
	}
	return &Budget{name: "bodies of callers", Timer: t, Log: log, ledger: newLedger(capacity), bodies: make(map[*entry]*Body), released: make(chan struct{}), maxWait: maxWait}
}

// NewForAnswers returns a budget of a number of bytes for bodies that endpoints send. Those that are
// being read wait for bytes, and only those that are delivered without progress are revoked.
func NewForAnswers(capacity int64, t timer.Timer, log *zap.Logger) *Budget {
	b := New(capacity, t, log)
	b.ledger.onlyStalled, b.maxWait, b.name = true, maxAnswerWait, "answers"
	return b
}

// Vars returns the counters.
func (b *Budget) Vars() *expvar.Map {
	m := new(expvar.Map)
	for name, v := range map[string]*expvar.Int{
		"refused": &b.refused, "revoked": &b.revoked, "stalled": &b.swept, "late": &b.late, "mostBytes": &b.most,
	} {
		m.Set(name, v)
	}
	m.Set("bytes", expvar.Func(func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.ledger.held
	}))
	m.Set("capacity", expvar.Func(func() any { return b.ledger.capacity }))
	return m
}

// Run gives up stalled bodies while connections or memory are scarce, and logs how many bodies were
// refused, until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	timer.Every(ctx, b.Timer, sweepInterval, b.sweep)
	return nil
}

// sweep gives up stalled bodies if necessary.
func (b *Budget) sweep(now time.Duration) {
	crowded := b.Crowded != nil && b.Crowded()
	b.mu.Lock()
	var list []*Body
	if crowded || b.ledger.capacity > 0 && b.ledger.held > b.ledger.capacity/2 {
		for _, e := range b.ledger.stalled(now, sweptAfter) {
			b.ledger.revoke(e)
			list = append(list, b.bodies[e])
		}
	}
	held := b.ledger.held
	b.mu.Unlock()
	b.swept.Add(int64(len(list)))
	interrupt(list)
	counts := [4]int64{b.refused.Value(), b.revoked.Value(), b.swept.Value(), b.late.Value()}
	if counts != b.logged {
		b.Log.Warn(b.name+" refused", zap.Int64("refused", counts[0]-b.logged[0]), zap.Int64("revoked", counts[1]-b.logged[1]),
			zap.Int64("stalled", counts[2]-b.logged[2]), zap.Int64("late", counts[3]-b.logged[3]), zap.Int64("bytes", held))
		b.logged = counts
	}
}

// Source is where a body comes from.
type Source struct {
	// Reader reads the body. Length is its length in bytes, or negative if that is not known.
	Reader io.Reader
	Length int64
	// Limit is the greatest length in bytes.
	Limit int64
	// Group is the workspace, or another name of the sender, whose bodies count together.
	Group string
	// Timeout bounds the time in which the body must arrive.
	Timeout time.Duration
	// SetDeadline sets the deadline of reads, and interrupts a read in progress if it has passed.
	// Errors are ignored: without deadlines a body is given up only when it sends more.
	SetDeadline func(time.Time) error
	// Parts keeps a body of unknown length in parts, which takes less memory. Bytes returns nil then.
	Parts bool
}

// Body is a body that was read, or is being read, with the bytes that are counted for it.
type Body struct {
	budget *Budget
	entry  *entry
	source Source
	parts  [][]byte
}

// Read reads a body. The caller must call End when the bytes are not used any more. An error means
// that nothing is counted, and that the rest of the body is unread.
func (b *Budget) Read(ctx context.Context, s Source) (*Body, error) {
	if b == nil {
		b = New(0, &timer.System{}, nil)
	}
	if s.Length == 0 {
		return &Body{}, nil
	}
	if s.Length > s.Limit {
		return nil, fail("read", lagoonhead.KindInvalid, errTooLarge)
	}
	v := &Body{budget: b, source: s}
	b.mu.Lock()
	v.entry = b.ledger.open(b.Timer.Now(), s.Group, max(s.Length, -1))
	b.bodies[v.entry] = v
	if !b.ledger.onlyStalled {
		b.ledger.expose(b.Timer.Now(), v.entry)
	}
	b.mu.Unlock()
	// A deadline in the past that interrupts the read comes after this one: see interrupt.
	_ = s.SetDeadline(time.Now().Add(s.Timeout))
	err := v.read(ctx)
	if err == nil {
		err = v.complete()
	}
	if err != nil {
		v.End()
		return nil, err
	}
	_ = s.SetDeadline(time.Time{})
	return v, nil
}

// Bytes returns the body, unless it is kept in parts.
func (v *Body) Bytes() []byte {
	if len(v.parts) != 1 {
		return nil
	}
	return v.parts[0]
}

// Reserve counts n more bytes until End, for what is derived from a body that has arrived. An error means
// that nothing more is counted.
func (v *Body) Reserve(ctx context.Context, n int64) error {
	if v.entry == nil {
		return nil
	}
	return v.grow(ctx, n)
}

// End gives the bytes back. Further calls do nothing.
func (v *Body) End() {
	if v == nil || v.entry == nil {
		return
	}
	b := v.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.close(v.entry)
	delete(b.bodies, v.entry)
	b.signal()
	v.entry, v.parts = nil, nil
}

// deliveredAtOnce is the number of bytes that Deliver writes at once, after which the reader has made
// progress.
const deliveredAtOnce = 32 << 10

// Deliver writes the body. If the reader makes no progress while others need the bytes, interrupt is
// called, which must end a write in progress and make later ones fail.
func (v *Body) Deliver(write func(p []byte) error, interrupt func()) error {
	if v.entry == nil {
		return nil
	}
	b := v.budget
	b.mu.Lock()
	v.source.SetDeadline = func(time.Time) error {
		interrupt()
		return nil
	}
	b.ledger.expose(b.Timer.Now(), v.entry)
	b.mu.Unlock()
	var delivered int64
	for _, p := range v.parts {
		for len(p) > 0 {
			n := min(len(p), deliveredAtOnce)
			if v.isRevoked() {
				return fail("deliver", lagoonhead.KindUnknown, errRevoked)
			}
			if err := write(p[:n]); err != nil {
				return fail("deliver", lagoonhead.KindUnknown, err)
			}
			p, delivered = p[n:], delivered+int64(n)
			v.receive(delivered)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ledger.protect(v.entry) {
		return fail("deliver", lagoonhead.KindUnknown, errRevoked)
	}
	return nil
}

// signal wakes those that wait for bytes. The caller holds mu.
func (b *Budget) signal() {
	close(b.released)
	b.released = make(chan struct{})
}

// complete records that the body has arrived, and returns an error if it was revoked before.
func (v *Body) complete() error {
	b := v.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ledger.protect(v.entry) {
		return b.refusal(errRevoked)
	}
	return nil
}

func (v *Body) read(ctx context.Context) error {
	if v.source.Length > 0 {
		if err := v.grow(ctx, v.source.Length); err != nil {
			return err
		}
		v.parts = [][]byte{make([]byte, v.source.Length)}
		return v.fill(v.parts[0], 0)
	}
	return v.readSegments(ctx)
}

// fill reads until p is full. received is the number of bytes before p.
func (v *Body) fill(p []byte, received int64) error {
	for n := 0; n < len(p); {
		more, err := v.readSome(p[n:])
		n += more
		if more > 0 {
			v.receive(received + int64(n))
		}
		if errors.Is(err, io.EOF) && n < len(p) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && n < len(p) {
			return v.readError(err)
		}
	}
	return nil
}

// readSome reads from the source unless the body was revoked.
func (v *Body) readSome(p []byte) (int, error) {
	if v.isRevoked() {
		return 0, errRevoked
	}
	return v.source.Reader.Read(p)
}

func (v *Body) isRevoked() bool {
	v.budget.mu.Lock()
	defer v.budget.mu.Unlock()
	return v.entry.revoked
}

func (v *Body) receive(n int64) {
	b := v.budget
	now := b.Timer.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.receive(now, v.entry, n)
}

// readSegments reads a body of unknown length. The segments grow with it, and are joined at its end.
func (v *Body) readSegments(ctx context.Context) error {
	var segments [][]byte
	var received int64
	for {
		size := max(minSegment, min(maxSegment, received/4, v.source.Limit+1-received))
		if err := v.grow(ctx, size); err != nil {
			return err
		}
		segment := make([]byte, size)
		n, err := v.fillSome(segment, received)
		received += int64(n)
		if received > v.source.Limit {
			return fail("read", lagoonhead.KindInvalid, errTooLarge)
		}
		segments = append(segments, segment[:n])
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return v.readError(err)
		}
		return v.join(ctx, segments, received)
	}
}

// fillSome reads until p is full or the source ends. received is the number of bytes before p.
func (v *Body) fillSome(p []byte, received int64) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = v.readSome(p[n:])
		n += more
		if more > 0 {
			v.receive(received + int64(n))
		}
	}
	return n, err
}

// join copies the segments into one part of memory and gives the bytes of the segments back.
func (v *Body) join(ctx context.Context, segments [][]byte, size int64) error {
	v.parts = segments
	if len(segments) == 1 || v.source.Parts {
		return nil
	}
	if err := v.grow(ctx, size); err != nil {
		return err
	}
	whole := make([]byte, 0, size)
	for _, s := range segments {
		whole = append(whole, s...)
	}
	v.parts = [][]byte{whole}
	b := v.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.give(v.entry, v.entry.held-size)
	b.signal()
	return nil
}

// grow counts n more bytes for the body, for which it may wait.
func (v *Body) grow(ctx context.Context, n int64) error {
	b := v.budget
	var wait <-chan time.Time
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		b.mu.Lock()
		if b.ledger.take(v.entry, n) {
			b.most.Set(max(b.most.Value(), b.ledger.held))
			b.mu.Unlock()
			return nil
		}
		if v.entry.revoked {
			b.mu.Unlock()
			return b.refusal(errRevoked)
		}
		revoked, enough := b.ledger.makeRoom(b.Timer.Now(), v.entry, n)
		list := make([]*Body, 0, len(revoked))
		for _, e := range revoked {
			list = append(list, b.bodies[e])
		}
		released := b.released
		b.mu.Unlock()
		b.revoked.Add(int64(len(list)))
		interrupt(list)
		if !enough && !b.ledger.onlyStalled {
			b.refused.Add(1)
			return b.refusal(errFull)
		}
		if wait == nil {
			t := time.NewTimer(b.maxWait)
			defer t.Stop()
			wait = t.C
		}
		select {
		case <-released:
		case <-recheck.C:
		case <-wait:
			b.refused.Add(1)
			return b.refusal(errFull)
		case <-ctx.Done():
			return fail("read", lagoonhead.KindUnavailable, context.Cause(ctx))
		}
	}
}

// interrupt ends the reads of revoked bodies. A read that begins later sees that its body is revoked.
func interrupt(list []*Body) {
	for _, v := range list {
		_ = v.source.SetDeadline(time.Unix(1, 0)) // explained at Source
	}
}

// readError returns the error of a body that cannot be read to its end.
func (v *Body) readError(err error) error {
	switch {
	case v.isRevoked():
		return v.budget.refusal(errRevoked)
	case errors.Is(err, os.ErrDeadlineExceeded):
		v.budget.late.Add(1)
		e := v.budget.refusal(errTooSlow)
		e.Kind = lagoonhead.KindTimeout
		return e
	default:
		return fail("read", lagoonhead.KindInvalid, err)
	}
}

// refusal returns the error of a request that is refused and may come again.
func (b *Budget) refusal(err error) *Error {
	e := fail("read", lagoonhead.KindUnavailable, err)
	e.retryAfter = minRetryAfter + time.Duration(rand.Float64()*float64(retrySpread))
	return e
}

package fakeplatform

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Faults are the switches for the failures of one interface. The zero value has
// no faults. It is safe for concurrent use.
type Faults struct {
	mu          sync.Mutex
	outage      bool
	delay       time.Duration
	loseAnswers int
	oldReads    bool
	calls       map[string]int64
}

// SetOutage makes every call fail before it takes effect, or ends that.
func (f *Faults) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// SetDelay makes every call take d longer.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAnswers makes the next n writes take effect and answer with KindUnknown.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// SetOldReads makes reads answer with the state before the newest write of each
// key, or ends that.
func (f *Faults) SetOldReads(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldReads = on
}

// Calls returns how often the named operation was called.
func (f *Faults) Calls(op string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[op]
}

// AllCalls returns a copy of the counts of all operations.
func (f *Faults) AllCalls() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]int64, len(f.calls))
	for k, v := range f.calls {
		m[k] = v
	}
	return m
}

// begin counts the call, waits for the delay and fails it during an outage.
func (f *Faults) begin(ctx context.Context, tm timer.Timer, op string) error {
	f.mu.Lock()
	if f.calls == nil {
		f.calls = make(map[string]int64)
	}
	f.calls[op]++
	outage, delay := f.outage, f.delay
	f.mu.Unlock()
	if outage {
		return fail(op, lagoonhead.KindUnavailable, "the platform is down")
	}
	if delay == 0 {
		return nil
	}
	if err := tm.Sleep(ctx, delay); err != nil {
		return fail(op, lagoonhead.KindTimeout, "no answer in time")
	}
	return nil
}

// end replaces the answer of a write that took effect when it is to be lost.
func (f *Faults) end(op string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers == 0 {
		return nil
	}
	f.loseAnswers--
	return fail(op, lagoonhead.KindUnknown, "the answer was lost")
}

func (f *Faults) old() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.oldReads
}

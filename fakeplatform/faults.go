package fakeplatform

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Faults are the faults injected into one interface. The zero value has no faults.
// It is safe for concurrent use.
type Faults struct {
	mu          sync.Mutex
	outage      bool
	delay       time.Duration
	loseAnswers int
	staleReads  bool
	calls       map[string]int64
}

// SetOutage makes every call fail with KindUnavailable before it takes effect while
// on is true.
func (f *Faults) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// SetDelay delays every call by d.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAnswers makes the next n writes take effect and return KindUnknown. Over HTTP
// the connection is closed without a response instead.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// SetStaleReads makes reads return the state before the last write of each key while
// on is true. Only KV.Get and KV.List support it.
func (f *Faults) SetStaleReads(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.staleReads = on
}

// Calls returns the number of calls of the named operation.
func (f *Faults) Calls(op string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[op]
}

// AllCalls returns the number of calls by operation.
func (f *Faults) AllCalls() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]int64, len(f.calls))
	for k, v := range f.calls {
		m[k] = v
	}
	return m
}

// begin counts the call. During an outage it returns KindUnavailable, else it waits
// for the delay and returns KindTimeout if ctx ends first.
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

// end returns KindUnknown for a write that took effect if its response is to be
// lost.
func (f *Faults) end(op string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers == 0 {
		return nil
	}
	f.loseAnswers--
	return fail(op, lagoonhead.KindUnknown, "the answer was lost")
}

// readsStale reports whether reads return the state before the last write.
func (f *Faults) readsStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.staleReads
}

package timer

import (
	"context"
	"sync"
	"time"
)

// Manual is a Timer for tests. Its time moves only by Advance.
type Manual struct {
	mu     sync.Mutex
	now    time.Duration
	wall   time.Time
	waits  map[int]*manualWait
	nextID int
}

type manualWait struct {
	due      time.Duration
	interval time.Duration
	fire     func(now time.Duration)
}

var _ Timer = (*Manual)(nil)

// NewManual returns a clock that stands at now since boot and at wall.
func NewManual(now time.Duration, wall time.Time) *Manual {
	return &Manual{now: now, wall: wall, waits: make(map[int]*manualWait)}
}

// Now returns the time since boot.
func (m *Manual) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the wall time.
func (m *Manual) Wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Advance moves both times by d and delivers what became due, at most one tick to
// each subscription.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	m.now += d
	m.wall = m.wall.Add(d)
	now := m.now
	var due []func(time.Duration)
	for id, w := range m.waits {
		if w.due > now {
			continue
		}
		due = append(due, w.fire)
		if w.interval == 0 {
			delete(m.waits, id)
			continue
		}
		for w.due <= now {
			w.due += w.interval
		}
	}
	m.mu.Unlock()
	for _, f := range due {
		f(now)
	}
}

func (m *Manual) add(d, interval time.Duration, fire func(time.Duration)) (remove func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	m.waits[id] = &manualWait{due: m.now + d, interval: interval, fire: fire}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waits, id)
	}
}

// Subscribe returns a subscription that ticks every interval of this clock.
func (m *Manual) Subscribe(interval time.Duration) *Subscription {
	if interval <= 0 {
		panic("timer: interval must be positive")
	}
	sub := newSubscription(nil)
	// stop is set after the wait is registered; ticks do not use it.
	sub.stop = m.add(interval, interval, sub.deliver)
	return sub
}

// Sleep waits until this clock has moved by d or until ctx ends.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	done := make(chan struct{})
	remove := m.add(d, 0, func(time.Duration) { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		remove()
		return ctx.Err()
	}
}

package timer

import (
	"context"
	"sync"
	"time"
)

// Manual is a Timer for tests. Its clocks move only by Advance.
type Manual struct {
	mu     sync.Mutex
	now    time.Duration
	wall   time.Time
	events map[int]*manualEvent
	nextID int
}

// manualEvent is the next tick of a subscription or the end of a sleep.
type manualEvent struct {
	due time.Duration
	// interval is the time until the next tick; 0 means that the event is not repeated.
	interval time.Duration
	fire     func(now time.Duration)
}

var _ Timer = (*Manual)(nil)

// NewManual returns a Manual whose time since boot is now and whose wall time is wall.
func NewManual(now time.Duration, wall time.Time) *Manual {
	return &Manual{now: now, wall: wall, events: make(map[int]*manualEvent)}
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

// Advance moves both clocks by d, ends the sleeps that became due and delivers at most
// one tick to each subscription.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	m.now += d
	m.wall = m.wall.Add(d)
	now := m.now
	var due []func(time.Duration)
	for id, e := range m.events {
		if e.due > now {
			continue
		}
		due = append(due, e.fire)
		if e.interval == 0 {
			delete(m.events, id)
			continue
		}
		for e.due <= now {
			e.due += e.interval
		}
	}
	m.mu.Unlock()
	for _, f := range due {
		f(now)
	}
}

// add schedules fire for d from now and, if interval is not 0, for every interval
// after it.
func (m *Manual) add(d, interval time.Duration, fire func(time.Duration)) (remove func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	m.events[id] = &manualEvent{due: m.now + d, interval: interval, fire: fire}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.events, id)
	}
}

// Subscribe returns a subscription that ticks every interval of this clock.
func (m *Manual) Subscribe(interval time.Duration) *Subscription {
	if interval <= 0 {
		panic("timer: interval must be positive")
	}
	sub := newSubscription(nil)
	// stop is set after the event was added, which is safe since deliver does not use it.
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

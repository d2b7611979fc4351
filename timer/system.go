package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead"
)

// Timer is a clock with periodic ticks and sleeps.
type Timer interface {
	lagoonhead.Clock
	// Subscribe returns a subscription that ticks every interval. It panics when
	// interval is not positive.
	Subscribe(interval time.Duration) *Subscription
	// Sleep waits for d. If ctx ends first, Sleep returns at once with the error of
	// ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// Subscription delivers ticks. A tick that has not been received when the next one is
// due is replaced by it, so a slow subscriber gets one late tick and no backlog.
type Subscription struct {
	ticks chan time.Duration
	stop  func()
	once  sync.Once
}

// C returns the channel of ticks. Each tick is the time since boot.
func (s *Subscription) C() <-chan time.Duration { return s.ticks }

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() { s.once.Do(s.stop) }

func newSubscription(stop func()) *Subscription {
	return &Subscription{ticks: make(chan time.Duration, 1), stop: stop}
}

func (s *Subscription) deliver(now time.Duration) {
	select {
	case <-s.ticks:
	default:
	}
	select {
	case s.ticks <- now:
	default:
	}
}

// System is a Timer based on the clocks of the operating system. Its zero value is
// ready to use.
type System struct{}

var _ Timer = (*System)(nil)

// Now returns the time since boot. It panics if CLOCK_BOOTTIME cannot be read.
func (s *System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall returns the wall time in UTC.
func (s *System) Wall() time.Time { return time.Now().UTC() }

// Subscribe returns a subscription that ticks every interval. It panics when interval
// is not positive.
func (s *System) Subscribe(interval time.Duration) *Subscription {
	t := time.NewTicker(interval)
	done := make(chan struct{})
	sub := newSubscription(func() { close(done) })
	go s.run(t, done, sub)
	return sub
}

func (s *System) run(t *time.Ticker, done <-chan struct{}, sub *Subscription) {
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			sub.deliver(s.Now())
		}
	}
}

// Sleep waits for d or until ctx ends. In the second case it returns the error of ctx.
func (s *System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package timer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a subscription that delivers more than one tick after a long pause.
func TestManualDeliversOneTickAfterALongPause(t *testing.T) {
	m := NewManual(0, time.Unix(0, 0))
	s := m.Subscribe(time.Second)
	defer s.Stop()
	m.Advance(10 * time.Second)
	require.Equal(t, 10*time.Second, <-s.C())
	select {
	case <-s.C():
		t.Fatal("one Advance delivered two ticks")
	default:
	}
	m.Advance(time.Second)
	require.Equal(t, 11*time.Second, <-s.C())
}

// Guards against ticks after Stop and a second Stop that panics.
func TestManualStop(t *testing.T) {
	m := NewManual(0, time.Unix(0, 0))
	s := m.Subscribe(time.Second)
	s.Stop()
	s.Stop()
	m.Advance(time.Minute)
	require.Empty(t, s.C())
}

// Guards against a sleep that ignores the end of its context.
func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tm := range []Timer{&System{}, NewManual(0, time.Unix(0, 0))} {
		require.ErrorIs(t, tm.Sleep(ctx, time.Hour), context.Canceled)
	}
}

// Guards against a clock that stands still or goes back.
func TestServiceNowMoves(t *testing.T) {
	s := &System{}
	a := s.Now()
	require.Positive(t, a)
	require.NoError(t, s.Sleep(context.Background(), time.Millisecond))
	require.Greater(t, s.Now(), a)
}

// Guards against a loop that does not call its function on a tick or does not return
// when its context ends.
func TestEvery(t *testing.T) {
	m := NewManual(0, time.Unix(0, 0))
	ctx, cancel := context.WithCancel(context.Background())
	calls := make(chan time.Duration)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Every(ctx, m, time.Second, func(now time.Duration) {
			select {
			case calls <- now:
			case <-ctx.Done():
			}
		})
	}()
	for want := time.Duration(0); want == 0; {
		m.Advance(time.Second)
		select {
		case want = <-calls:
		default:
		}
	}
	cancel()
	<-done
}

package overload

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against a backlog that no log line tells, and against lines for single late samples.
func TestBacklogsAreLogged(t *testing.T) {
	const long = 300 * time.Millisecond
	core, logs := observer.New(zap.InfoLevel)
	m := &Monitor{Guard: new(Guard), Log: zap.New(core)}
	for i, lag := range append([]time.Duration{long, 0, 0, long, 0, long, long, long}, make([]time.Duration, 100)...) {
		m.observe(time.Duration(i)*interval, lag)
	}
	var lines []string
	for _, l := range logs.All() {
		lines = append(lines, l.Message)
	}
	require.Equal(t, []string{"processor behind", "processor caught up"}, lines)
	require.EqualValues(t, 1, m.backlogs.Value())
	require.Zero(t, m.lag.Value())
}

// Guards against a lag that is not measured because goroutines that wait for input get no turn
// while others always have work, which delays no timer.
func TestTheLagOfInputIsMeasured(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p, err := newPipe(&timer.System{})
	require.NoError(t, err)
	defer p.close()
	ctx, cancel := context.WithCancel(t.Context())
	const others = 400
	var w sync.WaitGroup
	var ran atomic.Int64
	for range others {
		w.Go(func() {
			for first := true; ctx.Err() == nil; first = false {
				for end := time.Now().Add(time.Millisecond); time.Now().Before(end); {
				}
				if first {
					ran.Add(1)
				}
				runtime.Gosched()
			}
		})
	}
	// Once each has run, all are in the queue that the reader has to wait in.
	for ran.Load() < others {
		runtime.Gosched()
	}
	lag, err := p.delay()
	cancel()
	w.Wait()
	require.NoError(t, err)
	require.Greater(t, lag, target)
}

// Guards against requests that are refused because of one long pause of the process.
func TestAPauseIsNoBacklog(t *testing.T) {
	var g Guard
	for range 10 {
		g.Observe(0)
	}
	g.Observe(time.Minute)
	g.Observe(0)
	require.Zero(t, g.pressure)
	for range 3 {
		g.Observe(time.Second)
	}
	require.Greater(t, g.pressure, maxRefused)
}

// Guards against requests that are turned away although they are too few to be the cause of the
// lag, for example on a busy host.
func TestFewRequestsAreNotTurnedAway(t *testing.T) {
	var g Guard
	for range 10 {
		g.Observe(time.Second)
	}
	for range minUnderWay {
		require.False(t, g.refusesConnection(0))
		require.False(t, g.begin(0))
	}
	require.True(t, g.refusesConnection(0))
	require.True(t, g.begin(0))
	g.End()
	require.False(t, g.begin(0))
}

// Guards against a lag that is measured while there is nothing to protect, or not measured once
// there is.
func TestTheLagIsMeasuredWhileRequestsAreUnderWay(t *testing.T) {
	g := new(Guard)
	m := &Monitor{Guard: g, Timer: &timer.System{}, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	measured := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.samples) > 0
	}
	for range measuredFrom - 1 {
		require.NoError(t, g.Begin())
	}
	time.Sleep(5 * interval)
	require.False(t, measured())
	require.NoError(t, g.Begin())
	require.Eventually(t, measured, time.Minute, interval)
	for range measuredFrom {
		g.End()
	}
	require.Eventually(t, func() bool { return !measured() }, time.Minute, interval)
	cancel()
	require.NoError(t, <-done)
}

package overload

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead/timer"
)

// lateTimer ends each sleep late by the next of some delays, and calls done behind the last.
type lateTimer struct {
	*timer.Manual
	mu     sync.Mutex
	delays []time.Duration
	done   context.CancelFunc
}

func (t *lateTimer) Sleep(ctx context.Context, d time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.delays) == 0 {
		t.done()
		return ctx.Err()
	}
	t.Advance(d + t.delays[0])
	t.delays = t.delays[1:]
	return nil
}

// Guards against a backlog that no log line tells, and against lines for single late samples.
func TestBacklogsAreLogged(t *testing.T) {
	const long = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	late := &lateTimer{Manual: timer.NewManual(time.Hour, time.Now()), done: cancel}
	late.delays = []time.Duration{long, long, long, 0, long, long, long, long, 2 * long, 0}
	core, logs := observer.New(zap.InfoLevel)
	m := &Monitor{Guard: new(Guard), Timer: late, Log: zap.New(core)}
	require.NoError(t, m.Run(ctx))
	var lines []string
	for _, l := range logs.All() {
		lines = append(lines, l.Message)
	}
	require.Equal(t, []string{"processor behind", "processor caught up"}, lines)
	require.EqualValues(t, 1, m.backlogs.Value())
	require.Zero(t, m.lag.Value())
}

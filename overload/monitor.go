package overload

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead/timer"
)

// interval is the time between two samples of the lag.
const interval = 50 * time.Millisecond

// Monitor measures the lag of this process. Set the exported fields before Run.
type Monitor struct {
	Guard *Guard
	Timer timer.Timer
	// Log gets a line when a backlog begins and when it is gone.
	Log *zap.Logger

	behind   bool
	since    time.Duration
	greatest time.Duration // lag of this backlog

	lag      expvar.Float
	backlogs expvar.Int
}

// Vars returns the lag in seconds while it is measured (lagSeconds), the number of backlogs, and
// how many requests were refused because of them.
func (m *Monitor) Vars() *expvar.Map {
	v := new(expvar.Map)
	v.Set("lagSeconds", &m.lag)
	v.Set("backlogs", &m.backlogs)
	v.Set("refused", &m.Guard.refused)
	return v
}

// Run measures the lag until ctx ends. If that fails, the daemon goes on without protection.
func (m *Monitor) Run(ctx context.Context) error {
	p, err := newPipe(m.Timer)
	if err == nil {
		defer p.close()
		err = m.measure(ctx, p)
	}
	if err != nil {
		m.Log.Error("lag of the processor cannot be measured", zap.Error(err))
	}
	return nil
}

// measure measures the lag while the guard is busy. It costs a few system calls and wake-ups each
// time, so a VM with little to do is not measured.
func (m *Monitor) measure(ctx context.Context, p *pipe) error {
	busied := m.Guard.becomesBusy()
	for {
		if !m.Guard.isBusy() {
			m.lag.Set(0)
			select {
			case <-busied:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if m.Timer.Sleep(ctx, interval) != nil {
			return nil // ctx has ended
		}
		sample, err := p.delay()
		if err != nil {
			return err
		}
		m.observe(m.Timer.Now(), sample)
	}
}

func (m *Monitor) observe(now, sample time.Duration) {
	lag, behind := m.Guard.Observe(sample)
	m.lag.Set(lag.Seconds())
	switch {
	case behind && !m.behind:
		m.behind, m.since, m.greatest = true, now, lag
		m.backlogs.Add(1)
		m.Log.Warn("processor behind", zap.Duration("lag", lag))
	case !behind && m.behind:
		m.behind = false
		m.Log.Info("processor caught up", zap.Duration("after", now-m.since), zap.Duration("greatestLag", m.greatest))
	}
	m.greatest = max(m.greatest, lag)
}

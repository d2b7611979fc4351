package plan

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead/steer"
)

const (
	// demandHorizon smooths the demand, so that a few requests at once are no peak.
	demandHorizon = 1500 * time.Millisecond
	// peakLife is the time in which a peak of the demand falls to a third. It is some
	// changes of role long.
	peakLife = 20 * time.Second
	// fullBatch is the part of its slots at which a decoding engine counts as busy. Above
	// it each further request slows the others by more than it gains.
	fullBatch = 0.5
	// clearTime is the time in which prompts that wait shall be read. It is about the time
	// in which callers want their first event.
	clearTime = time.Second
)

// ShapeDemand is the load on a service, counted in engines: the peak of late.
type ShapeDemand struct {
	// Prefill and Decode are the engines that the load keeps busy.
	Prefill, Decode float64
	// Known is false before any load was seen.
	Known bool
}

// WorkSample is the work on a service at one time.
type WorkSample struct {
	// Sent counts the tokens sent for prefill so far, SentToRun the prompt tokens read
	// where the request runs.
	Sent, SentToRun int64
	// Backlog is the tokens that wait for prefill, Rate the speed of prefill in tokens
	// per second.
	Backlog int
	Rate    float64
	// Running counts the requests that decode, Slots those that one engine can run.
	Running, Slots int
}

// DemandMeter turns samples of the work into the demand. It keeps the peaks of both kinds
// of work: the load swings faster than an engine changes its role, so the roles must suit
// each of the mixes that alternate.
type DemandMeter struct {
	at      time.Duration
	sent    int64
	sentRun int64
	started bool
	mean    ShapeDemand
	peak    ShapeDemand
}

// Demand returns the newest demand.
func (m *DemandMeter) Demand() ShapeDemand { return m.peak }

// Observe takes a sample.
func (m *DemandMeter) Observe(now time.Duration, s WorkSample) {
	passed := now - m.at
	if m.started && passed > 0 && s.Rate > 0 {
		sent := float64(max(0, s.Sent-m.sent)) / passed.Seconds()
		sentRun := float64(max(0, s.SentToRun-m.sentRun)) / passed.Seconds()
		prefill := sent/s.Rate + float64(s.Backlog)/s.Rate/clearTime.Seconds()
		decode := steer.RunSlowdown*sentRun/s.Rate + float64(s.Running)/(fullBatch*float64(max(1, s.Slots)))
		m.take(passed, prefill, decode)
		m.peak.Known = m.peak.Known || sent+sentRun > 0
	}
	m.started, m.at, m.sent, m.sentRun = true, now, s.Sent, s.SentToRun
}

func (m *DemandMeter) take(passed time.Duration, prefill, decode float64) {
	w := 1 - math.Exp(-float64(passed)/float64(demandHorizon))
	m.mean.Prefill += w * (prefill - m.mean.Prefill)
	m.mean.Decode += w * (decode - m.mean.Decode)
	kept := math.Exp(-float64(passed) / float64(peakLife))
	m.peak.Prefill = max(m.mean.Prefill, kept*m.peak.Prefill)
	m.peak.Decode = max(m.mean.Decode, kept*m.peak.Decode)
}

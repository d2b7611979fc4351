package plan

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead/steer"
)

const (
	// demandHorizon is the time constant of the mean of the demand. It keeps a short burst
	// of a few requests from counting as a peak.
	demandHorizon = 1500 * time.Millisecond
	// peakDecayTime is the time constant with which a peak of the demand decays: it falls
	// to about a third in this time. An engine can change its role several times in it.
	peakDecayTime = 20 * time.Second
	// busySlotShare is the share of its slots at which a decoding engine counts as fully
	// busy. Above it each further request costs the others more throughput than it adds.
	busySlotShare = 0.5
	// backlogTime is the time in which queued prompts should be prefilled. It is about the
	// time to first token that callers expect.
	backlogTime = time.Second
)

// PeakDemand is the recent peak of the load on a service, measured in engines.
type PeakDemand struct {
	// Prefill and Decode are the numbers of engines that each phase keeps busy.
	Prefill, Decode float64
	// Known is false until load has been observed.
	Known bool
}

// WorkSample is the work on a service at one point in time.
type WorkSample struct {
	// SentToPrefill counts the prompt tokens sent so far to an engine that only prefills
	// them, SentToRun those sent to the engine that also decodes the request.
	SentToPrefill, SentToRun int64
	// Backlog is the number of tokens queued for prefill, Rate the speed of prefill in
	// tokens per second.
	Backlog int
	Rate    float64
	// Running counts the requests that decode, Slots those that one engine can run at a
	// time.
	Running, Slots int
}

// DemandMeter computes the demand from samples of the work. It keeps the peaks of prefill
// and decode separately: the mix of the load changes faster than an engine can change its
// role, so the roles must suit each of the alternating mixes.
type DemandMeter struct {
	sampledAt     time.Duration
	sentToPrefill int64
	sentToRun     int64
	started       bool
	mean          PeakDemand
	peak          PeakDemand
}

// Demand returns the demand as of the last sample.
func (m *DemandMeter) Demand() PeakDemand { return m.peak }

// Observe adds a sample taken at now.
func (m *DemandMeter) Observe(now time.Duration, s WorkSample) {
	elapsed := now - m.sampledAt
	if m.started && elapsed > 0 && s.Rate > 0 {
		sentToPrefill := float64(max(0, s.SentToPrefill-m.sentToPrefill)) / elapsed.Seconds()
		sentToRun := float64(max(0, s.SentToRun-m.sentToRun)) / elapsed.Seconds()
		prefill := sentToPrefill/s.Rate + float64(s.Backlog)/s.Rate/backlogTime.Seconds()
		decode := steer.RunSlowdown*sentToRun/s.Rate + float64(s.Running)/(busySlotShare*float64(max(1, s.Slots)))
		m.update(elapsed, prefill, decode)
		m.peak.Known = m.peak.Known || sentToPrefill+sentToRun > 0
	}
	m.started, m.sampledAt, m.sentToPrefill, m.sentToRun = true, now, s.SentToPrefill, s.SentToRun
}

func (m *DemandMeter) update(elapsed time.Duration, prefill, decode float64) {
	w := 1 - math.Exp(-float64(elapsed)/float64(demandHorizon))
	m.mean.Prefill += w * (prefill - m.mean.Prefill)
	m.mean.Decode += w * (decode - m.mean.Decode)
	decay := math.Exp(-float64(elapsed) / float64(peakDecayTime))
	m.peak.Prefill = max(m.mean.Prefill, decay*m.peak.Prefill)
	m.peak.Decode = max(m.mean.Decode, decay*m.peak.Decode)
}

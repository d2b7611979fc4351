package main

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	// A fault lasts from faultStart to faultEnd.
	faultStart = 60 * time.Second
	faultEnd   = 180 * time.Second
	// An engine that crashes repeatedly does so every crashInterval and is down for
	// crashDowntime each time.
	crashInterval = 12 * time.Second
	crashDowntime = 6 * time.Second
)

// healthHider is a policy that picks without knowing the health of engines, as a
// baseline.
type healthHider struct {
	lagoonhead.RoutePolicy
	states []lagoonhead.EngineState
}

// Pick calls the wrapped policy with states that show no failures and no slowdowns.
func (h *healthHider) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	h.states = append(h.states[:0], es...)
	for i := range h.states {
		s := &h.states[i]
		s.Failures, s.Probing, s.Slowdown = 0, false, 1
	}
	return h.RoutePolicy.Pick(now, r, h.states)
}

// faultExperiments returns the experiments of round e, one for each kind of fault.
func faultExperiments() []experiment {
	faults := []struct {
		title, description string
		prepare            func(*sim)
	}{
		{"An engine crashes again and again", "One engine of twelve crashes every 12 s for two minutes and is away for 6 s each time.", crashRepeatedly},
		{"An engine slows to a tenth", "One engine of twelve runs at a tenth of its speed for two minutes.", slowDown},
		{"An engine reports stale load", "One engine of twelve reports that it is idle for two minutes, whatever it runs.", reportIdle},
		{"An engine hangs", "One engine of twelve takes requests, computes nothing and sends no reports for two minutes.", hang},
	}
	experiments := make([]experiment, 0, len(faults))
	for _, f := range faults {
		experiments = append(experiments, experiment{f.title, f.description, func() scenario {
			c := steadyScenario()
			c.classes = mix(3, 7, 2)
			c.prepare = f.prepare
			return c
		}, healthVariants(), []metric{
			{"goodput during the fault", faultGoodput}, {"goodput", goodput}, {"p95 first token (s)", firstTokenP95},
		}})
	}
	return experiments
}

// healthVariants returns the default policy with and without the health of engines,
// and two baselines.
func healthVariants() []variant {
	return []variant{
		{"predicted", func(*scenario) {}},
		{"predictedWithoutHealth", func(c *scenario) { c.hideHealth = true }},
		{"leastOutstanding", func(c *scenario) { c.policy = route.LeastOutstanding }},
		{"roundRobin", func(c *scenario) { c.policy = route.RoundRobin }},
	}
}

func crashRepeatedly(s *sim) {
	for at := faultStart; at < faultEnd; at += crashInterval {
		s.after(at, func() { s.crash(s.engines[0], crashDowntime) })
	}
}

func slowDown(s *sim) {
	s.after(faultStart, func() { s.engines[0].speed = 0.1 })
	s.after(faultEnd, func() { s.engines[0].speed = 1 })
}

func reportIdle(s *sim) {
	s.after(faultStart, func() { s.engines[0].reportsIdle = true })
	s.after(faultEnd, func() { s.engines[0].reportsIdle = false })
}

func hang(s *sim) {
	s.after(faultStart, func() { s.engines[0].speed, s.engines[0].reportsStopped = 0, true })
	s.after(faultEnd, func() { s.engines[0].speed, s.engines[0].reportsStopped = 1, false })
}

// faultGoodput returns the goodput of the calls that arrived during the fault.
func faultGoodput(_ *sim, cs []*call) float64 {
	return goodput(nil, slices.DeleteFunc(slices.Clone(cs), func(c *call) bool {
		return c.request.Arrived() < faultStart || c.request.Arrived() >= faultEnd
	}))
}

package main

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	// faultAt and faultEnd bound the time of a fault.
	faultAt  = 60 * time.Second
	faultEnd = 180 * time.Second
	// crashEvery and crashFor describe an engine that crashes again and again.
	crashEvery = 12 * time.Second
	crashFor   = 6 * time.Second
)

// blind hides the health of engines from a policy.
type blind struct {
	lagoonhead.RoutePolicy
	states []lagoonhead.EngineState
}

// Pick shows the policy engines without failures or slowdowns.
func (b *blind) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	b.states = append(b.states[:0], es...)
	for i := range b.states {
		s := &b.states[i]
		s.Failures, s.Probing, s.Slowdown = 0, false, 1
	}
	return b.RoutePolicy.Pick(now, r, b.states)
}

// faultParts are the parts of round e.
func faultParts() []part {
	faults := []struct {
		title, about string
		prepare      func(*sim)
	}{
		{"An engine crashes again and again", "One engine of twelve crashes every 12 s for two minutes and is away for 6 s each time.", crashing},
		{"An engine slows to a tenth", "One engine of twelve runs at a tenth of its speed for two minutes.", slowing},
		{"An engine reports stale load", "One engine of twelve reports that it is idle for two minutes, whatever it runs.", lying},
		{"An engine hangs", "One engine of twelve takes requests, computes nothing and sends no reports for two minutes.", hanging},
	}
	parts := make([]part, 0, len(faults))
	for _, f := range faults {
		parts = append(parts, part{f.title, f.about, func() scenario {
			c := steadyScenario()
			c.classes = mix(3, 7, 2)
			c.prepare = f.prepare
			return c
		}, healthVariants(), []figure{
			{"goodput during the fault", faultGoodput}, {"goodput", goodput}, {"p95 first token (s)", firstTokenP95},
		}})
	}
	return parts
}

func healthVariants() []variant {
	return []variant{
		{"predicted", func(*scenario) {}},
		{"predictedWithoutHealth", func(c *scenario) { c.blind = true }},
		{"leastOutstanding", func(c *scenario) { c.policy = route.LeastOutstanding }},
		{"roundRobin", func(c *scenario) { c.policy = route.RoundRobin }},
	}
}

func crashing(s *sim) {
	for at := faultAt; at < faultEnd; at += crashEvery {
		s.after(at, func() { s.crash(s.engines[0], crashFor) })
	}
}

func slowing(s *sim) {
	s.after(faultAt, func() { s.engines[0].speed = 0.1 })
	s.after(faultEnd, func() { s.engines[0].speed = 1 })
}

func lying(s *sim) {
	s.after(faultAt, func() { s.engines[0].silent = true })
	s.after(faultEnd, func() { s.engines[0].silent = false })
}

func hanging(s *sim) {
	s.after(faultAt, func() { s.engines[0].speed, s.engines[0].mute = 0, true })
	s.after(faultEnd, func() { s.engines[0].speed, s.engines[0].mute = 1, false })
}

// faultGoodput is the goodput of the calls that arrived during the fault.
func faultGoodput(_ *sim, cs []*call) float64 {
	return goodput(nil, slices.DeleteFunc(slices.Clone(cs), func(c *call) bool {
		return c.request.Arrived() < faultAt || c.request.Arrived() >= faultEnd
	}))
}

package main

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/plan"
)

const (
	// planInterval is how often the planners look.
	planInterval = 5 * time.Second
	// confirmTime passes until all daemons know that an engine is leaving.
	confirmTime = 500 * time.Millisecond
	// changeTime is the time that an engine takes for a change of its role.
	changeTime = 5 * time.Second
	// drainTime is the time that running answers take to end, as the planner expects.
	drainTime = 10 * time.Second
	// decodeRate is the output of an engine in tokens per second at half of its slots.
	decodeRate = slots / 2 / (stepFixed + stepPerSequence*slots/2)
)

// demand counts the tokens that arrived, urgent and deferrable ones apart.
type demand struct {
	prompt, output           float64
	laterPrompt, laterOutput float64
	// uncached and placed give the share of prompts that had to be computed.
	uncached, placed float64
}

func (d *demand) arrived(c *call) {
	if c.request.Priority() == lagoonhead.PriorityDeferrable {
		d.laterPrompt += float64(c.request.PromptTokens())
		d.laterOutput += float64(c.output)
		return
	}
	d.prompt += float64(c.request.PromptTokens())
	d.output += float64(c.output)
}

func (d *demand) dispatched(c *call, choice lagoonhead.Choice) {
	d.placed += float64(c.request.PromptTokens())
	d.uncached += float64(choice.Uncached)
}

// take returns the work per second in engines, over the time since the last call.
func (d *demand) take(over time.Duration) (urgent, deferrable plan.Work) {
	miss := 1.0
	if d.placed > 0 {
		miss = d.uncached / d.placed
	}
	t := over.Seconds()
	urgent = plan.Work{Prefill: d.prompt * miss / prefillRate / t, Decode: d.output / decodeRate / t}
	deferrable = plan.Work{Prefill: d.laterPrompt / prefillRate / t, Decode: d.laterOutput / decodeRate / t}
	*d = demand{}
	return urgent, deferrable
}

// startRoles runs the planner of roles.
func (s *sim) startRoles() {
	p := &plan.Roles{OutFor: confirmTime + drainTime + changeTime}
	var look func()
	look = func() {
		s.after(planInterval, look)
		urgent, deferrable := s.demand.take(planInterval)
		p.Observe(s.now, plan.Work{Prefill: urgent.Prefill + deferrable.Prefill, Decode: urgent.Decode + deferrable.Decode})
		es := make([]plan.Engine, 0, len(s.engines))
		for _, e := range s.engines {
			es = append(es, plan.Engine{ID: e.endpoint.ID(), FailureDomain: e.endpoint.FailureDomain(),
				Role: e.endpoint.Role(), Changing: e.changing})
		}
		for _, c := range p.Plan(s.now, es) {
			s.changeRole(c)
		}
	}
	s.after(planInterval, look)
}

// changeRole drains the engine, takes it out and brings it back with its new role.
func (s *sim) changeRole(c plan.RoleChange) {
	i, _ := s.daemons[0].table.Place(c.Engine)
	e := s.engines[i]
	s.changes++
	e.changing = true
	e.endpoint = e.endpoint.WithRole(c.To)
	s.announce(e.endpoint.WithLeaving(true))
	s.after(confirmTime, func() { s.drained(e) })
}

// drained waits until nothing runs on the engine.
func (s *sim) drained(e *engine) {
	const look = 100 * time.Millisecond
	if s.inFlight(e) > 0 {
		s.after(look, func() { s.drained(e) })
		return
	}
	e.down = true
	s.after(changeTime, func() {
		e.down, e.changing = false, false
		e.role = e.endpoint.Role()
		s.announce(e.endpoint)
	})
}

func (s *sim) inFlight(e *engine) int {
	n := 0
	for _, d := range s.daemons {
		i, _ := d.table.Place(e.endpoint.ID())
		n += d.table.States()[i].InFlight
	}
	return n
}

// announce tells all daemons of an endpoint.
func (s *sim) announce(e lagoonhead.Endpoint) {
	for _, d := range s.daemons {
		d.table.Put(e)
	}
}

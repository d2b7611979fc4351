package main

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/plan"
)

const (
	// planInterval is the time between two runs of the role planner.
	planInterval = 5 * time.Second
	// confirmTime is the time until all daemons know that an engine is leaving.
	confirmTime = 500 * time.Millisecond
	// roleChangeTime is the time that a drained engine takes to change its role.
	roleChangeTime = 5 * time.Second
	// drainTime is the time that the planner expects a drain to take.
	drainTime = 10 * time.Second
	// decodeRate is the output of an engine in tokens per second with half of its slots
	// in use.
	decodeRate = slots / 2 / (decodeStepFixed + decodeStepPerSequence*slots/2)
)

// demand counts the tokens of arrived calls since the planner last ran.
type demand struct {
	// prompt and output count the calls that are not deferrable.
	prompt, output                     float64
	deferrablePrompt, deferrableOutput float64
	// uncached is the number of prompt tokens to prefill among the prompt tokens that
	// were dispatched.
	uncached, dispatched float64
}

func (d *demand) addArrived(c *call) {
	if c.request.Priority() == lagoonhead.PriorityDeferrable {
		d.deferrablePrompt += float64(c.request.PromptTokens())
		d.deferrableOutput += float64(c.output)
		return
	}
	d.prompt += float64(c.request.PromptTokens())
	d.output += float64(c.output)
}

func (d *demand) addDispatched(c *call, choice lagoonhead.Choice) {
	d.dispatched += float64(c.request.PromptTokens())
	d.uncached += float64(choice.Uncached)
}

// takeWork returns the mean work since the last call, in engines, and resets the
// counts. over is the time since the last call. Prefill of urgent calls is reduced by
// the hit rate of the prefix caches.
func (d *demand) takeWork(over time.Duration) (urgent, deferrable plan.Work) {
	miss := 1.0
	if d.dispatched > 0 {
		miss = d.uncached / d.dispatched
	}
	t := over.Seconds()
	urgent = plan.Work{Prefill: d.prompt * miss / prefillRate / t, Decode: d.output / decodeRate / t}
	deferrable = plan.Work{Prefill: d.deferrablePrompt / prefillRate / t, Decode: d.deferrableOutput / decodeRate / t}
	*d = demand{}
	return urgent, deferrable
}

// startRoles schedules the role planner.
func (s *sim) startRoles() {
	p := &plan.RolePlanner{OutageTime: confirmTime + drainTime + roleChangeTime}
	var runPlanner func()
	runPlanner = func() {
		s.after(planInterval, runPlanner)
		urgent, deferrable := s.demand.takeWork(planInterval)
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
	s.after(planInterval, runPlanner)
}

// changeRole drains the engine, takes it down for the change and brings it back with
// its new role.
func (s *sim) changeRole(c plan.RoleChange) {
	i, _ := s.daemons[0].table.Index(c.Engine)
	e := s.engines[i]
	s.roleChanges++
	e.changing = true
	e.endpoint = e.endpoint.WithRole(c.To)
	s.announce(e.endpoint.WithLeaving(true))
	s.after(confirmTime, func() { s.finishRoleChange(e) })
}

// finishRoleChange changes the role of the engine once it has no requests in flight.
func (s *sim) finishRoleChange(e *engine) {
	const checkInterval = 100 * time.Millisecond
	if s.inFlight(e) > 0 {
		s.after(checkInterval, func() { s.finishRoleChange(e) })
		return
	}
	e.down = true
	s.after(roleChangeTime, func() {
		e.down, e.changing = false, false
		e.role = e.endpoint.Role()
		s.announce(e.endpoint)
	})
}

// inFlight returns the number of requests that all daemons have on the engine.
func (s *sim) inFlight(e *engine) int {
	n := 0
	for _, d := range s.daemons {
		i, _ := d.table.Index(e.endpoint.ID())
		n += d.table.States()[i].InFlight
	}
	return n
}

// announce adds or updates the endpoint in the tables of all daemons.
func (s *sim) announce(e lagoonhead.Endpoint) {
	for _, d := range s.daemons {
		d.table.Put(e)
	}
}

package main

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/route"
)

// rounds returns the sections of the page.
func rounds() []round {
	routing := []metric{{"goodput", goodput}, {"p95 first token (s)", firstTokenP95}}
	return []round{
		{"a", "routing", []experiment{
			{"Steady mix", "12 engines, 6 daemons, load reports 150 ms old, 5% of the cache events lost.",
				steadyScenario, policyVariants(), routing},
			{"Lagging reports", "The same load with 12 daemons and load reports 2 s old.",
				laggingScenario, policyVariants(), routing},
		}},
		{"b", "fairness", []experiment{
			{"One workspace at ten times its rate", "The steady fleet at 0.7 of its load, five workspaces; the first one sends ten times its share.",
				hotScenario, queueVariants(), []metric{
					{"worst goodput within its rate", worstGoodput}, {"goodput of all", goodput},
					{"goodput of the hot one", hotGoodput},
				}},
		}},
		{"c", "mix shift", shiftExperiments()},
		{"d", "cost", []experiment{
			{"Deferrable work and reclaimable engines", "Twelve firm engines at the start, a third of the load deferrable. Failure domain b never has reclaimable engines, all reclaimable engines of c are lost at 200 s and it gives none for 90 s; a new engine loads weights for 40 s. Engines cost 3 (firm) and 1 (reclaimable) units per hour.",
				costScenario, supplyVariants(), []metric{
					{"goodput", goodput}, {"goodput 60 s from the reclaim", reclaimGoodput}, {"units per hour", costPerHour},
					{"deferrable done", deferrableDone}, {"deferrable on reclaimable", deferrableReclaimable},
				}},
		}},
		{"e", "self-repair", faultExperiments()},
	}
}

// policyVariants returns the routing policies, the default first. The policy
// staticRoles is left out: it differs only where engines have roles, and round c
// measures it.
func policyVariants() []variant {
	names := []string{route.Predicted, route.RoundRobin, route.LeastOutstanding, route.NoAffinity}
	vs := make([]variant, 0, len(names))
	for _, n := range names {
		vs = append(vs, variant{n, func(c *scenario) { c.policy = n }})
	}
	return vs
}

// steadyScenario has twelve engines under a constant load near their capacity.
func steadyScenario() scenario {
	return scenario{
		length: 240 * time.Second, warmUp: 20 * time.Second, classes: mix(4, 10, 2),
		daemons: 6, engines: fleet(12), reportLag: 150 * time.Millisecond,
		eventLag: time.Second, eventLoss: 0.05, policy: route.Predicted,
	}
}

// laggingScenario has load reports that are two seconds old, and more daemons.
func laggingScenario() scenario {
	c := steadyScenario()
	c.reportLag = 2 * time.Second
	c.daemons = 12
	return c
}

// hotWorkspace sends hotFactor times as many requests as each other workspace.
const (
	hotWorkspace = lagoonhead.WorkspaceID("0")
	hotFactor    = 10
)

// hotScenario has the five workspaces of steadyScenario at 0.7 of their rates, but for
// hotWorkspace, which sends hotFactor times as much as each other one.
func hotScenario() scenario {
	c := steadyScenario()
	const workspaces, load = 5, 0.7
	factor := load * (hotFactor + workspaces - 1) / workspaces
	c.classes = mix(4*factor, 10*factor, 2*factor)
	for i := range c.classes {
		c.classes[i].hotWeight = hotFactor
	}
	return c
}

// queueVariants returns the orders in which waiting requests are dispatched.
func queueVariants() []variant {
	return []variant{
		{"fair", func(c *scenario) { c.queueOrder = fair.VirtualCounters }},
		{"firstComeFirstServed", func(c *scenario) { c.queueOrder = fair.FirstComeFirstServed }},
	}
}

// shiftExperiments returns the experiments of round c, one for each way in which the
// prefill share of the load changes.
func shiftExperiments() []experiment {
	const period = 2 * time.Minute
	ramp := func(t time.Duration) float64 { return min(max(float64(t-time.Minute)/float64(period), 0), 1) }
	shapes := []struct {
		title    string
		position func(time.Duration) float64
	}{
		{"Prefill share up", ramp},
		{"Prefill share down", func(t time.Duration) float64 { return 1 - ramp(t) }},
		{"Prefill share oscillating every two minutes", func(t time.Duration) float64 {
			return (1 - math.Cos(2*math.Pi*float64(t)/float64(period))) / 2
		}},
	}
	experiments := make([]experiment, 0, len(shapes))
	for _, s := range shapes {
		experiments = append(experiments, experiment{
			s.title, "Six engines for prefill and six for decode at the start; requests are handed over after their prefill. The prefill share of the work moves between about 0.35 and 0.6.",
			func() scenario { return shiftScenario(s.position) }, steeringVariants(),
			[]metric{{"goodput", goodput}, {"p95 first token (s)", firstTokenP95}, {"role changes", roleChanges}},
		})
	}
	return experiments
}

// shiftScenario moves between a load of mostly chat and one of mostly reading.
// position returns where the load is between the two: 0 is chat, 1 reading.
func shiftScenario(position func(time.Duration) float64) scenario {
	c := steadyScenario()
	c.length = 6 * time.Minute
	c.split = true
	c.classes = mix(0, 0, 1)
	c.classes[0].rate = func(t time.Duration) float64 { return 1.5 + 5.5*position(t) }
	c.classes[1].rate = func(t time.Duration) float64 { return 15 - 12*position(t) }
	for i := range c.engines {
		r := lagoonhead.RolePrefill
		if i >= len(c.engines)/2 {
			r = lagoonhead.RoleDecode
		}
		c.engines[i] = c.engines[i].WithRole(r)
	}
	return c
}

// steeringVariants returns the ways to adapt to a shift of the load: by routing that
// may use engines outside their role, by role changes, by both or by neither.
func steeringVariants() []variant {
	return []variant{
		{"both", func(c *scenario) { c.changeRoles = true }},
		{"softSteering", func(*scenario) {}},
		{"roleChanges", func(c *scenario) { c.policy, c.changeRoles = route.StaticRoles, true }},
		{"staticRoles", func(c *scenario) { c.policy = route.StaticRoles }},
	}
}

// roleChanges returns the number of role changes of the run.
func roleChanges(s *sim, _ []*call) float64 { return float64(s.roleChanges) }

// costScenario has a third of its load deferrable and engines with a price.
func costScenario() scenario {
	c := steadyScenario()
	c.length = 6 * time.Minute
	c.classes = mix(2.5, 6, 8)
	for i := range c.engines {
		c.engines[i] = c.engines[i].WithPrice(firmPrice)
	}
	return c
}

// supplyVariants returns the ways to order engines.
func supplyVariants() []variant {
	firm, cheap := lagoonhead.SupplyFirm, lagoonhead.SupplyReclaimable
	planned := func() *plan.SupplyPlanner { return &plan.SupplyPlanner{BootTime: loadTime, MaxLoading: maxLoading} }
	return []variant{
		{"planned", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(planned(), firm, cheap) } }},
		{"plannedFirmOnly", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(planned(), firm) } }},
		{"cheapFirst", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(&cheapFirst{}, firm, cheap) } }},
		{"fixedFirm", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(&plan.SupplyPlanner{}) } }},
	}
}

// costPerHour returns the mean total price of the engines in units per hour.
func costPerHour(s *sim, _ []*call) float64 { return s.supply.cost / (s.length - s.warmUp).Hours() }

// reclaimGoodput returns the goodput of calls that arrived in the minute after the
// reclaim.
func reclaimGoodput(_ *sim, cs []*call) float64 {
	var affected []*call
	for _, c := range cs {
		if at := c.request.Arrived(); at >= reclaimAt && at < reclaimAt+time.Minute {
			affected = append(affected, c)
		}
	}
	return goodput(nil, affected)
}

// deferrableDone returns the share of deferrable calls that were answered before the
// run ended.
func deferrableDone(_ *sim, cs []*call) float64 { return share(cs, func(*call) bool { return true }) }

// deferrableReclaimable returns the share of deferrable calls that reclaimable engines
// answered.
func deferrableReclaimable(_ *sim, cs []*call) float64 {
	return share(cs, func(c *call) bool { return c.supply == lagoonhead.SupplyReclaimable })
}

// share returns the share of deferrable calls that were answered and for which
// counts returns true.
func share(cs []*call, counts func(*call) bool) float64 {
	n, done := 0, 0
	for _, c := range cs {
		if c.request.Priority() != lagoonhead.PriorityDeferrable {
			continue
		}
		n++
		if c.ended > 0 && counts(c) {
			done++
		}
	}
	return float64(done) / float64(n)
}

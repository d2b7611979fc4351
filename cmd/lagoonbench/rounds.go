package main

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/route"
)

// rounds lists the sections of the page.
func rounds() []round {
	routing := []figure{{"goodput", goodput}, {"p95 first token (s)", firstTokenP95}}
	return []round{
		{"a", "routing", []part{
			{"Steady mix", "12 engines, 6 daemons, load reports 150 ms old, 5% of the cache events lost.",
				steadyScenario, policies(), routing},
			{"Lagging reports", "The same load with 12 daemons and load reports 2 s old.",
				laggingScenario, policies(), routing},
		}},
		{"b", "fairness", []part{
			{"One workspace at ten times its rate", "The steady fleet at 0.7 of its load, five workspaces; the first one sends ten times its share.",
				hotScenario, queues(), []figure{
					{"worst goodput within its rate", worstGoodput}, {"goodput of all", goodput},
					{"goodput of the hot one", hotGoodput},
				}},
		}},
		{"c", "mix shift", shifts()},
		{"d", "cost", []part{
			{"Deferrable work and reclaimable engines", "Twelve firm engines at the start, a third of the load deferrable. Failure domain b never has reclaimable engines, all reclaimable engines of c are lost at 200 s and it gives none for 90 s; a new engine loads weights for 40 s. Engines cost 3 (firm) and 1 (reclaimable) units per hour.",
				costScenario, supplies(), []figure{
					{"goodput", goodput}, {"goodput 60 s from the reclaim", reclaimGoodput}, {"units per hour", spend},
					{"deferrable done", laterDone}, {"deferrable on reclaimable", laterCheap},
				}},
		}},
		{"e", "self-repair", faultParts()},
	}
}

// policies are the routing policies with the default first. staticRoles differs only
// where engines have roles, which round c measures.
func policies() []variant {
	names := []string{route.Predicted, route.RoundRobin, route.LeastOutstanding, route.NoAffinity}
	vs := make([]variant, 0, len(names))
	for _, n := range names {
		vs = append(vs, variant{n, func(c *scenario) { c.policy = n }})
	}
	return vs
}

// steadyScenario is twelve engines under an even mix near their capacity.
func steadyScenario() scenario {
	return scenario{
		length: 240 * time.Second, warmUp: 20 * time.Second, classes: mix(4, 10, 2),
		daemons: 6, engines: fleet(12), lag: 150 * time.Millisecond,
		eventLag: time.Second, eventLoss: 0.05, policy: route.Predicted,
	}
}

// laggingScenario has reports that are two seconds old.
func laggingScenario() scenario {
	c := steadyScenario()
	c.lag = 2 * time.Second
	c.daemons = 12
	return c
}

// hotWorkspace sends hotFactor times what each other workspace does.
const (
	hotWorkspace = lagoonhead.WorkspaceID("0")
	hotFactor    = 10
)

// hotScenario is 0.7 of the steady load with one workspace at ten times its rate.
func hotScenario() scenario {
	c := steadyScenario()
	const workspaces, load = 5, 0.7
	more := load * (hotFactor + workspaces - 1) / workspaces
	c.classes = mix(4*more, 10*more, 2*more)
	for i := range c.classes {
		c.classes[i].hot = hotFactor
	}
	return c
}

// queues are the orders of waiting requests.
func queues() []variant {
	return []variant{
		{"fair", func(c *scenario) { c.order = fair.VirtualCounters }},
		{"firstComeFirstServed", func(c *scenario) { c.order = fair.FirstComeFirstServed }},
	}
}

// shifts are the parts of round c.
func shifts() []part {
	const two = 2 * time.Minute
	ramp := func(t time.Duration) float64 { return min(max(float64(t-time.Minute)/float64(two), 0), 1) }
	moves := []struct {
		title string
		high  func(time.Duration) float64
	}{
		{"Prefill share up", ramp},
		{"Prefill share down", func(t time.Duration) float64 { return 1 - ramp(t) }},
		{"Prefill share oscillating every two minutes", func(t time.Duration) float64 {
			return (1 - math.Cos(2*math.Pi*float64(t)/float64(two))) / 2
		}},
	}
	parts := make([]part, 0, len(moves))
	for _, m := range moves {
		parts = append(parts, part{
			m.title, "Six engines for prefill and six for decode at the start; requests are handed over after their prefill. The prefill share of the work moves between about 0.35 and 0.6.",
			func() scenario { return shiftScenario(m.high) }, steering(),
			[]figure{{"goodput", goodput}, {"p95 first token (s)", firstTokenP95}, {"role changes", roleChanges}},
		})
	}
	return parts
}

// shiftScenario moves between many chats and many readings; high is the share of the
// way.
func shiftScenario(high func(time.Duration) float64) scenario {
	c := steadyScenario()
	c.length = 6 * time.Minute
	c.split = true
	c.classes = mix(0, 0, 1)
	c.classes[0].rate = func(t time.Duration) float64 { return 1.5 + 5.5*high(t) }
	c.classes[1].rate = func(t time.Duration) float64 { return 15 - 12*high(t) }
	for i := range c.engines {
		r := lagoonhead.RolePrefill
		if i >= len(c.engines)/2 {
			r = lagoonhead.RoleDecode
		}
		c.engines[i] = c.engines[i].WithRole(r)
	}
	return c
}

// steering are the ways to meet a shift.
func steering() []variant {
	return []variant{
		{"both", func(c *scenario) { c.changeRoles = true }},
		{"softSteering", func(*scenario) {}},
		{"roleChanges", func(c *scenario) { c.policy, c.changeRoles = route.StaticRoles, true }},
		{"staticRoles", func(c *scenario) { c.policy = route.StaticRoles }},
	}
}

// roleChanges is the number of changes.
func roleChanges(s *sim, _ []*call) float64 { return float64(s.changes) }

// costScenario has much deferrable work.
func costScenario() scenario {
	c := steadyScenario()
	c.length = 6 * time.Minute
	c.classes = mix(2.5, 6, 8)
	for i := range c.engines {
		c.engines[i] = c.engines[i].WithPrice(firmPrice)
	}
	return c
}

// supplies are the ways to order endpoints.
func supplies() []variant {
	firm, cheap := lagoonhead.SupplyFirm, lagoonhead.SupplyReclaimable
	planned := func() *plan.Supplies { return &plan.Supplies{LoadFor: loadTime, MostLoading: mostLoading} }
	return []variant{
		{"planned", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(planned(), firm, cheap) } }},
		{"plannedFirmOnly", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(planned(), firm) } }},
		{"cheapFirst", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(&cheapFirst{}, firm, cheap) } }},
		{"fixedFirm", func(c *scenario) { c.prepare = func(s *sim) { s.startSupply(&plan.Supplies{}) } }},
	}
}

// spend is the mean price of all engines in units per hour.
func spend(s *sim, _ []*call) float64 { return s.supply.spent / (s.length - s.warmUp).Hours() }

// reclaimGoodput is the goodput of calls that arrived within a minute of the reclaim.
func reclaimGoodput(_ *sim, cs []*call) float64 {
	var near []*call
	for _, c := range cs {
		if at := c.request.Arrived(); at >= reclaimAt && at < reclaimAt+time.Minute {
			near = append(near, c)
		}
	}
	return goodput(nil, near)
}

// laterDone is the share of deferrable calls that were answered by the end.
func laterDone(_ *sim, cs []*call) float64 { return later(cs, func(*call) bool { return true }) }

// laterCheap is the share of deferrable calls that reclaimable engines answered.
func laterCheap(_ *sim, cs []*call) float64 {
	return later(cs, func(c *call) bool { return c.supply == lagoonhead.SupplyReclaimable })
}

func later(cs []*call, counts func(*call) bool) float64 {
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

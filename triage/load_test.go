package triage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// The engines and VMs of the simulation. Engines prefill in the order of the urgency values, in
// chunks. VMs know the queues as they were when the last report was made.
const (
	simSeeds      = 2
	simEngines    = 8
	simVMs        = 58
	simRate       = 64.2 // tokens per ms and engine
	simReports    = 500 * time.Millisecond
	simStep       = 4 * time.Millisecond
	floodFrom     = 60 * time.Second // a VM knows what is usual by then
	simObjective  = 600 * time.Millisecond
	simDecodes    = 100 * time.Millisecond // from the end of the prefill to the first event
	simPatience   = 2400 * time.Millisecond
	simHandOver   = 20 * time.Millisecond
	simRoundTrips = 2 * time.Millisecond
)

// simLoad is a load. Rates are requests a second of all VMs.
type simLoad struct {
	long, short float64
	// factor multiplies the rates at a time.
	factor func(at time.Duration) float64
	// flood is the factor of the rate of workspace 0 from floodFrom on; 0 means that the load ends then.
	flood float64
	// floodTime is how long the flood lasts.
	floodTime time.Duration
	// atOnce makes callers come back at once, whatever Retry-After says.
	atOnce bool
}

const simWorkspaces = 71

// simResult counts requests by outcome.
type simResult struct{ all, inTime, served, yielded, inVain float64 }

func (r simResult) worth() float64 { return (r.inTime + (r.served-r.inTime)/3) / r.all }

func (r simResult) String() string {
	return fmt.Sprintf("in time %.3f, served %.3f, worth %.3f, sent in vain %.3f of %.0f", r.inTime/r.all, r.served/r.all, r.worth(), r.inVain/r.all, r.all)
}

// simRequest is a request with the state of its newest attempt.
type simRequest struct {
	Prompt
	arrived, sent time.Duration
	vm, engine    int
	workspace     int
	decision      Decision
	left          float64 // tokens
	retryAt       time.Duration
}

// simulation plays a load with the unchanged policy or with a Judge for each VM.
type simulation struct {
	load simLoad
	// rng draws arrivals, so that they are the same with both policies, and chance all else.
	rng, chance *rand.Rand
	judges      []*Judge // nil for the unchanged policy
	queues      [simEngines][]*simRequest
	reported    [simEngines]float64
	// own are the tokens that each VM has sent since the report.
	own       [simVMs][simEngines]float64
	returning []*simRequest
	results   map[string]*simResult
}

// play plays a load with some seeds and returns the results by kind and, from the time of a flood on,
// by whose the requests are.
func play(load simLoad, judged bool) map[string]*simResult {
	sum := map[string]*simResult{"long": {}, "short": {}, "others' long": {}, "others' short": {}, "flood": {}}
	for seed := range uint64(simSeeds) {
		playSeed(load, judged, seed, sum)
	}
	return sum
}

func playSeed(load simLoad, judged bool, seed uint64, results map[string]*simResult) {
	s := &simulation{load: load, rng: rand.New(rand.NewPCG(seed, 2)), chance: rand.New(rand.NewPCG(seed, 3)), results: results}
	if judged {
		for range simVMs {
			s.judges = append(s.judges, &Judge{Random: s.chance.Float64})
		}
	}
	number, end := uint64(0), floodFrom
	if load.flood > 0 {
		end = floodFrom + load.floodTime
	}
	for at := time.Duration(0); at < end; at += simStep {
		if at%simReports == 0 {
			s.own = [simVMs][simEngines]float64{}
			for i, q := range s.queues {
				s.reported[i] = 0
				for _, r := range q {
					s.reported[i] += r.left
				}
			}
		}
		factor := 1.0
		if load.factor != nil {
			factor = load.factor(at)
		}
		for n := s.poisson((load.long + load.short) * factor * simStep.Seconds()); n > 0; n-- {
			w := s.rng.IntN(simWorkspaces)
			s.arrive(at, w, &number)
		}
		if at >= floodFrom && load.flood > 1 {
			for n := s.poisson((load.long + load.short) * factor / simWorkspaces * (load.flood - 1) * simStep.Seconds()); n > 0; n-- {
				s.arrive(at, 0, &number)
			}
		}
		var due []*simRequest
		s.returning = slices.DeleteFunc(s.returning, func(r *simRequest) bool {
			if r.retryAt <= at {
				due = append(due, r)
			}
			return r.retryAt <= at
		})
		for _, r := range due {
			s.send(at, r)
		}
		for i := range s.queues {
			s.serve(at, i)
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p, limit := 0, s.rng.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= s.rng.Float64()
	}
	return n
}

func (s *simulation) arrive(at time.Duration, workspace int, number *uint64) {
	*number++
	r := &simRequest{arrived: at, workspace: workspace}
	r.Prompt = Prompt{
		Service: "s", Workspace: lagoonhead.WorkspaceID(fmt.Sprint("w", workspace)), Fingerprint: *number, Tokens: 383, Separate: true,
		HasObjective: true, Arrived: at, Due: at + simObjective - 150*time.Millisecond, GiveUp: at + simPatience,
	}
	if s.rng.Float64() < s.load.long/(s.load.long+s.load.short) {
		if r.Tokens = 3_720; s.rng.Float64() < 0.5 {
			r.Tokens = 17_020
		}
	}
	// The balancer hashes callers to VMs. A workspace has four callers.
	r.vm = (5*workspace + s.rng.IntN(4)) % simVMs
	s.count(r, func(v *simResult) { v.all++ })
	s.send(at, r)
}

// count counts a request by kind and, from the time of a flood on, by whose it is.
func (s *simulation) count(r *simRequest, f func(v *simResult)) {
	kind := "long"
	if r.Tokens < 2_000 {
		kind = "short"
	}
	f(s.results[kind])
	if r.arrived < floodFrom {
		return
	}
	if r.workspace != 0 {
		f(s.results["others' "+kind])
	} else {
		f(s.results["flood"])
	}
}

// send places a request at the better of two engines, or refuses it.
func (s *simulation) send(at time.Duration, r *simRequest) {
	queue := func(i int) float64 { return s.reported[i] + s.own[r.vm][i] }
	r.engine = s.chance.IntN(simEngines)
	if other := s.chance.IntN(simEngines); queue(other) < queue(r.engine) {
		r.engine = other
	}
	r.Wait = simHandOver + time.Duration((queue(r.engine)+float64(r.Tokens))/simRate*float64(time.Millisecond))
	if s.judges == nil {
		r.decision = Decision{Urgency: Class(r.Tokens), Refused: at+r.Wait > r.GiveUp, RetryAfter: at + r.Wait - r.GiveUp + 300*time.Millisecond}
	} else {
		r.decision = s.judges[r.vm].Decide(at, r.Prompt)
	}
	if r.decision.Place == Yielding {
		s.count(r, func(v *simResult) { v.yielded++ })
	}
	if !r.decision.Refused {
		r.sent, r.left = at, float64(r.Tokens)
		s.own[r.vm][r.engine] += r.left
		q := s.queues[r.engine]
		i := len(q)
		for i > 0 && q[i-1].decision.Urgency > r.decision.Urgency {
			i--
		}
		s.queues[r.engine] = slices.Insert(q, i, r)
		if s.judges != nil {
			s.judges[r.vm].Begin(at, r.Prompt, r.decision)
		}
		return
	}
	after := r.decision.RetryAfter
	if s.load.atOnce {
		after = 0
	}
	// A caller does not come back when Retry-After is more than a third of the time that it has left.
	if left := r.GiveUp - at; after <= left/3 {
		r.retryAt = at + after + simRoundTrips + 10*time.Millisecond
		s.returning = append(s.returning, r)
	}
}

// serve lets an engine work for a step.
func (s *simulation) serve(at time.Duration, engine int) {
	work := simRate * float64(simStep) / float64(time.Millisecond)
	s.queues[engine] = slices.DeleteFunc(s.queues[engine], func(r *simRequest) bool {
		done := min(work, r.left)
		work, r.left = work-done, r.left-done
		served, left := r.left <= 0, at+simDecodes > r.GiveUp
		if !served && !left {
			return false
		}
		if s.judges != nil {
			s.judges[r.vm].End(at, r.Prompt, r.decision, at-r.sent, served)
		}
		if left {
			s.count(r, func(v *simResult) { v.inVain++ })
		}
		if served && !left {
			s.count(r, func(v *simResult) {
				v.served++
				if at+simDecodes <= r.arrived+simObjective {
					v.inTime++
				}
			})
		}
		return true
	})
}

// Guards against an overload in which every long prompt is served late, since the engines work on
// those that can no longer be in time first.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		name string
		load simLoad
	}{
		{"steady", simLoad{long: 43, short: 431}},
		{"heavy", simLoad{long: 70, short: 431}},
		{"at once", simLoad{long: 43, short: 431, atOnce: true}},
		{"bursts", simLoad{long: 22, short: 300, factor: func(at time.Duration) float64 {
			if at%(8*time.Second) < 2*time.Second {
				return 3
			}
			return 0.7
		}}},
		{"light", simLoad{long: 22, short: 300}},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, after := play(c.load, false), play(c.load, true)
			for _, k := range []string{"long", "short"} {
				t.Logf("%s: unchanged: %s; judged: %s", k, before[k], after[k])
			}
			require.LessOrEqual(t, after["long"].yielded+after["short"].yielded, 0.001*(after["long"].all+after["short"].all), "none yields by chance")
			// A hundredth is the standard error of the share of some thousand requests.
			require.GreaterOrEqual(t, after["long"].worth(), before["long"].worth()-0.01)
			require.LessOrEqual(t, after["long"].inVain/after["long"].all, before["long"].inVain/before["long"].all+0.01, "what goes behind is not starved")
			require.GreaterOrEqual(t, after["short"].inTime/after["short"].all, 0.9, "callers expect nine tenths in time")
		})
	}
}

// Guards against a workspace that sends many times its usual rate and takes what others need.
func TestFlood(t *testing.T) { requireOthersServed(t, time.Minute) }

// Guards against the same in a flood of 25 seconds, of which those until forecasts miss the objective
// are a larger part.
func TestFloodOf25Seconds(t *testing.T) { requireOthersServed(t, 25*time.Second) }

// requireOthersServed plays floods of one workspace and compares what others get with and without.
func requireOthersServed(t *testing.T, floodTime time.Duration) {
	t.Helper()
	usual := simLoad{long: 22, short: 300, flood: 1, floodTime: floodTime}
	without := play(usual, false)
	for _, flood := range []float64{20, 100} {
		for _, atOnce := range []bool{false, true} {
			load := usual
			load.flood, load.atOnce = flood, atOnce
			unchanged, judged := play(load, false), play(load, true)
			for _, k := range []string{"others' long", "others' short", "flood"} {
				t.Logf("%g times, at once %t, %s: without it: %s; unchanged: %s; judged: %s", flood, atOnce, k, without[k], unchanged[k], judged[k])
				if k != "flood" {
					require.LessOrEqual(t, judged[k].yielded, 0.001*judged[k].all, "none yields by chance")
					require.GreaterOrEqual(t, judged[k].worth(), 0.9*without[k].worth(), "others keep nine tenths")
				}
			}
		}
	}
}

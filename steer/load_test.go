package steer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// The load: long prompts that share parts, and short ones, whose rates alternate. Engines
// serve requests one at a time, which approximates a busy batch.
const (
	loadLength        = 40 * time.Second
	alternationPeriod = 3 * time.Second
	longRate          = 20.0  // requests per second on average
	shortRate         = 220.0 // requests per second on average
	longParts         = 120
	prefillRate       = 48.0 // tokens per millisecond
	prefillCallCost   = 14 * time.Millisecond
	longObjective     = 450 * time.Millisecond
	shortObjective    = 650 * time.Millisecond
)

type arrival struct {
	at        time.Duration
	prompt    Prompt
	objective time.Duration
}

func alternatingLoad(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for at := time.Duration(0); at < loadLength; at += time.Millisecond {
		heavy, light := 1.7, 0.5
		if (at/alternationPeriod)%2 == 1 {
			heavy, light = light, heavy
		}
		if rng.Float64() < longRate*heavy/1000 {
			p := long(fmt.Sprint("part", rng.IntN(longParts)))
			list = append(list, arrival{at, p, longObjective})
		}
		if rng.Float64() < shortRate*light/1000 {
			list = append(list, arrival{at, short(), shortObjective})
		}
	}
	return list
}

// policy chooses the engine that prefills a prompt; done is called when the prefill ends.
// separate is true if the request runs on another engine.
type policy interface {
	pick(at time.Duration, a arrival) (engine int, separate bool)
	done(engine int, separate bool, a arrival, took time.Duration)
}

// play simulates a load and returns the fractions of long and of short prompts that were
// prefilled within their latency objective.
func play(load []arrival, engines []lagoonhead.Endpoint, p policy) (longInTime, shortInTime float64) {
	type finish struct {
		at   time.Duration
		call func()
	}
	var pending []finish
	freeAt := make([]time.Duration, len(engines))
	cached := make([]map[string]bool, len(engines))
	for i := range cached {
		cached[i] = make(map[string]bool)
	}
	var hits, counts [2]float64
	for _, a := range load {
		slices.SortFunc(pending, func(x, y finish) int { return cmp.Compare(x.at, y.at) })
		for len(pending) > 0 && pending[0].at <= a.at {
			pending[0].call()
			pending = pending[1:]
		}
		e, separate := p.pick(a.at, a)
		tokens := a.prompt.Tokens
		if part := a.prompt.Parts[0]; cached[e][part.ID] {
			tokens -= part.Tokens
		}
		cached[e][a.prompt.Parts[0].ID] = true
		work := time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
		if separate {
			work += prefillCallCost
		} else {
			work *= RunSlowdown
		}
		end := max(freeAt[e], a.at) + work
		freeAt[e] = end
		kind := 0
		if a.objective == shortObjective {
			kind = 1
		}
		counts[kind]++
		if end-a.at <= a.objective {
			hits[kind]++
		}
		pending = append(pending, finish{end, func() { p.done(e, separate, a, end-a.at) }})
	}
	return hits[0] / counts[0], hits[1] / counts[1]
}

// boardPolicy is the policy of this package.
type boardPolicy struct {
	board   *Board
	index   map[lagoonhead.EndpointID]int
	choices map[*Part]PrefillChoice
}

func newBoardPolicy(engines []lagoonhead.Endpoint) *boardPolicy {
	p := &boardPolicy{board: newBoard(engines), index: make(map[lagoonhead.EndpointID]int), choices: make(map[*Part]PrefillChoice)}
	for i, e := range engines {
		p.index[e.ID()] = i
	}
	return p
}

func (p *boardPolicy) pick(at time.Duration, a arrival) (int, bool) {
	v, _ := p.board.PickPrefill(at, PrefillRequest{Service: model, Prompt: a.prompt, Due: at + a.objective, MaxPause: 300 * time.Millisecond})
	p.board.BeginPrefill(v)
	p.choices[&a.prompt.Parts[0]] = v
	return p.index[v.Endpoint.ID()], v.PrefillOnly
}

func (p *boardPolicy) done(_ int, _ bool, a arrival, took time.Duration) {
	v := p.choices[&a.prompt.Parts[0]]
	delete(p.choices, &a.prompt.Parts[0])
	p.board.EndPrefill(a.at+took, v, a.prompt, took)
}

// leastBusy is the simpler policy: every prompt is prefilled on a separate engine, the one
// with the shortest queue.
type leastBusy struct {
	engines []lagoonhead.Endpoint
	queued  []int
}

func (p *leastBusy) pick(_ time.Duration, a arrival) (int, bool) {
	best := -1
	for i, e := range p.engines {
		if e.Role() == lagoonhead.RolePrefill && (best < 0 || p.queued[i] < p.queued[best]) {
			best = i
		}
	}
	p.queued[best] += a.prompt.Tokens
	return best, true
}

func (p *leastBusy) done(engine int, _ bool, a arrival, _ time.Duration) {
	p.queued[engine] -= a.prompt.Tokens
}

// fixedHomes is the policy without costs: a long prompt goes to the engine that rendezvous
// hashing gives its shared part, whatever its queue, and a short one to the decode engine
// with the shortest queue.
type fixedHomes struct {
	leastBusy
	board *Board
	index map[lagoonhead.EndpointID]int
}

func (p *fixedHomes) pick(at time.Duration, a arrival) (int, bool) {
	if part, _ := a.prompt.shared(); part != 0 {
		i := p.index[p.board.homes(part, PrefillRequest{Service: model}, nil)[0].endpoint.ID()]
		p.queued[i] += a.prompt.Tokens
		return i, true
	}
	best := -1
	for i, e := range p.engines {
		if e.Role() == lagoonhead.RoleDecode && (best < 0 || p.queued[i] < p.queued[best]) {
			best = i
		}
	}
	p.queued[best] += a.prompt.Tokens
	return best, false
}

func newFixedHomes(engines []lagoonhead.Endpoint) *fixedHomes {
	b := newBoardPolicy(engines)
	return &fixedHomes{leastBusy{engines, make([]int, len(engines))}, b.board, b.index}
}

// Guards against a policy that serves fewer callers in time than the simpler ones under the
// load that it is made for: a mix of long and short prompts that alternates faster than
// engines change their role, on a fleet with both roles.
func TestAlternatingLoad(t *testing.T) {
	var own, fixed [2]float64
	for seed := range uint64(5) {
		engines := fleet(10, 14)
		load := alternatingLoad(seed)
		longOwn, shortOwn := play(load, engines, newBoardPolicy(engines))
		longBusy, shortBusy := play(load, engines, &leastBusy{engines: engines, queued: make([]int, len(engines))})
		longFixed, shortFixed := play(load, engines, newFixedHomes(engines))
		t.Logf("seed %d: long prompts in time %.3f, with fixed homes %.3f, with the least busy engine %.3f; short ones %.3f, %.3f, %.3f",
			seed, longOwn, longFixed, longBusy, shortOwn, shortFixed, shortBusy)
		require.Greater(t, longOwn, longBusy)
		require.GreaterOrEqual(t, shortOwn, shortBusy)
		own[0], own[1] = own[0]+longOwn, own[1]+shortOwn
		fixed[0], fixed[1] = fixed[0]+longFixed, fixed[1]+shortFixed
	}
	// Single loads differ from fixedHomes by chance, so the sums are compared.
	require.Greater(t, own[0], fixed[0])
	require.GreaterOrEqual(t, own[1], fixed[1])
}

// spread distributes engines evenly over the given number of failure domains.
func spread(engines []lagoonhead.Endpoint, domains int) []lagoonhead.Endpoint {
	list := make([]lagoonhead.Endpoint, len(engines))
	for i, e := range engines {
		domain := lagoonhead.FailureDomain("x") // that of the board
		if i%domains > 0 {
			domain = lagoonhead.FailureDomain(fmt.Sprint("x", i%domains))
		}
		list[i] = lagoonhead.NewEndpoint(e.ID(), e.Kind(), e.Serves(), e.Address(), domain).WithRole(e.Role()).WithSlots(e.Slots())
	}
	return list
}

// Guards against a policy that only works for one fleet size or one number of failure
// domains.
func TestOtherFleets(t *testing.T) {
	for _, size := range [][3]int{{1, 2, 1}, {2, 2, 2}, {5, 7, 3}, {10, 14, 4}, {24, 36, 6}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			engines := spread(fleet(size[0], size[1]), size[2])
			load := alternatingLoad(9)
			// The load grows with the fleet.
			scale := float64(size[0]+size[1]) / 24
			rng := rand.New(rand.NewPCG(3, 3))
			var scaled []arrival
			for _, a := range load {
				for n := scale; n > 0; n-- {
					if n >= 1 || rng.Float64() < n {
						scaled = append(scaled, arrival{a.at, Prompt{a.prompt.Tokens, a.prompt.MaxOutput, slices.Clone(a.prompt.Parts)}, a.objective})
					}
				}
			}
			longOwn, shortOwn := play(scaled, engines, newBoardPolicy(engines))
			longBusy, shortBusy := play(scaled, engines, &leastBusy{engines: engines, queued: make([]int, len(engines))})
			t.Logf("long prompts in time %.3f against %.3f, short ones %.3f against %.3f", longOwn, longBusy, shortOwn, shortBusy)
			require.GreaterOrEqual(t, longOwn+shortOwn, longBusy+shortBusy)
		})
	}
}

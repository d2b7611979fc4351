package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// A fleet whose VMs hear of each other's work 500 ms late, or up to 750 ms, with short prompts that
// are not retried. Some engines lose answers for 4 s, after the run.
const (
	resetVMs       = 80
	resetPrefill   = 14
	resetRun       = 47
	resetRate      = 500.0 // short prompts a second
	resetLoss      = 0.4
	resetTime      = 4 * time.Second
	resetWarmUp    = 2 * time.Second
	resetInterval  = 250 * time.Millisecond
	resetReportAge = 500 * time.Millisecond
	resetSlots     = 12
	resetRunTime   = 600 * time.Millisecond // mean time of decoding
	resetSeeds     = 2
)

// resetFleet is the simulation of the fleet. An engine prefills one prompt at a time.
type resetFleet struct {
	rng     *rand.Rand
	boards  []*Board
	engines []lagoonhead.Endpoint
	index   map[lagoonhead.EndpointID]int
	lossy   []int           // engines that lose answers
	freeAt  []time.Duration // when each engine has prefilled what was sent to it
	works   []Work          // of all VMs, by engine
	later   map[time.Duration][]func(at time.Duration)

	requests, lost int
	waits          []time.Duration // until the first event
}

func newResetFleet(seed uint64, lossy int, prepare func(*Board)) *resetFleet {
	f := &resetFleet{
		rng: rand.New(rand.NewPCG(seed, 11)), index: make(map[lagoonhead.EndpointID]int),
		freeAt: make([]time.Duration, resetPrefill+resetRun), later: make(map[time.Duration][]func(time.Duration)),
	}
	f.lossy = f.rng.Perm(resetPrefill + resetRun)[:lossy]
	for i := range resetPrefill + resetRun {
		role := lagoonhead.RolePrefill
		if i >= resetPrefill {
			role = lagoonhead.RoleDecode
		}
		e := lagoonhead.NewEndpoint(lagoonhead.EndpointID(fmt.Sprint("e", i)), lagoonhead.EndpointKindEngine, model, fmt.Sprint("e", i, ":1"),
			lagoonhead.FailureDomain(fmt.Sprint("z", i%3))).WithRole(role).WithSlots(resetSlots)
		f.engines, f.index[e.ID()] = append(f.engines, e), i
		f.works = append(f.works, Work{Endpoint: e.ID()})
	}
	for i := range resetVMs {
		b := &Board{Domain: lagoonhead.FailureDomain(fmt.Sprint("z", i%3)), Spread: true, PeerInterval: resetInterval, Random: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		b.SetEndpoints(f.engines, cacheCapacity)
		b.rates = map[string]float64{model: prefillRate}
		prepare(b)
		f.boards = append(f.boards, b)
	}
	return f
}

// play simulates a time without failures and the time of the failures, and counts the prompts of the latter.
func (f *resetFleet) play() {
	for at := now; at < now+resetWarmUp+resetTime; at += time.Millisecond {
		for _, call := range f.later[at] {
			call(at)
		}
		delete(f.later, at)
		if (at-now)%resetInterval == 0 {
			works := slices.Clone(f.works)
			f.after(at, resetReportAge, func(at time.Duration) {
				for _, b := range f.boards {
					b.SetPeerWork(at, "hub", true, works)
				}
			})
		}
		if f.rng.Float64() < resetRate/1000 {
			f.send(f.rng.IntN(resetVMs), at, at, nil)
		}
	}
	slices.Sort(f.waits)
}

func (f *resetFleet) after(at, d time.Duration, call func(at time.Duration)) {
	at = (at + d).Truncate(time.Millisecond)
	f.later[at] = append(f.later[at], call)
}

// lostPart returns the part of the prompts whose answers were lost.
func (f *resetFleet) lostPart() float64 { return float64(f.lost) / float64(f.requests) }

// quantile returns a quantile of the times to the first event.
func (f *resetFleet) quantile(q float64) time.Duration {
	return f.waits[int(q*float64(len(f.waits)-1))]
}

// String describes what callers saw.
func (f *resetFleet) String() string {
	return fmt.Sprintf("lost %.4f, 50th %v, 99th %v", f.lostPart(), f.quantile(0.5), f.quantile(0.99))
}

// loses reports whether an engine loses an answer to work that began at a time.
func (f *resetFleet) loses(i int, at time.Duration) bool {
	return at >= now+resetWarmUp && slices.Contains(f.lossy, i) && f.rng.Float64() < resetLoss
}

// send sends a prompt. One whose prefill is lost at an engine that only prefills is prefilled again.
func (f *resetFleet) send(vm int, arrived, at time.Duration, avoid []lagoonhead.EndpointID) {
	b := f.boards[vm]
	v, _ := b.PickPrefill(at, PrefillRequest{Service: model, Prompt: short(), Due: arrived + shortObjective, MaxPause: 300 * time.Millisecond, Avoid: avoid})
	b.BeginPrefill(v)
	i := f.index[v.Endpoint.ID()]
	w := &f.works[i]
	w.PrefillTokens += v.Tokens
	prefill := time.Duration(float64(v.Tokens) / prefillRate * float64(time.Millisecond))
	if !v.PrefillOnly {
		prefill *= RunSlowdown
		f.begin(b, v.Endpoint)
		w.RunTotal += int64(v.Tokens)
	} else {
		w.PrefillTotal += int64(v.Tokens)
	}
	f.freeAt[i] = max(f.freeAt[i], at) + prefill
	took := f.freeAt[i] - at
	if v.PrefillOnly {
		took += handOverCost
	}
	f.after(at, took, func(done time.Duration) {
		f.works[i].PrefillTokens -= v.Tokens
		if !v.PrefillOnly {
			b.EndPrefill(done, v, short(), took)
			f.run(b, v.Endpoint, arrived, done)
			return
		}
		if f.loses(i, at) {
			b.EndPrefill(done, v, short(), 0)
			f.record(b, v.Endpoint, done, Bad)
			f.send(vm, arrived, done, append(avoid, v.Endpoint.ID()))
			return
		}
		b.EndPrefill(done, v, short(), took)
		f.record(b, v.Endpoint, done, Good)
		e, _ := b.PickRun(done, RunRequest{Service: model, Near: v.Endpoint.FailureDomain(), Transfer: true})
		f.begin(b, e)
		f.run(b, e, arrived, done)
	})
}

func (f *resetFleet) begin(b *Board, e lagoonhead.Endpoint) {
	b.AddRunning(e, 1)
	f.works[f.index[e.ID()]].Running++
}

// run decodes a prompt from its first event on.
func (f *resetFleet) run(b *Board, e lagoonhead.Endpoint, arrived, at time.Duration) {
	lost := f.loses(f.index[e.ID()], at)
	if arrived >= now+resetWarmUp {
		f.requests++
		f.waits = append(f.waits, at-arrived)
		if lost {
			f.lost++
		}
	}
	f.after(at, time.Duration((0.5+f.rng.Float64())*float64(resetRunTime)), func(at time.Duration) {
		b.AddRunning(e, -1)
		f.works[f.index[e.ID()]].Running--
		if lost {
			f.record(b, e, at, Bad)
		} else {
			f.record(b, e, at, Good)
		}
	})
}

func (f *resetFleet) record(b *Board, e lagoonhead.Endpoint, at time.Duration, r Result) {
	b.RecordResult(at, e, r)
	if r == Bad {
		f.works[f.index[e.ID()]].Bad++
	} else {
		f.works[f.index[e.ID()]].Good++
	}
}

// Guards against short prompts that are lost because both of two drawn engines fail although others do not,
// and against a change of the choice where nothing fails. Of 61 engines, 27 or 37 lose 40% of their answers.
func TestShortPromptsAvoidFailingEngines(t *testing.T) {
	for _, lossy := range []int{0, 27, 37} {
		t.Run(fmt.Sprint(lossy, " failing"), func(t *testing.T) {
			played := func(prepare func(*Board)) *resetFleet {
				var sum resetFleet
				for seed := range uint64(resetSeeds) {
					f := newResetFleet(seed, lossy, prepare)
					f.play()
					sum.requests, sum.lost, sum.waits = sum.requests+f.requests, sum.lost+f.lost, append(sum.waits, f.waits...)
				}
				slices.Sort(sum.waits)
				return &sum
			}
			compared := played(func(b *Board) { b.unchanged = true })
			two := played(func(b *Board) { b.failuresInTwoDraws = true })
			present := played(func(*Board) {})
			t.Logf("all engines compared: %s; two draws: %s; present: %s", compared, two, present)
			if lossy == 0 {
				require.Equal(t, two.waits, present.waits)
				return
			}
			require.LessOrEqual(t, present.lostPart(), compared.lostPart())
			require.Less(t, present.quantile(0.99), compared.quantile(0.99), "the VMs do not all choose the same engine")
		})
	}
}

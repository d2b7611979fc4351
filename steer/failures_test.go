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

// lossyFleet simulates daemons and engines, some of which lose a fraction of their answers.
// Requests are short prompts that can't be retried.
type lossyFleet struct {
	boards   []*Board
	engines  []lagoonhead.Endpoint
	lossy    int     // number of lossy engines, which come first
	loss     float64 // fraction of the answers that they lose
	rng      *rand.Rand
	freeAt   []time.Duration // when each engine becomes idle
	pending  []lossyRun
	reported time.Duration

	requests, lost, late int
	work                 []int // requests by engine
}

type lossyRun struct {
	end    time.Duration
	board  *Board
	engine int
	v      PrefillChoice
	lost   bool
}

func newLossyFleet(daemons, engines, lossy int, loss float64, ignore bool) *lossyFleet {
	f := &lossyFleet{
		engines: fleet(0, engines), lossy: lossy, loss: loss, rng: rand.New(rand.NewPCG(7, 7)),
		freeAt: make([]time.Duration, engines), work: make([]int, engines),
	}
	for range daemons {
		b := newBoard(f.engines)
		b.IgnoreFailures = ignore
		f.boards = append(f.boards, b)
	}
	return f
}

// play sends requests from one time to another, rate per second and engine.
func (f *lossyFleet) play(from, to time.Duration, rate float64) {
	const reportInterval = 250 * time.Millisecond
	f.requests, f.lost, f.late, f.work = 0, 0, 0, make([]int, len(f.engines))
	for at := from; at < to; at += time.Millisecond {
		f.finish(at)
		if at-f.reported >= reportInterval {
			f.report(at)
		}
		for n := rate * float64(len(f.engines)) / 1000; n > 0; n-- {
			if f.rng.Float64() < n {
				f.send(at)
			}
		}
	}
}

func (f *lossyFleet) send(at time.Duration) {
	b := f.boards[f.rng.IntN(len(f.boards))]
	v, _ := b.PickPrefill(at, PrefillRequest{Service: model, Prompt: short(), Due: at + shortObjective, MaxPause: 300 * time.Millisecond})
	b.BeginPrefill(v)
	b.AddRunning(v.Endpoint, 1)
	i := slices.IndexFunc(f.engines, func(e lagoonhead.Endpoint) bool { return e.ID() == v.Endpoint.ID() })
	end := max(f.freeAt[i], at) + RunSlowdown*time.Duration(float64(v.Tokens)/prefillRate*float64(time.Millisecond))
	f.freeAt[i] = end
	f.requests++
	f.work[i]++
	lost := i < f.lossy && f.rng.Float64() < f.loss
	if lost {
		f.lost++
	} else if end-at > shortObjective {
		f.late++
	}
	f.pending = append(f.pending, lossyRun{end, b, i, v, lost})
}

func (f *lossyFleet) finish(at time.Duration) {
	slices.SortFunc(f.pending, func(x, y lossyRun) int { return cmp.Compare(x.end, y.end) })
	for len(f.pending) > 0 && f.pending[0].end <= at {
		p := f.pending[0]
		f.pending = f.pending[1:]
		p.board.AddRunning(p.v.Endpoint, -1)
		if p.lost {
			p.board.EndPrefill(at, p.v, short(), 0)
			p.board.RecordResult(at, p.v.Endpoint, Bad)
		} else {
			p.board.EndPrefill(at, p.v, short(), time.Millisecond)
			p.board.RecordResult(at, p.v.Endpoint, Good)
		}
	}
}

func (f *lossyFleet) report(at time.Duration) {
	f.reported = at
	for i, b := range f.boards {
		own := b.Report(at, Recipient{Hub: true})
		for j, other := range f.boards {
			if i != j {
				other.SetPeerWork(at, lagoonhead.VMID(fmt.Sprint("vm", i)), true, own)
			}
		}
	}
}

// Some engines lose a fraction of their answers under a load of short requests that can't
// be retried. Guards against a policy that sends requests to them although others have
// room, against one that makes other requests late instead, and against one that gives
// recovered engines no work.
func TestEnginesThatLoseAnswers(t *testing.T) {
	var lost [2]int // with failures ignored and not, over all cases
	for _, c := range []struct {
		daemons, engines, lossy int
		loss                    float64
	}{{6, 14, 8, 0.4}, {6, 14, 2, 0.4}, {2, 4, 2, 0.4}, {6, 40, 20, 0.3}, {12, 6, 1, 0.9}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			played := func(ignore bool) *lossyFleet {
				f := newLossyFleet(c.daemons, c.engines, c.lossy, c.loss, ignore)
				f.report(now)
				f.play(now, now+5*time.Second, 20)
				return f
			}
			before, after := played(true), played(false)
			t.Logf("of %d lost %d and late %d, against %d and %d of %d when failures are ignored",
				after.requests, after.lost, after.late, before.lost, before.late, before.requests)
			require.Less(t, after.lost, before.lost)
			require.LessOrEqual(t, after.late, before.late)
			lost[0], lost[1] = lost[0]+before.lost, lost[1]+after.lost

			after.loss = 0
			after.play(now+5*time.Second, now+10*time.Second, 20)
			after.play(now+10*time.Second, now+12*time.Second, 20)
			require.NotContains(t, after.work[:c.lossy], 0, "a recovered engine gets no work")
		})
	}
	require.Less(t, 2*lost[1], lost[0])
}

// Guards against outcomes of a peer that are counted twice, and against differences between
// endpoints that come from requests which fail wherever they run.
func TestOutcomesOfPeers(t *testing.T) {
	b := newBoard(fleet(0, 1))
	d := b.targets["d0"]
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "d0", Good: 100, Bad: 50}})
	require.Zero(t, d.outcomes.excess(now), "it is unknown when the outcomes before the first report happened")
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "d0", Good: 110, Bad: 60}})
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "d0", Good: 110, Bad: 60}})
	require.InDelta(t, 10.0/30-baselineFailureRate, d.outcomes.excess(now), 1e-9)
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "d0", Good: 1, Bad: 0}})
	require.InDelta(t, 10.0/30-baselineFailureRate, d.outcomes.excess(now), 1e-9, "a peer that has restarted")
	require.Less(t, d.outcomes.excess(now+outcomeDecayTime), d.outcomes.excess(now))

	usual := newBoard(fleet(0, 1)).targets["d0"]
	usual.outcomes.add(now, 90, 9)
	require.Zero(t, usual.outcomes.excess(now))
}

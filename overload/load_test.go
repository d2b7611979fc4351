package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/eventqueue"
)

// The load: a VM with a part of a core, whose usual load takes half of it, gets many times as
// many requests for a while. Costs are processor time.
const (
	coreShare      = 0.4
	usualPerSecond = 100
	floodPerSecond = 1500
	floodFrom      = 5 * time.Second
	floodUntil     = 25 * time.Second
	loadEnd        = 40 * time.Second
	// playEnd is when the play ends at the latest, also if there are tasks left.
	playEnd = 2 * loadEnd

	acceptCost  = 50 * time.Microsecond
	readCost    = 150 * time.Microsecond
	placeCost   = 700 * time.Microsecond
	answerCost  = 600 * time.Microsecond
	sampleCost  = 20 * time.Microsecond
	controlCost = 300 * time.Microsecond
	endpoint    = 60 * time.Millisecond

	// A change of the configuration takes this many tasks one after another.
	controlTasks = 10
	maxAttempts  = 3
)

// The targets of the users.
const (
	configurationBound = 2 * time.Second
	timeout            = 3 * time.Second
	timeoutSlack       = 500 * time.Millisecond
	// atOnce is the time within which a request that is not served is refused.
	atOnce = time.Second
)

// processor is a simulated VM that runs tasks in the order in which they became due.
type processor struct {
	rng    *rand.Rand
	guard  *Guard
	events eventqueue.Queue
	now    time.Duration
	freeAt time.Duration

	begun      int             // changes of the configuration
	changes    []time.Duration // how long each of them took
	refusals   []time.Duration // how long each refusal took
	late       int             // requests without an answer half a second after their timeout
	served     map[int]int     // by the second of the request
	asked      map[int]int
	guardIsOff bool
}

func (p *processor) at(t time.Duration, run func()) {
	p.events.Add(t, run)
}

// do runs a task behind those that are due.
func (p *processor) do(cost time.Duration, run func()) {
	p.freeAt = max(p.now, p.freeAt) + time.Duration(float64(cost)/coreShare)
	p.at(p.freeAt, run)
}

func (p *processor) sample() {
	due := p.now + interval
	p.at(due, func() {
		if !p.guard.isBusy() {
			p.sample()
			return
		}
		p.do(sampleCost, func() {
			if !p.guardIsOff {
				p.guard.Observe(p.now - due)
			}
			p.sample()
		})
	})
}

func (p *processor) request(sent time.Duration, attempt int) {
	arrived := p.now
	p.do(acceptCost, func() {
		if p.guard.refusesConnection(p.rng.Float64()) {
			return // the caller turns to another VM
		}
		p.do(readCost, func() {
			if p.guard.begin(p.rng.Float64()) {
				p.refusals = append(p.refusals, p.now-arrived)
				p.again(sent, attempt, minRetryAfter)
				return
			}
			p.do(placeCost, func() {
				p.at(p.now+endpoint, func() {
					p.do(answerCost, func() {
						p.guard.End()
						p.answer(sent)
					})
				})
			})
		})
	})
}

// again lets a caller come again if it has attempts left. Callers that are not served get
// their final answer by then.
func (p *processor) again(sent time.Duration, attempt int, after time.Duration) {
	if attempt < maxAttempts {
		p.at(p.now+after, func() { p.request(sent, attempt+1) })
	}
}

func (p *processor) answer(sent time.Duration) {
	switch took := p.now - sent; {
	case took <= timeout:
		p.served[int(sent/time.Second)]++
	case took > timeout+timeoutSlack:
		p.late++
	}
}

func (p *processor) change(began time.Duration, left int) {
	if left == 0 {
		p.changes = append(p.changes, p.now-began)
		return
	}
	p.do(controlCost, func() { p.change(began, left-1) })
}

// play plays the load and returns the processor behind it.
func play(guardIsOff bool) *processor {
	p := &processor{
		rng: rand.New(rand.NewPCG(1, 1)), guard: new(Guard), served: make(map[int]int), asked: make(map[int]int), guardIsOff: guardIsOff,
	}
	p.sample()
	for t := time.Duration(0); t < loadEnd; {
		rate := usualPerSecond
		if t >= floodFrom && t < floodUntil {
			rate = floodPerSecond
		}
		t += time.Duration(p.rng.ExpFloat64() / float64(rate) * float64(time.Second))
		p.asked[int(t/time.Second)]++
		p.at(t, func() { p.request(t, 1) })
	}
	for t := time.Second; t < loadEnd; t += time.Second {
		p.at(t, func() { p.change(t, controlTasks) })
		p.begun++
	}
	for {
		at, run, ok := p.events.Pop(playEnd)
		if !ok {
			break
		}
		p.now = at
		run()
	}
	for len(p.changes) < p.begun {
		p.changes = append(p.changes, playEnd)
	}
	return p
}

func longest(list []time.Duration) (l time.Duration) {
	for _, d := range list {
		l = max(l, d)
	}
	return l
}

// sum returns the sum of the counts of the seconds from a to b, without the second b.
func sum(counts map[int]int, a, b time.Duration) (n int) {
	for s := a; s < b; s += time.Second {
		n += counts[int(s/time.Second)]
	}
	return n
}

// Guards against changes of the configuration that wait behind a flood of requests, and
// against requests that are held past their timeout.
func TestAFloodDelaysNoConfiguration(t *testing.T) {
	p, off := play(false), play(true)
	t.Logf("longest change %s, without the guard %s", longest(p.changes), longest(off.changes))
	t.Logf("longest refusal %s, late requests %d, without the guard %d", longest(p.refusals), p.late, off.late)
	t.Logf("served in the flood %d, without the guard %d", sum(p.served, floodFrom, floodUntil), sum(off.served, floodFrom, floodUntil))
	require.Less(t, longest(p.changes), configurationBound)
	require.Less(t, longest(p.refusals), atOnce)
	require.Zero(t, p.late)
	require.Greater(t, longest(off.changes), configurationBound, "the load must be a flood")
}

// Guards against a guard that turns away more than it must, or that goes on after the flood.
func TestAFloodLeavesRoomForRequests(t *testing.T) {
	p := play(false)
	capacity := coreShare / (acceptCost + readCost + placeCost + answerCost).Seconds()
	inFlood := float64(sum(p.served, floodFrom+2*time.Second, floodUntil)) / (floodUntil - floodFrom - 2*time.Second).Seconds()
	t.Logf("%.0f requests served in a second of the flood, %.0f possible if nothing were turned away", inFlood, capacity)
	require.Greater(t, inFlood, capacity/3)
	require.Equal(t, sum(p.asked, 0, floodFrom), sum(p.served, 0, floodFrom))
	from := floodUntil + 5*time.Second
	require.Equal(t, sum(p.asked, from, loadEnd), sum(p.served, from, loadEnd))
}

package overload

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead/eventqueue"
)

// The load: a VM with a part of a core, whose usual load takes half of it, gets many times as
// many requests for a while. Costs are processor time.
const (
	coreShare      = 0.4
	usualPerSecond = 100
	floodFrom      = 5 * time.Second
	floodUntil     = 25 * time.Second
	loadEnd        = 40 * time.Second
	// playEnd is when the play ends at the latest, also if there are tasks left.
	playEnd = 2 * loadEnd

	acceptCost = 50 * time.Microsecond
	// refuseCost is that of a refusal on a connection that is not served (package httprefuse).
	refuseCost  = 60 * time.Microsecond
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

// task is work of a goroutine that takes processor time before it has an effect.
type task struct {
	cost time.Duration
	run  func()
}

// processor is a simulated VM that runs tasks in the order in which they became due.
type processor struct {
	rng    *rand.Rand
	guard  *Guard
	events eventqueue.Queue
	now    time.Duration
	// tasks wait to run; first run before them.
	tasks, first []task
	running      bool

	begun    int             // changes of the configuration
	changes  []time.Duration // how long each of them took
	refusals []time.Duration // how long each refusal took
	late     int             // requests without an answer half a second after their timeout
	// By the second in which a caller asks first.
	asked, served, refused, tries map[int]int
	flood
}

// flood is a load to play.
type flood struct {
	// Times is how many times the usual number of requests come.
	Times int
	// guardIsOff turns nothing away.
	guardIsOff bool
	// Elsewhere is whether callers of connections that are not served go to other VMs. If not, all
	// VMs get the flood, so that as many callers come from other VMs.
	Elsewhere bool
	// closes lets a connection that is not served be closed without a response, so that its caller
	// comes again at once.
	closes bool
}

func (p *processor) at(t time.Duration, run func()) {
	p.events.Add(t, run)
}

// do runs a task behind those that are due.
func (p *processor) do(cost time.Duration, run func()) {
	p.tasks = append(p.tasks, task{cost, run})
	p.next()
}

// goOn runs a task before those that are due, as the goroutine that runs already does.
func (p *processor) goOn(cost time.Duration, run func()) {
	p.first = append(p.first, task{cost, run})
	p.next()
}

// next starts a task unless one runs.
func (p *processor) next() {
	list := &p.first
	if len(p.first) == 0 {
		list = &p.tasks
	}
	if p.running || len(*list) == 0 {
		return
	}
	t := (*list)[0]
	*list = (*list)[1:]
	p.running = true
	p.at(p.now+time.Duration(float64(t.cost)/coreShare), func() {
		t.run()
		p.running = false
		p.next()
	})
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
	p.tries[int(sent/time.Second)]++
	refuse := func(last bool) {
		p.refusals = append(p.refusals, p.now-arrived)
		p.again(sent, attempt, last, minRetryAfter+time.Duration(p.rng.Float64()*float64(retrySpread)))
	}
	p.do(acceptCost, func() {
		if p.guard.refusesConnection(p.rng.Float64()) {
			if p.closes {
				p.again(sent, attempt, p.Elsewhere, 0)
			} else {
				p.goOn(refuseCost, func() { refuse(p.Elsewhere) })
			}
			return
		}
		p.do(readCost, func() {
			if p.guard.begin(p.rng.Float64()) {
				refuse(false)
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

// again lets a caller come again if it has attempts left and last is false.
func (p *processor) again(sent time.Duration, attempt int, last bool, after time.Duration) {
	if last || attempt == maxAttempts {
		p.refused[int(sent/time.Second)]++
		return
	}
	p.at(p.now+after, func() { p.request(sent, attempt+1) })
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

// play plays a load and returns the processor behind it.
func play(f flood) *processor {
	p := &processor{
		rng: rand.New(rand.NewPCG(1, 1)), guard: new(Guard), flood: f,
		asked: make(map[int]int), served: make(map[int]int), refused: make(map[int]int), tries: make(map[int]int),
	}
	p.sample()
	for t := time.Duration(0); t < loadEnd; {
		rate := usualPerSecond
		if t >= floodFrom && t < floodUntil {
			rate *= f.Times
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

// eachFlood runs a test for each flood of a data file.
func eachFlood(t *testing.T, file string, test func(t *testing.T, f flood)) {
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var floods []flood
	require.NoError(t, yaml.Unmarshal(data, &floods))
	for _, f := range floods {
		t.Run(fmt.Sprintf("%d,elsewhere=%t", f.Times, f.Elsewhere), func(t *testing.T) { test(t, f) })
	}
}

// Guards against changes of the configuration that wait behind a flood of requests, and
// against requests that are held past their timeout.
func TestAFloodDelaysNoConfiguration(t *testing.T) {
	eachFlood(t, "testdata/floods.yaml", requireNoDelay)
}

// Guards against a guard that turns away more than it must, or that goes on after the flood.
func TestAFloodLeavesRoomForRequests(t *testing.T) {
	eachFlood(t, "testdata/floods.yaml", requireRoom)
}

// Guards against the same as TestAFloodDelaysNoConfiguration, where refusals alone take most of the
// processor or more than it has.
func TestALargeFloodDelaysNoConfiguration(t *testing.T) {
	eachFlood(t, "testdata/large_floods.yaml", requireNoDelay)
}

// Guards against the same as TestAFloodLeavesRoomForRequests in large floods.
func TestALargeFloodLeavesRoomForRequests(t *testing.T) {
	eachFlood(t, "testdata/large_floods.yaml", requireRoom)
}

func requireNoDelay(t *testing.T, f flood) {
	p, off := play(f), play(flood{Times: f.Times, Elsewhere: f.Elsewhere, guardIsOff: true})
	t.Logf("longest change %s, without the guard %s", longest(p.changes), longest(off.changes))
	t.Logf("longest refusal %s, late requests %d, without the guard %d", longest(p.refusals), p.late, off.late)
	t.Logf("served in the flood %d, without the guard %d", sum(p.served, floodFrom, floodUntil), sum(off.served, floodFrom, floodUntil))
	require.Less(t, longest(p.changes), configurationBound)
	require.Less(t, longest(p.refusals), atOnce)
	require.Zero(t, p.late)
	require.Greater(t, longest(off.changes), configurationBound, "the load must be a flood")
}

func requireRoom(t *testing.T, f flood) {
	p := play(f)
	logCallers(t, "refused connections", p)
	logCallers(t, "closed connections", play(flood{Times: f.Times, Elsewhere: f.Elsewhere, closes: true}))
	capacity := coreShare / (acceptCost + readCost + placeCost + answerCost).Seconds()
	inFlood := float64(sum(p.served, floodFrom+2*time.Second, floodUntil)) / (floodUntil - floodFrom - 2*time.Second).Seconds()
	t.Logf("%.0f requests served in a second of the flood, %.0f possible if nothing were turned away", inFlood, capacity)
	require.Greater(t, inFlood, capacity/3)
	require.Equal(t, sum(p.asked, 0, floodFrom), sum(p.served, 0, floodFrom))
	from := floodUntil + 5*time.Second
	require.Equal(t, sum(p.asked, from, loadEnd), sum(p.served, from, loadEnd))
}

// logCallers logs what the callers of the flood get.
func logCallers(t *testing.T, name string, p *processor) {
	share := func(counts map[int]int) float64 {
		return float64(sum(counts, floodFrom, floodUntil)) / float64(sum(p.asked, floodFrom, floodUntil))
	}
	t.Logf("%s: %.1f%% of the callers served, %.1f%% refused at last, %.2f tries each, longest change %s",
		name, 100*share(p.served), 100*share(p.refused), share(p.tries), longest(p.changes))
}

package admit

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	clockStep    = 5 * time.Millisecond
	networkDelay = time.Millisecond
)

func testError(k lagoonhead.Kind) error {
	return &Error{Fault: lagoonhead.Fault{Op: "test", Kind: k, Err: errors.New("test")}}
}

// cluster is a fleet of runners in a synctest bubble, with a manual clock.
type cluster struct {
	clock *timer.Manual
	quota lagoonhead.Quota
	slots int
	// prepare configures each runner before its start; it may be nil.
	prepare func(*Runner)

	mu        sync.Mutex
	nodes     []*node
	started   int
	storeDown bool
	entry     lagoonhead.Entry
	// lost is the revision of the entry that the store has lost.
	lost  int64
	group sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context
	uses  []use
}

// use is the number of tokens that an admitted request uses, at the time when Admit
// returned.
type use struct {
	at   time.Duration
	used int64
}

// node is one daemon of a cluster, with the fakes that its runner calls.
type node struct {
	c                 *cluster
	vm                lagoonhead.VMID
	runner            *Runner
	directory         directory
	stop              context.CancelFunc
	dead              bool
	disconnectedSince time.Duration // 0: connected
}

func newCluster(n int, q lagoonhead.Quota) *cluster { return newClusterOf(n, q, nil) }

func newClusterOf(n int, q lagoonhead.Quota, prepare func(*Runner)) *cluster {
	c := &cluster{clock: timer.NewManual(time.Hour, time.Unix(0, 0)), quota: q, slots: n, prepare: prepare}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.group.Go(func() {
		for c.ctx.Err() == nil {
			time.Sleep(clockStep)
			c.clock.Advance(clockStep)
		}
	})
	for i := range n {
		c.start(i)
	}
	c.group.Go(c.heartbeats)
	return c
}

func (c *cluster) start(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	n := &node{c: c, vm: lagoonhead.VMID(strconv.Itoa(i)), directory: directory{quota: c.quota}}
	n.runner = &Runner{
		VM: n.vm, Incarnation: lagoonhead.Incarnation(strconv.Itoa(c.started)), Timer: c.clock,
		Store: n, VMs: n, Directory: n, Gate: n, Peers: n, SlotCount: c.slots,
	}
	if c.prepare != nil {
		c.prepare(n.runner)
	}
	n.runner.init()
	if i == len(c.nodes) {
		c.nodes = append(c.nodes, n)
	}
	c.nodes[i] = n
	var ctx context.Context
	ctx, n.stop = context.WithCancel(c.ctx)
	c.group.Go(func() { _ = n.runner.Run(ctx) })
}

func (c *cluster) heartbeats() {
	for c.ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		for _, a := range c.connected() {
			for _, b := range c.connected() {
				a.runner.ObserveSlotsRevision(b.runner.SlotsRevision())
			}
		}
	}
}

func (c *cluster) connected() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.dead || n.disconnectedSince != 0 })
}

// kill stops a node that can no longer reach the store, so that its slots stay in the
// table.
func (c *cluster) kill(i int) {
	c.mu.Lock()
	c.nodes[i].dead = true
	c.mu.Unlock()
	c.nodes[i].stop()
}

func (c *cluster) end() {
	c.stop()
	c.group.Wait()
}

// The methods below implement the interfaces that a runner calls.

func (n *node) unreachable() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.dead || n.disconnectedSince != 0
}

func (n *node) Fresh() error {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.dead || n.disconnectedSince != 0 && n.c.clock.Now()-n.disconnectedSince > 3*time.Second {
		return testError(lagoonhead.KindUnavailable)
	}
	return nil
}

func (n *node) VMs(context.Context) ([]lagoonhead.VM, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var vms []lagoonhead.VM
	for _, o := range n.c.nodes {
		if !o.dead {
			vms = append(vms, lagoonhead.NewVM(o.vm, "d", "", false))
		}
	}
	return vms, nil
}

func (n *node) Lenders() []Lender {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var l []Lender
	for _, o := range n.c.nodes {
		if o != n {
			l = append(l, Lender{o.vm, link{n, o}})
		}
	}
	return l
}

func (n *node) Directory() lagoonhead.Directory { return &n.directory }

// directory has the same quota for every workspace but "unknown".
type directory struct {
	lagoonhead.Directory
	quota lagoonhead.Quota
}

func (*directory) Revision() int64 { return 1 }
func (d *directory) Quota(w lagoonhead.WorkspaceID) (lagoonhead.Quota, bool) {
	return d.quota, w != "unknown"
}

// link makes the calls of one node to another. It implements Commands.
type link struct{ from, to *node }

// reach takes the time of a network call. A call from or to an unreachable node
// blocks until ctx ends.
func (l link) reach(ctx context.Context) error {
	time.Sleep(networkDelay)
	if l.from.unreachable() || l.to.unreachable() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (l link) Borrow(ctx context.Context, r *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	if err := l.reach(ctx); err != nil {
		return nil, err
	}
	return l.to.runner.Borrow(ctx, r)
}

func (l link) GiveBack(ctx context.Context, r *peer.GiveBackRequest) (*peer.GiveBackResponse, error) {
	if err := l.reach(ctx); err != nil {
		return nil, err
	}
	return l.to.runner.GiveBack(ctx, r)
}

func (n *node) storeReachable() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return !n.c.storeDown && !n.dead && n.disconnectedSince == 0
}

func (n *node) Get(_ context.Context, _ string) (lagoonhead.Entry, error) {
	time.Sleep(networkDelay)
	if !n.storeReachable() {
		return lagoonhead.Entry{}, testError(lagoonhead.KindUnavailable)
	}
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.entry.Revision == 0 {
		return lagoonhead.Entry{}, testError(lagoonhead.KindNotFound)
	}
	return n.c.entry, nil
}

func (n *node) Put(_ context.Context, r lagoonhead.PutRequest) (int64, error) {
	time.Sleep(networkDelay)
	if !n.storeReachable() {
		return 0, testError(lagoonhead.KindUnavailable)
	}
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.entry.Revision != r.IfRevision {
		return 0, testError(lagoonhead.KindConflict)
	}
	n.c.entry = lagoonhead.Entry{Key: r.Key, Value: r.Value, Revision: max(r.IfRevision, n.c.lost) + 1}
	if n.c.entry.Revision%3 == 0 {
		return 0, testError(lagoonhead.KindUnknown) // the write took effect, but its response is lost
	}
	return n.c.entry.Revision, nil
}

func (n *node) List(context.Context, string) ([]lagoonhead.Entry, int64, error) {
	return nil, 0, nil
}
func (n *node) Watch(context.Context, string, int64) ([]lagoonhead.Event, int64, error) {
	return nil, 0, nil
}
func (n *node) Delete(context.Context, string, int64) error { return nil }
func (n *node) GrantLease(context.Context, time.Duration) (lagoonhead.LeaseID, error) {
	return "", nil
}
func (n *node) RenewLease(context.Context, lagoonhead.LeaseID) error  { return nil }
func (n *node) RevokeLease(context.Context, lagoonhead.LeaseID) error { return nil }

// arrival is one request of a generated load.
type arrival struct {
	at, duration              time.Duration
	prompt, maxOutput, output int // tokens
	node                      int // index of the daemon that gets the request
}

// generateLoad returns random requests for one minute. share is the fraction of the
// rate that they use. A fraction hot of them goes to the first daemon; the others are
// spread evenly over all daemons.
func generateLoad(seed uint64, n int, rate, share, hot float64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	var l []arrival
	for at := time.Duration(0); at < time.Minute; {
		a := arrival{at: at, prompt: 200 + rng.IntN(1600), maxOutput: 1000, output: 100 + rng.IntN(500), node: rng.IntN(n)}
		a.duration = time.Duration(a.output) * 10 * time.Millisecond
		if rng.Float64() < hot {
			a.node = 0
		}
		l = append(l, a)
		at += time.Duration(float64(a.prompt+a.output) / (rate * share) * rng.ExpFloat64() * float64(time.Second))
	}
	return l
}

// result is the outcome of a load.
type result struct {
	refused  []bool // by index of the request
	rerouted int    // sent to another daemon because one was not ready
	excess   float64
	counters map[string]int
}

// runLoad sends the load to a fleet of n daemons and runs the script concurrently.
func runLoad(l []arrival, n int, q lagoonhead.Quota, script func(c *cluster)) result {
	c := newCluster(n, q)
	defer c.end()
	time.Sleep(30 * time.Second)
	res := result{refused: make([]bool, len(l)), counters: map[string]int{}}
	var mu sync.Mutex
	var w sync.WaitGroup
	if script != nil {
		w.Go(func() { script(c) })
	}
	began := c.clock.Now()
	for i, a := range l {
		w.Go(func() {
			time.Sleep(a.at)
			refused, rerouted := c.request(a, i)
			mu.Lock()
			defer mu.Unlock()
			res.refused[i] = refused
			res.rerouted += rerouted
		})
	}
	w.Wait()
	res.excess = c.excess(began)
	for _, name := range []string{"admitted", "waited", "refused", "wronglyRefused", "borrowed", "failedAsks"} {
		for _, o := range c.nodes {
			v, _ := strconv.Atoi(o.runner.Vars().Get(name).String())
			res.counters[name] += v
		}
	}
	return res
}

// request sends one request. When a daemon is not ready, it tries the next one.
func (c *cluster) request(a arrival, id int) (refused bool, rerouted int) {
	for k := range c.nodes {
		c.mu.Lock()
		o := c.nodes[(a.node+k)%len(c.nodes)]
		c.mu.Unlock()
		q := lagoonhead.NewRequest(lagoonhead.RequestID(strconv.Itoa(id)), "w", "m", c.clock.Now())
		q.SetTokens(a.prompt, a.maxOutput)
		r, err := o.runner.Admit(context.Background(), q)
		if lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
			rerouted++
			continue
		}
		if err != nil {
			return true, rerouted
		}
		c.mu.Lock()
		c.uses = append(c.uses, use{c.clock.Now(), int64(a.prompt + a.output)})
		c.mu.Unlock()
		time.Sleep(a.duration)
		r.Settle(int64(a.prompt + a.output))
		return false, rerouted
	}
	return true, rerouted
}

// excess returns the maximum over all windows of the tokens used in the window above
// rate*t + burst, where t is the length of the window. The first window starts at last.
func (c *cluster) excess(last time.Duration) float64 {
	worst, sum := -float64(c.quota.Burst), 0.0
	for _, u := range c.uses {
		sum = max(0, sum-c.quota.Rate*(u.at-last).Seconds()) + float64(u.used)
		last = u.at
		worst = max(worst, sum-float64(c.quota.Burst))
	}
	return worst
}

// tally adds up the results of several loads. Each load runs on the fleet and on one
// daemon with the whole rate and burst; the fields with ByOne are about the latter.
type tally struct {
	requests, refused, wrongly, refusedByOne, sentOn int
	usedPart                                         float64 // used / usedByOne
	leastHeadroom                                    float64 // minimum over all windows of the unused tokens
	counters                                         map[string]int
	used, usedByOne                                  int // tokens
}

func (y *tally) add(l []arrival, fleet, single result) {
	if y.counters == nil {
		y.counters, y.leastHeadroom = map[string]int{}, -fleet.excess
	}
	y.requests += len(l)
	y.sentOn += fleet.rerouted
	y.leastHeadroom = min(y.leastHeadroom, -fleet.excess)
	for i, a := range l {
		switch {
		case !fleet.refused[i]:
			y.used += a.prompt + a.output
		case !single.refused[i]:
			y.wrongly++
			fallthrough
		default:
			y.refused++
		}
		if single.refused[i] {
			y.refusedByOne++
		} else {
			y.usedByOne += a.prompt + a.output
		}
	}
	y.usedPart = float64(y.used) / float64(y.usedByOne)
	for name, v := range fleet.counters {
		y.counters[name] += v
	}
}

// restartAll restarts the daemons one after another.
func restartAll(c *cluster) {
	for i := range c.nodes {
		time.Sleep(8 * time.Second)
		c.nodes[i].stop()
		time.Sleep(time.Second)
		c.start(i)
	}
}

// Guards against a fleet that uses more than rate*t + burst in any window, and
// against refusals within the rate in the absence of failures. With -v it prints for
// each scenario, as wrongly, the number of requests that the fleet refuses although
// one daemon with the whole rate and burst admits them. At loads above the rate the
// two refuse different requests, and usedPart compares their throughput.
func TestFleetScenarios(t *testing.T) {
	const n, rate = 6, 6000.0
	for _, s := range []struct {
		name       string
		burst      int64
		share, hot float64
		script     func(*cluster)
	}{
		{"even", 30000, 0.85, 0, nil},
		{"uneven", 30000, 0.85, 0.7, nil},
		{"largeRequests", 12000, 0.8, 0, nil}, // about half of the requests are larger than a daemon's share of the burst
		{"oneDaemon", 30000, 0.85, 1, nil},
		{"oneDead", 30000, 0.85, 0, func(c *cluster) { time.Sleep(10 * time.Second); c.kill(2) }},
		{"oneCutOff", 30000, 0.85, 0, func(c *cluster) {
			time.Sleep(10 * time.Second)
			c.mu.Lock()
			c.nodes[2].disconnectedSince = c.clock.Now()
			c.mu.Unlock()
		}},
		{"storeDown", 30000, 0.85, 0.7, func(c *cluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.storeDown = true
		}},
		{"rollingRestart", 30000, 0.85, 0, restartAll},
		{"fiveTimesTheRate", 30000, 5, 0.7, nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			var sum tally
			quota := lagoonhead.Quota{Rate: rate, Burst: s.burst}
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					l := generateLoad(seed, n, rate, s.share, s.hot)
					fleet := runLoad(l, n, quota, s.script)
					sum.add(l, fleet, runLoad(l, 1, quota, nil))
					require.LessOrEqual(t, fleet.excess, quota.Rate*clockStep.Seconds())
				})
			}
			t.Logf("%+v", sum)
			if s.share < 1 && s.script == nil {
				require.Zero(t, sum.wrongly)
			}
		})
	}
}

package admit

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
)

// overload is a load of one workspace above its rate, with many small requests and some
// that are nearly as large as the burst or larger.
const (
	overloadRate     = 19_000
	overloadTime     = 64 * time.Second
	smallTokens      = 300
	smallPerSecond   = 20
	largePerSecond   = 4
	overloadVMs      = 18
	overloadPatience = 250 * time.Millisecond
)

var overloadTolerance = limit.Tolerance{Window: 8 * time.Second, Overrun: 0.1, Tokens: 190_000}

// overloadResult is what the callers of an overload get.
type overloadResult struct {
	small, smallAdmitted, large, largeAdmitted int
	tokens                                     int64   // of the admitted requests
	excess                                     float64 // over rate*t + burst
	refusedIn                                  time.Duration
	retryAfter                                 []time.Duration
	// ideal counts the tokens of the requests that one bucket with the whole quota and
	// debt admits.
	ideal int64
}

// charge is the charge of a request of an overload, at its time from the start.
type charge struct {
	at     time.Duration
	tokens int64
}

// admittedByOne returns the tokens that one bucket with the whole quota admits of the
// arrivals.
func admittedByOne(list []charge) (sum int64) {
	quota := lagoonhead.Quota{Rate: overloadRate, Burst: overloadRate}
	var b limit.Bucket
	b.SetShare(0, limit.ShareOf(quota, overloadTolerance.Debt(quota), []int{0}, []int{0}))
	slices.SortFunc(list, func(a, b charge) int { return cmp.Compare(a.at, b.at) })
	for _, a := range list {
		if _, ok := b.Charge(time.Minute+a.at, a.tokens); ok {
			sum += a.tokens
		}
	}
	return sum
}

// playOverload plays the overload on a fleet in which 6 VMs hold the slots.
func playOverload(t *testing.T, prepare func(*Runner)) (res overloadResult) {
	synctest.Test(t, func(*testing.T) {
		c := newClusterOf(overloadVMs, lagoonhead.Quota{Rate: overloadRate, Burst: overloadRate}, func(r *Runner) {
			r.SlotCount, r.MaxWait = 6, overloadPatience
			prepare(r)
		})
		defer c.end()
		time.Sleep(30 * time.Second)
		began := c.clock.Now()
		rng := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var w sync.WaitGroup
		var arrivals []charge
		send := func(tokens int, all, admitted *int) {
			*all++
			at, vm := time.Duration(rng.Int64N(int64(overloadTime))), rng.IntN(overloadVMs)
			arrivals = append(arrivals, charge{at, int64(tokens)})
			w.Go(func() {
				time.Sleep(at)
				sent := c.clock.Now()
				r, err := c.nodes[vm].runner.Admit(context.Background(), newRequest(c, "w", tokens))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					res.refusedIn = max(res.refusedIn, c.clock.Now()-sent)
					var a lagoonhead.RetryAfterer
					if errors.As(err, &a) {
						res.retryAfter = append(res.retryAfter, a.RetryAfter())
					}
					return
				}
				*admitted++
				res.tokens += int64(tokens)
				c.uses = append(c.uses, use{c.clock.Now(), int64(tokens)})
				r.Settle(int64(tokens))
			})
		}
		for range smallPerSecond * int(overloadTime/time.Second) {
			send(smallTokens, &res.small, &res.smallAdmitted)
		}
		for range largePerSecond * int(overloadTime/time.Second) {
			send(12_000+rng.IntN(18_000), &res.large, &res.largeAdmitted)
		}
		w.Wait()
		res.ideal = admittedByOne(arrivals)
		res.excess = c.excess(began)
	})
	return res
}

// Guards against a workspace above its rate that gets much less than its rate, because the
// tokens are scattered over the VMs and its large requests never find enough of them, and
// against small requests that the large ones crowd out. It answers the load of a workspace
// whose quota was lowered to a quarter of what it asks.
func TestAWorkspaceAboveItsRateGetsItsRate(t *testing.T) {
	scattered := playOverload(t, func(*Runner) {})
	asked := playOverload(t, func(r *Runner) { r.AskDirectly, r.MaxHomes, r.Tolerance = true, 2, overloadTolerance })
	part := func(r overloadResult) float64 { return float64(r.tokens) / float64(r.ideal) }
	t.Logf("of the tokens that one bucket admits: %.2f with a queue, %.2f asked for directly", part(scattered), part(asked))
	t.Logf("with a queue %d of %d small and %d of %d large ones, asked for directly %d and %d",
		scattered.smallAdmitted, scattered.small, scattered.largeAdmitted, scattered.large, asked.smallAdmitted, asked.largeAdmitted)
	require.Greater(t, part(asked), 0.9)
	require.Greater(t, part(asked), part(scattered))
	require.GreaterOrEqual(t, asked.smallAdmitted*100, asked.small*95)
	require.Greater(t, asked.largeAdmitted, scattered.largeAdmitted)
	quota := lagoonhead.Quota{Rate: overloadRate, Burst: overloadRate}
	require.LessOrEqual(t, asked.excess, float64(overloadTolerance.Debt(quota)))
}

// Guards against requests that wait in vain before they are refused, and against refused
// requests that return all at the same time.
func TestRefusedRequestsReturnSpread(t *testing.T) {
	asked := playOverload(t, func(r *Runner) { r.AskDirectly, r.MaxHomes, r.Tolerance = true, 2, overloadTolerance })
	require.NotEmpty(t, asked.retryAfter)
	buckets := make(map[time.Duration]int)
	for _, d := range asked.retryAfter {
		require.GreaterOrEqual(t, d, minRetryAfter)
		require.LessOrEqual(t, d, maxAskRetryAfter)
		buckets[d/(500*time.Millisecond)]++
	}
	for at, n := range buckets {
		if at < maxAskRetryAfter/(500*time.Millisecond) {
			require.Less(t, n, len(asked.retryAfter)/3, "too many return %s after their refusal", at*500*time.Millisecond)
		}
	}
	require.Less(t, asked.refusedIn, overloadPatience+100*time.Millisecond)
}

// Guards against refused requests of a workspace far above its rate that each cost several
// calls to peers: when these are slow, the calls take all descriptors of the daemon.
func TestRefusalsCostFewCalls(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		c := newClusterOf(overloadVMs, lagoonhead.Quota{Rate: overloadRate, Burst: overloadRate}, func(r *Runner) {
			r.SlotCount, r.MaxWait = 6, overloadPatience
			r.AskDirectly, r.MaxHomes, r.Tolerance = true, 2, overloadTolerance
		})
		defer c.end()
		time.Sleep(30 * time.Second)
		without := slices.IndexFunc(c.nodes, func(n *node) bool { return len(n.runner.SlotsInUse()) == 0 })
		require.GreaterOrEqual(t, without, 0, "a daemon without slots must ask others")
		r := c.nodes[without].runner
		const seconds, perSecond = 4, 1000
		var w sync.WaitGroup
		for i := range seconds * perSecond {
			w.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / perSecond)
				if res, err := r.Admit(context.Background(), newRequest(c, "w", 200+i%7*1000)); err == nil {
					res.Settle(res.(*reservation).receipt.Charged())
				}
			})
		}
		w.Wait()
		asks, admitted := r.counters.asks.Value(), r.counters.waited.Value()
		t.Logf("%d requests, %d admitted, %d calls", seconds*perSecond, admitted, asks)
		rounds := int64(seconds*time.Second/denialTime) * 7 // for each size
		require.Less(t, asks, 4*admitted+4*rounds)
	})
}

package admit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
)

// admittedAfterRestart kills all daemons of a fleet and starts them again. It returns the
// fraction of the requests of the next 2 s that are admitted, and the tokens used in
// excess of the limit. The requests use the fraction share of the rate and wait at most
// 250 ms.
func admittedAfterRestart(t *testing.T, share float64, tolerance limit.Tolerance) (fraction, excess float64) {
	const n = 6
	quota := lagoonhead.Quota{Rate: 47_000, Burst: 47_000}
	synctest.Test(t, func(*testing.T) {
		c := newClusterOf(n, quota, func(r *Runner) {
			r.NoEarlierProcess, r.Tolerance, r.MaxWait = true, tolerance, 250*time.Millisecond
		})
		defer c.end()
		time.Sleep(30 * time.Second)
		for i := range n {
			c.kill(i)
		}
		for i := range n {
			c.start(i)
		}
		time.Sleep(50 * time.Millisecond)
		began := c.clock.Now()
		var mu sync.Mutex
		var w sync.WaitGroup
		admitted, all := 0, 0
		for _, a := range generateLoad(1, n, quota.Rate, share, 0) {
			if a.at > 2*time.Second {
				break
			}
			all++
			w.Go(func() {
				time.Sleep(a.at)
				q := lagoonhead.NewRequest("r", "w", "m", c.clock.Now())
				q.SetTokens(a.prompt, a.output)
				r, err := c.nodes[a.node].runner.Admit(context.Background(), q)
				if err != nil {
					return
				}
				mu.Lock()
				admitted++
				c.uses = append(c.uses, use{c.clock.Now(), q.Charge()})
				mu.Unlock()
				r.Settle(q.Charge())
			})
		}
		w.Wait()
		fraction, excess = float64(admitted)/float64(all), c.excess(began)
	})
	return fraction, excess
}

// Guards against slots that change their holders, so that both spend for a while, because the
// store lost the slot table.
func TestALostSlotTableIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		const n = 4
		c := newCluster(n, lagoonhead.Quota{Rate: 1000, Burst: 1000})
		defer c.end()
		time.Sleep(30 * time.Second)
		holders := func() (list []lagoonhead.VMID) {
			c.mu.Lock()
			defer c.mu.Unlock()
			table, err := limit.ParseTable(c.entry.Value)
			require.NoError(t, err)
			for _, s := range table.Slots {
				list = append(list, s.VM)
			}
			return list
		}
		before := holders()
		require.NotContains(t, before, lagoonhead.VMID(""))
		c.mu.Lock()
		c.lost, c.entry = c.entry.Revision, lagoonhead.Entry{}
		c.mu.Unlock()
		time.Sleep(2 * slotInterval)
		require.Equal(t, before, holders())
		for _, v := range c.nodes {
			require.NotEmpty(t, v.runner.SlotsInUse())
		}
	})
}

// Guards against a fleet that, after a power failure of all VMs, refuses requests that
// the tolerance of the limit covers: requests arrive as before, but every bucket is new.
func TestAllDaemonsRestart(t *testing.T) {
	for _, share := range []float64{0.3, 0.55, 0.8} {
		empty, _ := admittedAfterRestart(t, share, limit.Tolerance{})
		advanced, excess := admittedAfterRestart(t, share, limit.Tolerance{Window: 8 * time.Second, Overrun: 0.1, Tokens: 190_000})
		t.Logf("at %.2f of the rate: admitted %.3f with empty buckets, %.3f with an advance", share, empty, advanced)
		require.Less(t, empty, advanced)
		require.Greater(t, advanced, 0.95)
		require.LessOrEqual(t, excess, 0.0, "the buckets never exceed the burst")
	}
}

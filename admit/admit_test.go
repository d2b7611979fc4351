package admit

import (
	"context"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

func newRequest(c *cluster, w lagoonhead.WorkspaceID, tokens int) *lagoonhead.Request {
	q := lagoonhead.NewRequest("r", w, "m", c.clock.Now())
	q.SetTokens(tokens, 0)
	return q
}

// withOneDaemon runs f with a single daemon that holds all slots and has full buckets.
func withOneDaemon(t *testing.T, f func(c *cluster, r *Runner)) {
	synctest.Test(t, func(*testing.T) {
		c := newCluster(1, lagoonhead.Quota{Rate: 100, Burst: 1000})
		defer c.end()
		time.Sleep(30 * time.Second)
		f(c, c.nodes[0].runner)
	})
}

// Guards against refusals with the wrong kind or without a Retry-After time.
func TestRefusals(t *testing.T) {
	withOneDaemon(t, func(c *cluster, r *Runner) {
		_, err := r.Admit(context.Background(), newRequest(c, "w", 1001))
		require.Equal(t, lagoonhead.KindInvalid, lagoonhead.KindOf(err))
		_, err = r.Admit(context.Background(), newRequest(c, "unknown", 1))
		require.Equal(t, lagoonhead.KindNotFound, lagoonhead.KindOf(err))
		_, err = r.Admit(context.Background(), newRequest(c, "w", 1000))
		require.NoError(t, err)

		began := c.clock.Now()
		_, err = r.Admit(context.Background(), newRequest(c, "w", 1000))
		require.Equal(t, lagoonhead.KindExhausted, lagoonhead.KindOf(err))
		require.InDelta(t, 10, (c.clock.Now() - began).Seconds(), 0.1)
		var after lagoonhead.RetryAfterer
		require.ErrorAs(t, err, &after)
		require.Equal(t, 10*time.Second, after.RetryAfter())

		_, err = r.Admit(context.Background(), newRequest(c, "w", 500))
		require.NoError(t, err)
		q := newRequest(c, "w", 1000)
		q.SetDeadline(c.clock.Now())
		began = c.clock.Now()
		_, err = r.Admit(context.Background(), q)
		require.Equal(t, lagoonhead.KindExhausted, lagoonhead.KindOf(err))
		require.Less(t, c.clock.Now()-began, 100*time.Millisecond)
	})
}

// Guards against tokens that are lost when a caller leaves while its request waits,
// or refunded twice when a reservation is settled twice.
func TestSettleAndAbandon(t *testing.T) {
	withOneDaemon(t, func(c *cluster, r *Runner) {
		res, err := r.Admit(context.Background(), newRequest(c, "w", 1000))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = r.Admit(ctx, newRequest(c, "w", 500))
		require.Equal(t, lagoonhead.KindTimeout, lagoonhead.KindOf(err))
		res.Settle(100)
		res.Settle(0)
		r.mu.Lock()
		ws := r.workspaces["w"]
		require.EqualValues(t, 0, ws.waitingTokens)
		require.EqualValues(t, 0, ws.unsettled)
		require.InDelta(t, 1000, ws.bucket.Available(c.clock.Now()), 1)
		r.mu.Unlock()
		_, err = r.Admit(context.Background(), newRequest(c, "w", 990))
		require.NoError(t, err)
	})
}

// Guards against large requests that are starved by small ones, and deferrable ones
// that use the tokens that others need.
func TestOrderWithinAWorkspace(t *testing.T) {
	withOneDaemon(t, func(c *cluster, r *Runner) {
		_, err := r.Admit(context.Background(), newRequest(c, "w", 1000))
		require.NoError(t, err)
		got := make(chan string, 3)
		send := func(name string, tokens int, p lagoonhead.Priority) {
			q := newRequest(c, "w", tokens)
			q.SetPriority(p)
			_, err := r.Admit(context.Background(), q)
			require.NoError(t, err)
			got <- name
		}
		go send("deferrable", 10, lagoonhead.PriorityDeferrable)
		synctest.Wait()
		go send("large", 500, lagoonhead.PriorityNormal)
		synctest.Wait()
		go send("small", 10, lagoonhead.PriorityNormal)
		require.Equal(t, "large", <-got)
		require.Equal(t, "small", <-got)
		require.Equal(t, "deferrable", <-got)
	})
}

// Guards against a lender that credits a duplicate return of tokens, a return to
// another process, or a return to a bucket that has been created again.
func TestGiveBackIsCreditedOnce(t *testing.T) {
	withOneDaemon(t, func(c *cluster, r *Runner) {
		ctx := context.Background()
		resp, err := r.Borrow(ctx, &peer.BorrowRequest{Workspace: "w", Tokens: 600, TtlMs: limit.LoanTTL.Milliseconds()})
		require.NoError(t, err)
		require.EqualValues(t, 600, resp.GetTokens())
		req := &peer.GiveBackRequest{Workspace: "w", Incarnation: "other", Loan: resp.GetLoan(), Returned: 200}
		own := func() int64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.workspaces["w"].bucket.OwnTokens(c.clock.Now(), 1)
		}
		_, _ = r.GiveBack(ctx, req)
		require.EqualValues(t, 400, own())
		req.Incarnation = string(r.Incarnation)
		for range 3 {
			_, _ = r.GiveBack(ctx, req)
			require.EqualValues(t, 600, own())
		}
		req.Returned = 600
		_, _ = r.GiveBack(ctx, req)
		time.Sleep(2 * sweepInterval)
		r.mu.Lock()
		require.Empty(t, r.workspaces)
		r.mu.Unlock()
		again, err := r.Borrow(ctx, &peer.BorrowRequest{Workspace: "w", Tokens: 600, TtlMs: limit.LoanTTL.Milliseconds()})
		require.NoError(t, err)
		require.NotEqual(t, resp.GetLoan(), again.GetLoan())
	})
}

// newLoadedRunner returns the runner of a daemon that holds the only slot, and one
// request for each of n workspaces.
func newLoadedRunner(n int) (*Runner, []*lagoonhead.Request) {
	c := &cluster{quota: lagoonhead.Quota{Rate: 1e9, Burst: 1e9}}
	o := &node{c: c, directory: directory{quota: c.quota}}
	r := &Runner{VM: "a", Incarnation: "a1", Timer: &timer.System{}, Directory: o, Gate: o, Peers: o}
	r.init()
	r.slots.Observe(0, limit.Table{Slots: []limit.Slot{{VM: "a", Incarnation: "a1", Clean: true}}}, 1)
	r.applySlots(r.Timer.Now())
	qs := make([]*lagoonhead.Request, n)
	for i := range qs {
		qs[i] = lagoonhead.NewRequest("r", lagoonhead.WorkspaceID(strconv.Itoa(i)), "m", 0)
		qs[i].SetTokens(10, 10)
	}
	return r, qs
}

// BenchmarkAdmit measures Admit and Settle of a request for which the local bucket has
// enough tokens. They read the clock twice.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 6400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r, qs := newLoadedRunner(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				res, err := r.Admit(context.Background(), qs[i%n])
				if err != nil {
					b.Fatal(err)
				}
				res.Settle(10)
				i++
			}
		})
	}
}

// BenchmarkState measures the heap bytes that the runner keeps for each active
// workspace.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{100, 1000, 6400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				r, qs := newLoadedRunner(n)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for _, q := range qs {
					res, err := r.Admit(context.Background(), q)
					if err != nil {
						b.Fatal(err)
					}
					res.Settle(10)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(r)
				runtime.KeepAlive(qs)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/workspace")
		})
	}
}

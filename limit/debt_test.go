package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a request that is larger than the burst and so could never run, against
// large requests that starve because small ones keep the bucket below their size, and
// against small ones that wait until a large one is paid for.
func TestDebt(t *testing.T) {
	q := lagoonhead.Quota{Rate: 1000, Burst: 1000}
	const debt = 1600
	var b Bucket
	b.SetShare(0, ShareOf(q, debt, []int{0}, []int{0}))
	now := 10 * time.Second
	require.EqualValues(t, 1000+debt*3/4, b.Available(now))
	_, ok := b.Charge(now, 2201)
	require.False(t, ok, "a quarter of the debt is left to small requests")
	_, ok = b.Charge(now, 2200)
	require.True(t, ok)
	_, ok = b.Charge(now, 101)
	require.False(t, ok, "nothing large runs while the bucket is in debt")
	for range 4 {
		_, ok = b.Charge(now, 100)
		require.True(t, ok)
	}
	_, ok = b.Charge(now, 100)
	require.False(t, ok, "the whole debt is used")

	wait, ok := b.Wait(now, 100)
	require.True(t, ok)
	require.InDelta(t, 0.1, wait.Seconds(), 0.001)
	wait, ok = b.Wait(now, 500)
	require.True(t, ok)
	require.InDelta(t, 1.6, wait.Seconds(), 0.001)
	_, ok = b.Charge(now+wait-time.Millisecond, 500)
	require.False(t, ok)
	_, ok = b.Charge(now+wait, 500)
	require.True(t, ok)
	_, ok = b.Wait(now, 5000)
	require.False(t, ok, "it never has as many")
}

// Guards against a loan that takes a bucket further into debt than a charge may.
func TestLoansFromABucketInDebt(t *testing.T) {
	q := lagoonhead.Quota{Rate: 1000, Burst: 1000}
	var b Bucket
	b.SetShare(0, ShareOf(q, 1600, []int{0}, []int{0}))
	now := 10 * time.Second
	_, lent := b.Lend(now, 5000)
	require.EqualValues(t, 2200, lent)
	_, lent = b.Lend(now, 500)
	require.Zero(t, lent)
	_, lent = b.Lend(now, 100)
	require.EqualValues(t, 100, lent)
}

// Guards against a debt that exceeds its part of the tolerance, or that no tolerance covers.
func TestDebtOfATolerance(t *testing.T) {
	q := lagoonhead.Quota{Rate: 1000, Burst: 500}
	require.Zero(t, Tolerance{}.Debt(q))
	a := Tolerance{Window: 8 * time.Second, Overrun: 0.1, Tokens: 50}
	require.LessOrEqual(t, float64(a.Advance(q)+2*a.Debt(q)), a.accepted(q), "an advance, with the debt that it forgets, and a new one")
}

package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

func coldTraitsOf(start time.Duration, perSecond float64) func(string) ColdTraits {
	return func(string) ColdTraits { return ColdTraits{Start: start, PerSecond: perSecond} }
}

// sentTo counts the requests that a board sends to an endpoint at one time.
func sentTo(b *Board, at time.Duration, id lagoonhead.EndpointID, tries int) (n int) {
	for range tries {
		if e, ok := b.PickRun(at, RunRequest{Service: model}); ok && e.ID() == id {
			n++
		}
	}
	return n
}

// Guards against shares of settled VMs that add up to more than the bound, against a rate above that
// of the endpoint, and against shares that allow no request.
func TestPlanCold(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2, 19, 600} {
		for _, bound := range []float64{perSecond, 1.5*perSecond + 5} {
			for _, vms := range []int{0, 1, 6, 300} {
				for _, settled := range []bool{true, false} {
					n, s := PlanCold(perSecond, bound, vms, settled)
					if n == 0 {
						require.Zero(t, s)
						continue
					}
					require.LessOrEqual(t, n, vms)
					require.GreaterOrEqual(t, s.Burst, 1.0)
					require.LessOrEqual(t, float64(n)*s.PerSecond, perSecond)
					require.LessOrEqual(t, float64(n)*(s.Burst+1.5*s.PerSecond), coldSettledPart*bound+1e-9)
				}
			}
		}
	}
	n, s := PlanCold(19, 33.5, 300, true)
	require.Equal(t, 4, n)
	require.InDelta(t, 3.24, s.PerSecond, 0.01)
}

// Guards against an endpoint that is cold too short: one that registers anew, one that becomes cold
// again, one that was not reached; and against one that is cold for ever or at a VM that cannot tell.
func TestWhenEndpointsAreCold(t *testing.T) {
	d := engineAt("d", lagoonhead.RoleDecode).WithIncarnation("1")
	traits := coldTraitsOf(3*time.Second, 19)
	set := func(b *Board, at time.Duration, starting bool, e lagoonhead.Endpoint) int {
		list := []lagoonhead.Endpoint{e}
		b.SetEndpoints(list, cacheCapacity)
		return len(b.SetCold(at, list, starting, traits))
	}
	cold := func(b *Board, at time.Duration) bool { return b.ColdCounts(at).Cold == 1 }

	b := newBoard(nil)
	require.Equal(t, 0, set(b, now, true, d), "it may have started long ago")
	require.Equal(t, 1, set(b, now+time.Second, false, d.WithColdUntil(now+2*time.Second)), "it has become cold again")
	require.True(t, cold(b, now+2*time.Second-1))
	require.False(t, cold(b, now+2*time.Second))
	require.Equal(t, 0, set(b, now+5*time.Second, false, d.WithColdUntil(now+2*time.Second)), "the entry is old")
	require.Equal(t, 1, set(b, now+6*time.Second, false, d.WithIncarnation("2")))
	require.Equal(t, 0, set(b, now+7*time.Second, false, d.WithIncarnation("2")))
	require.True(t, cold(b, now+9*time.Second-1), "counted from when this VM first heard of it")
	require.False(t, cold(b, now+9*time.Second))

	b.SetEndpoints(nil, cacheCapacity)
	b.SetCold(now+10*time.Second, nil, false, traits)
	require.Equal(t, 0, set(b, now+12*time.Second, false, d.WithIncarnation("2")), "its entry was lost for a while")

	b.RecordResult(now+20*time.Second, b.targets["d"].endpoint, Unreachable)
	require.True(t, cold(b, now+23*time.Second), "it may start again until it is tried again")
	require.False(t, cold(b, now+24*time.Second))

	b = newBoard(nil)
	require.Equal(t, 1, set(b, now, true, d.WithColdUntil(now+time.Second)), "the entry says so")
	late := newBoard([]lagoonhead.Endpoint{d.WithColdUntil(now + time.Minute)})
	known := []lagoonhead.Endpoint{d.WithColdUntil(now + time.Minute)}
	late.SetCold(now, known, true, coldTraitsOf(0, 0))
	require.Len(t, late.SetCold(now+time.Second, known, true, traits), 1, "the configuration comes after the registrations")
	require.Zero(t, sentTo(late, now+time.Second, "d", 5), "the bucket is empty at first")

	off := newBoard(nil)
	off.SetEndpoints([]lagoonhead.Endpoint{d}, cacheCapacity)
	require.Empty(t, off.SetCold(now, []lagoonhead.Endpoint{d.WithColdUntil(now + time.Hour)}, false, coldTraitsOf(0, 0)))
	off.RecordResult(now, d, Unreachable)
	require.False(t, cold(off, now+time.Second))
}

// Guards against requests to a cold endpoint beyond this VM's share, also prefills and runs that were
// reserved before it became cold; against a request that is refused while another endpoint can take
// it; and against callers that are told to come back too early or too late.
func TestColdEndpointsGetTheirShare(t *testing.T) {
	list := fleet(1, 2)
	b := newBoard(list)
	b.ColdShare = func(lagoonhead.EndpointID, float64) ColdShare { return ColdShare{PerSecond: 2, Burst: 1} }
	cold := func(at time.Duration, until time.Duration, ids ...lagoonhead.EndpointID) {
		next := fleet(1, 2)
		for i, e := range next {
			for _, id := range ids {
				if e.ID() == id {
					next[i] = e.WithColdUntil(until)
				}
			}
		}
		b.SetEndpoints(next, cacheCapacity)
		b.SetCold(at, next, true, coldTraitsOf(3*time.Second, 19))
	}
	cold(now, now+10*time.Second, "d0")
	require.Zero(t, sentTo(b, now, "d0", 20), "the bucket is empty at first")
	require.Equal(t, 1, sentTo(b, now+time.Second, "d0", 20))
	require.Zero(t, b.LimitWait(now+time.Second, model, lagoonhead.VersionPin{}, lagoonhead.RegionSet{}))
	require.Equal(t, ColdCounts{Cold: 1, Sent: 1}, func() ColdCounts {
		c := b.ColdCounts(now + time.Second)
		c.Withheld = 0
		return c
	}())

	cold(now+time.Second, now+10*time.Second, "d0", "d1", "p0")
	_, ok := b.PickRun(now+time.Second, RunRequest{Service: model})
	require.False(t, ok)
	require.Equal(t, time.Second/2, b.LimitWait(now+time.Second, model, lagoonhead.VersionPin{}, lagoonhead.RegionSet{}))
	at := now + 2*time.Second
	v, ok := b.PickPrefill(at, prefillRequest(long("a")))
	require.True(t, ok)
	require.True(t, v.PrefillOnly)
	e, reserved, ok := b.ReserveRun(at, RunRequest{Service: model})
	require.True(t, ok && reserved)
	require.True(t, b.StartReserved(at, e), "the reservation has taken the token")
	_, ok = b.PickRun(at, RunRequest{Service: model, Avoid: []lagoonhead.EndpointID{e.ID()}})
	require.True(t, ok)
	_, ok = b.PickRun(at, RunRequest{Service: model})
	require.False(t, ok)
	_, ok = b.PickPrefill(at, prefillRequest(long("b")))
	require.False(t, ok, "prefills count too")

	b = newBoard(list)
	b.ColdShare = func(lagoonhead.EndpointID, float64) ColdShare { return ColdShare{} }
	cold(now, now+2*time.Second, "d1")
	require.False(t, b.StartReserved(now, list[2]), "it was reserved before the endpoint became cold")
	require.True(t, b.StartReserved(now+2*time.Second, list[2]))
	require.Equal(t, 10, sentTo(b, now, "d0", 10))
}

// Guards against prompts and KV caches that leave the allowed regions.
func TestRegions(t *testing.T) {
	place := map[string]string{"p0": "north", "p1": "south", "d0": "south", "d1": "north"}
	list := fleet(2, 3)
	for i, e := range list {
		list[i] = e.WithRegion(place[string(e.ID())])
	}
	b := newBoard(list)
	for _, c := range []struct {
		regions lagoonhead.RegionSet
		engines []lagoonhead.EndpointID
	}{
		{lagoonhead.LimitRegions([]string{"north"}), []lagoonhead.EndpointID{"p0", "d1"}},
		{lagoonhead.LimitRegions([]string{"south"}), []lagoonhead.EndpointID{"p1", "d0"}},
		{lagoonhead.LimitRegions([]string{"north", "south"}), []lagoonhead.EndpointID{"p0", "p1", "d0", "d1"}},
		{lagoonhead.LimitRegions([]string{"west"}), nil},
		{lagoonhead.LimitRegions([]string{"north"}).Intersect(lagoonhead.LimitRegions([]string{"south"})), nil},
		{lagoonhead.RegionSet{}.Intersect(lagoonhead.LimitRegions([]string{"north", "west"})), []lagoonhead.EndpointID{"p0", "d1"}},
		{lagoonhead.LimitRegions(nil), []lagoonhead.EndpointID{"p0", "p1", "d0", "d1", "d2"}},
	} {
		for range 30 {
			r := prefillRequest(long("a"))
			r.Regions = c.regions
			v, ok := b.PickPrefill(now, r)
			require.Equal(t, c.engines != nil, ok)
			e, runs := b.PickRun(now, RunRequest{Service: model, Regions: c.regions})
			require.Equal(t, c.engines != nil, runs)
			require.Equal(t, c.engines != nil, b.HasVersion(model, lagoonhead.VersionPin{}, c.regions))
			if c.engines != nil {
				require.Contains(t, c.engines, v.Endpoint.ID())
				require.Contains(t, c.engines, e.ID())
			}
		}
	}
	// No engine of the region can run what p0 prefills.
	b.SetEndpoints(list[:3], cacheCapacity)
	r := prefillRequest(long("a"))
	r.Regions = lagoonhead.LimitRegions([]string{"north"})
	_, ok := b.PickPrefill(now, r)
	require.False(t, ok)
}

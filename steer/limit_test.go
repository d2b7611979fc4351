package steer

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

const (
	limitTestWindow = 4 * time.Second
	// pressurePause is the time between two requests of a VM that always has some.
	pressurePause = 20 * time.Millisecond
)

// limitedFleet returns the boards of VMs that know one endpoint, with a limit, and share it
// among the VMs for which holds returns true.
func limitedFleet(vms int, perSecond float64, holds func(vm int) bool) []*Board {
	d := engineAt("d", lagoonhead.RoleDecode)
	boards := make([]*Board, vms)
	for i := range boards {
		boards[i] = newBoard([]lagoonhead.Endpoint{d})
		boards[i].LimitShare = func(_ lagoonhead.EndpointID, perSecond float64) float64 {
			if !holds(i) {
				return 0
			}
			return perSecond / float64(LimitHolders(perSecond, vms))
		}
		boards[i].SetLimit(now, d, perSecond)
	}
	return boards
}

// sentUnderPressure returns the times at which VMs send requests that all of them always have.
func sentUnderPressure(boards []*Board, duration time.Duration) (sent []time.Duration) {
	for at := time.Duration(0); at < duration; at += pressurePause {
		for _, b := range boards {
			if _, ok := b.PickRun(now+at, RunRequest{Service: model}); ok {
				sent = append(sent, at)
			}
		}
	}
	return sent
}

func mostWithin(sent []time.Duration, window time.Duration) (most int) {
	first := 0
	for i, at := range sent {
		for at-sent[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against shares of a limit that together exceed it, in small and large fleets, also
// while two VMs disagree on who has one; and against a limit that is hardly used.
func TestSharesOfALimit(t *testing.T) {
	for _, vms := range []int{1, 6, 80, 295} {
		for _, limit := range []float64{0.1, 0.9, 2.1, 4.2, 20, 290, 1000} {
			t.Run(fmt.Sprintf("%d VMs, %g a second", vms, limit), func(t *testing.T) {
				allowed := 1.5*limit*limitTestWindow.Seconds() + 5
				holders := LimitHolders(limit, vms)
				sent := sentUnderPressure(limitedFleet(vms, limit, func(vm int) bool { return vm < holders }), 3*limitTestWindow)
				require.LessOrEqual(t, float64(mostWithin(sent, limitTestWindow)), allowed)
				offered := float64(vms) / pressurePause.Seconds()
				require.GreaterOrEqual(t, float64(mostWithin(sent, limitTestWindow)), 0.7*min(limit, offered)*limitTestWindow.Seconds()-1)
				oneMore := sentUnderPressure(limitedFleet(vms, limit, func(vm int) bool { return vm <= holders }), 3*limitTestWindow)
				require.LessOrEqual(t, float64(mostWithin(oneMore, limitTestWindow)), allowed)
			})
		}
	}
}

// Guards against a limit that is learned only from one's own requests, whose end is not told,
// or that an older word of a peer brings back.
func TestLimitsAreToldToPeers(t *testing.T) {
	d := engineAt("d", lagoonhead.RoleDecode)
	boards := []*Board{newBoard([]lagoonhead.Endpoint{d}), newBoard([]lagoonhead.Endpoint{d})}
	exchange := func(at time.Duration) {
		first := boards[0].Report(at, Recipient{VM: "vm-1"})
		boards[0].SetPeerWork(at, "vm-1", false, boards[1].Report(at, Recipient{VM: "vm-0"}))
		boards[1].SetPeerWork(at, "vm-0", false, first)
	}
	limits := func() (list []float64) {
		for _, b := range boards {
			list = append(list, b.findTarget(d).limit.perSecond)
		}
		return list
	}
	require.False(t, boards[0].SetLimit(now, d, 0))
	require.True(t, boards[0].SetLimit(now, d, 3))
	exchange(now + time.Second)
	require.Equal(t, []float64{3, 3}, limits())
	require.True(t, boards[1].SetLimit(now+2*time.Second, d, 0))
	exchange(now + 3*time.Second)
	require.Equal(t, []float64{0, 0}, limits())
	exchange(now + 4*time.Second)
	require.Equal(t, []float64{0, 0}, limits())
	require.True(t, boards[0].SetLimit(now+5*time.Second, d, 7))
	exchange(now + 6*time.Second)
	require.Equal(t, []float64{7, 7}, limits())

	restarted := d.WithIncarnation("next")
	boards[0].SetEndpoints([]lagoonhead.Endpoint{restarted}, cacheCapacity)
	require.Zero(t, boards[0].findTarget(restarted).limit.perSecond, "a new process has named no limit")
}

// Guards against a limit that ends with one response that does not name it, between others
// that do, and against one that does not end.
func TestALimitEndsWhenNoResponseNamesIt(t *testing.T) {
	d := engineAt("d", lagoonhead.RoleDecode)
	b := newBoard([]lagoonhead.Endpoint{d})
	require.True(t, b.SetLimit(now, d, 2))
	require.False(t, b.SetLimit(now+unnamedLimitTTL/2, d, 0))
	require.False(t, b.SetLimit(now+unnamedLimitTTL/2, d, 2))
	require.False(t, b.SetLimit(now+unnamedLimitTTL, d, 0))
	require.True(t, b.SetLimit(now+2*unnamedLimitTTL, d, 0))
}

// Guards against a limit that ends everywhere with one old response at a VM that has not sent
// to the endpoint lately, although responses at other VMs name it.
func TestALimitThatPeersHearStaysInForce(t *testing.T) {
	d := engineAt("d", lagoonhead.RoleDecode)
	b, other := newBoard([]lagoonhead.Endpoint{d}), newBoard([]lagoonhead.Endpoint{d})
	require.True(t, b.SetLimit(now, d, 2))
	later := now + 5*time.Second
	require.True(t, other.SetLimit(later, d, 2))
	b.SetPeerWork(later, "vm-1", false, other.Report(later, Recipient{VM: "vm-0"}))
	require.False(t, b.SetLimit(later+unnamedLimitTTL/2, d, 0))
	require.True(t, b.SetLimit(later+unnamedLimitTTL, d, 0))
}

// Guards against requests that wait or are refused while an endpoint without a limit is there,
// and against callers who are told to come back before a request is allowed.
func TestLimitedEndpointsAreLeftToOthers(t *testing.T) {
	b := newBoard(fleet(1, 2))
	for _, id := range []string{"d0", "p0"} {
		require.True(t, b.SetLimit(now, b.targets[lagoonhead.EndpointID(id)].endpoint, 0.5))
	}
	for i := range 50 {
		e, ok := b.PickRun(now, RunRequest{Service: model})
		require.True(t, ok)
		require.Equal(t, lagoonhead.EndpointID("d1"), e.ID())
		v, ok := b.PickPrefill(now, prefillRequest(long(strconv.Itoa(i))))
		require.True(t, ok)
		require.Equal(t, lagoonhead.EndpointID("d1"), v.Endpoint.ID())
	}
	require.Zero(t, b.LimitWait(now, model, lagoonhead.VersionPin{}, lagoonhead.RegionSet{}))
	require.True(t, b.SetLimit(now, b.targets["d1"].endpoint, 0.25))
	_, ok := b.PickRun(now, RunRequest{Service: model})
	require.False(t, ok)
	require.Equal(t, 2*time.Second, b.LimitWait(now, model, lagoonhead.VersionPin{}, lagoonhead.RegionSet{}), "one in two seconds at d0 and p0")
	_, ok = b.PickRun(now+2*time.Second, RunRequest{Service: model})
	require.True(t, ok)
	_, ok = b.PickRun(now+2*time.Second, RunRequest{Service: model})
	require.False(t, ok)
}

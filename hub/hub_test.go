package hub

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

// TestMain sets a fixed seed for the property tests unless the command line sets one, so that
// runs in CI are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// fleet returns VMs in the given number of failure domains, the first few of each with a
// larger capacity.
func fleet(domains, perDomain, large int) []lagoonhead.VM {
	var list []lagoonhead.VM
	for d := range domains {
		for i := range perDomain {
			cores := 0.2
			if i < large {
				cores = 0.8
			}
			id := lagoonhead.VMID(fmt.Sprintf("vm-%d-%d", d, i))
			list = append(list, lagoonhead.NewVM(id, lagoonhead.FailureDomain(fmt.Sprint("domain", d)), "", false).WithCapacity(cores))
		}
	}
	return list
}

// Guards against a small fleet whose daemons depend on one of them.
func TestAllVMsOfASmallFleetAreHubs(t *testing.T) {
	for _, n := range []int{1, 2, 4} {
		l := NewLayout(fleet(3, n, 0))
		require.True(t, l.IsFlat())
		for _, v := range l.VMs() {
			require.True(t, l.IsHub(v.ID()))
			require.True(t, l.IsReader(v.ID()))
		}
	}
	require.True(t, NewLayout(nil).IsFlat())
}

// Guards against hubs that are too small for their work, readers that fail together, and a
// hub that all VMs of its domain prefer.
func TestHubsOfALargeFleet(t *testing.T) {
	l := NewLayout(fleet(6, 50, 3))
	require.False(t, l.IsFlat())
	require.Len(t, l.Hubs(), 6*minPerDomain)
	domains := make(map[lagoonhead.FailureDomain]bool)
	readers := 0
	for _, v := range l.Hubs() {
		require.InDelta(t, 0.8, v.Capacity(), 0)
		if l.IsReader(v.ID()) {
			readers++
			domains[v.FailureDomain()] = true
		}
	}
	require.Equal(t, maxReaders, readers)
	require.Len(t, domains, maxReaders)
	attached := make(map[lagoonhead.VMID]int)
	for _, v := range l.VMs() {
		order := l.Order(v.ID(), v.FailureDomain())
		require.Len(t, order, len(l.Hubs()))
		require.Equal(t, v.FailureDomain(), order[0].FailureDomain())
		require.Equal(t, v.FailureDomain(), order[1].FailureDomain())
		attached[order[0].ID()]++
	}
	for id, n := range attached {
		require.Less(t, n, maxAttached+10, id)
	}
}

// Guards against a cost for one VM that grows with the fleet.
func TestHubsGrowWithTheirDomain(t *testing.T) {
	for _, n := range []int{100, 1000, 3000} {
		l := NewLayout(fleet(6, n/6, 0))
		require.InDelta(t, float64(len(l.VMs()))/maxAttached, float64(len(l.Hubs())), 12)
	}
}

// Guards against hubs that depend on the order of the list, and against many that change
// when one VM leaves.
func TestHubsAreStable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		vms := fleet(rapid.IntRange(1, 6).Draw(r, "domains"), rapid.IntRange(3, 40).Draw(r, "perDomain"), rapid.IntRange(0, 3).Draw(r, "large"))
		if len(vms) <= MaxFlat+1 {
			return
		}
		l := NewLayout(vms)
		require.ElementsMatch(r, l.Hubs(), NewLayout(rapid.Permutation(vms).Draw(r, "order")).Hubs())
		gone := rapid.IntRange(0, len(vms)-1).Draw(r, "gone")
		rest := append(append([]lagoonhead.VM(nil), vms[:gone]...), vms[gone+1:]...)
		kept := 0
		next := NewLayout(rest)
		for _, v := range l.Hubs() {
			if next.IsHub(v.ID()) {
				kept++
			}
		}
		require.GreaterOrEqual(r, kept, len(l.Hubs())-2)
	})
}

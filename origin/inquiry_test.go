package origin

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a version that is guessed, and against a stream that is refused although its
// version is sure.
func TestInquiries(t *testing.T) {
	known := func(v string) witness {
		return witness{vm: "home", hub: true, Answer: Answer{Known: true, Software: v}}
	}
	single := func(hub, fresh bool, v string) witness {
		return witness{hub: hub, fresh: fresh, Answer: Answer{Versions: []string{v}}}
	}
	mixed := witness{hub: true, fresh: true, Answer: Answer{Versions: []string{"v1", "v2"}}}
	fresh, stale := single(true, true, "v1"), single(true, false, "v1")
	for _, c := range []struct {
		name     string
		hubs     int
		answers  []witness
		decided  bool
		software string
	}{
		{"no answer", 6, nil, false, ""},
		{"before the hubs are known", 0, []witness{single(false, false, "v1")}, false, ""},
		{"a home knows it", 6, []witness{mixed, known("v1")}, true, "v1"},
		{"homes contradict each other", 6, []witness{known("v1"), known("v2")}, true, ""},
		{"no home knows it", 6, []witness{mixed, mixed}, false, ""},
		{"one hub has seen another version", 6, []witness{fresh, mixed}, false, ""},
		{"two hubs have each seen another one", 6, []witness{fresh, single(true, true, "v2")}, false, ""},
		{"a fresh hub", 6, []witness{fresh}, true, "v1"},
		{"a fresh hub and one that is not", 6, []witness{stale, fresh}, true, "v1"},
		{"a fresh hub alone", 1, []witness{fresh}, true, "v1"},
		{"a VM that is no hub", 6, []witness{single(false, true, "v1")}, false, ""},
		{"a VM that is no hub has seen another one", 6, []witness{single(false, true, "v2"), fresh}, false, ""},
		{"half of the hubs, none fresh", 6, []witness{stale, stale, stale}, false, ""},
		{"most hubs, none fresh", 6, []witness{stale, stale, stale, stale}, false, "v1"},
		{"hubs that know of no endpoint", 6, []witness{{hub: true, fresh: true}, {hub: true, fresh: true}}, false, ""},
	} {
		q := inquiry{hubs: c.hubs}
		for _, w := range c.answers {
			q.add(w)
		}
		software, _, ok := q.result()
		require.Equal(t, c.decided, q.decided(), c.name)
		require.Equal(t, c.software != "", ok, c.name)
		if ok {
			require.Equal(t, c.software, software, c.name)
		}
	}
}

func hubs(n, domains int) (list []lagoonhead.VM) {
	for i := range n {
		id, d := lagoonhead.VMID(fmt.Sprintf("vm%03d", i)), lagoonhead.FailureDomain(fmt.Sprint("domain", i%domains))
		list = append(list, lagoonhead.NewVM(id, d, fmt.Sprint("peer", i), false))
	}
	return list
}

// Guards against homes in one failure domain, against VMs that disagree on them, and against hubs
// that are homes of most streams.
func TestHomes(t *testing.T) {
	list := hubs(6, 3)
	reversed := hubs(6, 3)
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	count := make(map[lagoonhead.VMID]int)
	const n = 6000
	for i := range n {
		key := Key("s", lagoonhead.RequestID(strconv.Itoa(i)))
		h := homes(list, key)
		require.Len(t, h, homeCount)
		require.NotEqual(t, h[0].FailureDomain(), h[1].FailureDomain())
		require.Equal(t, order(list, key), order(reversed, key))
		require.ElementsMatch(t, list, order(list, key))
		for _, v := range h {
			count[v.ID()]++
		}
	}
	for id, c := range count {
		require.InEpsilon(t, n*homeCount/len(list), c, 0.15, id)
	}
	require.Len(t, homes(hubs(3, 1), 1), homeCount, "there is one failure domain")
	require.Len(t, homes(hubs(1, 1), 1), 1)
	require.Empty(t, homes(nil, 1))
}

// Guards against streams whose homes are not asked any more after a hub has left or joined.
func TestFormerHomesAreAsked(t *testing.T) {
	for i := range 500 {
		key := Key("s", lagoonhead.RequestID(strconv.Itoa(i)))
		before := homes(hubs(6, 3), key)
		after := order(hubs(8, 3), key)[:firstAsked]
		found := false
		for _, v := range before {
			found = found || contains(after, v.ID())
		}
		require.True(t, found)
	}
}

func contains(list []lagoonhead.VM, id lagoonhead.VMID) bool {
	for _, v := range list {
		if v.ID() == id {
			return true
		}
	}
	return false
}

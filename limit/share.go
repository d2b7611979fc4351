package limit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

// MaxHomeSlots is the default of the largest number of home slots of a workspace. When the
// fleet has more slots than that, a workspace has shares at some of them only, so that a
// share does not become too small for a request.
const MaxHomeSlots = 12

// HomeSlots returns the home slots of a workspace among n slots, in ascending order. If
// there are more than most, they are chosen by rendezvous hashing. All daemons of a fleet
// must use the same value of most.
func HomeSlots(w lagoonhead.WorkspaceID, n, most int) []int {
	slots := make([]int, n)
	for i := range slots {
		slots[i] = i
	}
	if n <= most {
		return slots
	}
	score := make([]uint64, n)
	for i := range score {
		score[i] = xxhash.Sum64(append([]byte(w), 0, byte(i>>8), byte(i)))
	}
	slices.SortFunc(slots, func(a, b int) int {
		if score[a] > score[b] {
			return -1
		}
		return 1
	})
	slots = slots[:most]
	slices.Sort(slots)
	return slots
}

// ShareOf returns the part of q that is assigned to the given slots, for a workspace
// with the given home slots. debt is the sum of the debts, in tokens, that the buckets of
// all home slots may have. The bursts of all home slots add up to that of q exactly.
func ShareOf(q lagoonhead.Quota, debt int64, homes, slots []int) Share {
	n := microtokens(len(homes))
	var s Share
	burst := fromTokens(q.Burst)
	for i, h := range homes {
		if !slices.Contains(slots, h) {
			continue
		}
		k := microtokens(i)
		s.capacity += (burst/n)*(k+1) + (burst%n)*(k+1)/n - (burst/n)*k - (burst%n)*k/n
		s.rate += q.Rate / float64(n)
		s.debt += fromTokens(debt) / n
	}
	return s
}

package steer

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// shortPrefillTime is the prefill time below which a prompt is short. The hand-over of a prompt
	// that is prefilled apart takes as long as that.
	shortPrefillTime = handOverCost
	// unseenQueueCost is the cost of sending a short prompt to an engine that only prefills while
	// reports are old. Behind long prompts that no report showed yet, short ones waited for
	// 45 ms at the median and 676 ms at the 90th percentile, against 12 ms and 25 ms at the
	// engine that runs them.
	unseenQueueCost = 500 * time.Millisecond
	// maxDraws bounds the draws of a choice. With 30 of 60 engines eligible it finds none in one
	// choice of four billion; then engines of both roles are
	// compared.
	maxDraws = 32
	// drawnEngines is the number of engines without a prompt's shared part that are considered for
	// it. Two are enough to avoid the fullest; one more stands in for an engine that cannot be
	// used.
	drawnEngines = 3
	// maxFailingDraws bounds the failing engines that are drawn for a short prompt. While 60% of the
	// engines lose answers, one prompt in 60 finds no other by that. More would make all VMs choose the
	// emptiest engine where every engine fails.
	maxFailingDraws = 8
)

// drawnIndexes are indexes of endpoints of a service, drawn at random.
type drawnIndexes [drawnEngines]int

func (d *drawnIndexes) has(i int) bool { return slices.Contains(d[:], i) }

// draw returns random endpoints of a service. The first one only prefills if such an engine is found
// by maxDraws draws, so that a prompt without homes is compared at engines of both roles.
func (b *Board) draw(service string) (d drawnIndexes) {
	list := b.services[service]
	if len(list) == 0 {
		return d
	}
	for i := range d {
		d[i] = b.randomIndex(len(list))
	}
	for n := 0; n < maxDraws && list[d[0]].endpoint.Role() != lagoonhead.RolePrefill; n++ {
		d[0] = b.randomIndex(len(list))
	}
	return d
}

// isShort reports whether a prompt takes the engine that runs it only milliseconds to prefill. A
// prompt with a shared part that is tracked is not short.
func (b *Board) isShort(r PrefillRequest, part uint64) bool {
	return part == 0 && float64(r.Prompt.Tokens) < b.serviceRate(r.Service)*float64(shortPrefillTime/time.Millisecond)
}

// drawShort chooses the engine for a short prompt where reports are old: the better one of two that
// are drawn from those that run requests, so that the VMs do not all choose the engine that was the
// emptiest when it reported.
//
// It handles a load of short prompts while many of these engines lose answers, as when half of the
// endpoints reset connections for some seconds. With 60% of the engines failing, both of two drawn ones
// fail in more than a third of the draws. So an engine with recent failures does not count as one of the
// two, and is chosen only if its cost is the least nevertheless. Where no failures are known, there are
// two draws.
//
// ok is false if it finds none by maxDraws draws, or if the chosen one costs unseenQueueCost or more;
// then engines of both roles are to be compared.
func (b *Board) drawShort(now time.Duration, r PrefillRequest, healthy bool) (c PrefillChoice, ok bool) {
	list := b.services[r.Service]
	if len(list) == 0 {
		return c, false
	}
	var best time.Duration
	var first *target
	failing := 0
	for range maxDraws {
		t := list[b.randomIndex(len(list))]
		if t == first || !b.canRun(now, t, r.Avoid, r.Version, r.Regions, healthy) {
			continue
		}
		v, cost, fits := b.evaluate(now, t, r, 0, 0, [2]*target{}, cacheSources{})
		if !fits {
			continue
		}
		excess := b.drawExcess(now, t)
		cost += lossRisk(excess, r.Retryable) + b.refusalRisk(now, t)
		if !ok || cost < best {
			best, ok, c = cost, true, v
		}
		if excess > 0 && !b.failuresInTwoDraws {
			if failing++; failing == maxFailingDraws {
				break
			}
			continue
		}
		if first != nil {
			break
		}
		first = t
	}
	return c, ok && best < unseenQueueCost
}

// apartCost returns the further cost of prefilling a prompt at an engine that only prefills. Where
// reports are old, it keeps short prompts away from the queues of long ones, unless the engines that
// run requests are the worse choice by more: their queues of prefills are longer, or they fail.
func (b *Board) apartCost(r PrefillRequest, part uint64) time.Duration {
	if b.Spread && !b.unchanged && b.isShort(r, part) {
		return unseenQueueCost
	}
	return 0
}

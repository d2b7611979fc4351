package triage

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// LeastUrgent is the highest value of an urgency, which is the least urgent one.
	LeastUrgent = 9
	// behindShift is added to the urgency value of a prompt that goes behind those of its class that
	// can be in time. Classes are two apart, so that it stays ahead of the next class, whose prompts
	// are three to four times as long: a late answer is worth a third of one in time.
	behindShift, classDistance = 1, 2
	// yieldShift is added instead for a prompt of a workspace that has had its fair share. Even a
	// short one then goes behind the late prompts of class 2: nine in ten prompts of a flood are
	// short, and at 4 those that waited went ahead of others' late long ones.
	yieldShift = 5
	// yieldingPart is the part of the time from the arrival of prompts until they are due that those
	// which yield may fill, so that a long prompt of another workspace is still forecast to be in time:
	// it takes six tenths, 265 of 450 ms, where the queue is empty.
	yieldingPart = 0.4
	// overloadedShare is the part of the forecasts that miss the objective from which on a service
	// is overloaded, since callers expect nine tenths of the answers in time. minMisses is the least
	// decayed number of them; a single one may be a wrong forecast.
	overloadedShare, minMisses = 0.1, 1.5
	// lingering is the factor by which both must fall before a service is no longer overloaded. A
	// flood that yields lets the forecasts recover, and would go on at once. At four it lasts some
	// 5 s.
	lingering = 4
	// passingFactor is the time that a prompt waits which others pass, in multiples of the forecast
	// without that, until it is measured. For one that comes back it is 1.
	passingFactor = 1.5
	// censoredFactor is the factor by which the time counts for which a prompt waited in vain: it
	// would have waited at least that long again, as far as is known.
	censoredFactor = 2
)

// classBounds are the upper bounds of the classes of prompts by length, in tokens. The unshared part
// of a prompt is usually in the first two classes, a shared part that must be prefilled as well in
// the third.
var classBounds = [maxClass]int{2_000, 6_000, 24_000}

const maxClass = 3

// Class returns the number by which a prompt's urgency value is raised, so that an engine serves
// shorter prompts of the same urgency first. A prompt of 40,000 tokens in front of ten of 2,000
// would be in time itself and make all of them late.
func Class(tokens int) int {
	for i, bound := range classBounds {
		if tokens < bound {
			return i
		}
	}
	return maxClass
}

// Prompt is a prompt that is about to be sent to an engine, with its forecast. Times are on the
// timer of the caller of the package.
type Prompt struct {
	Service   string
	Workspace lagoonhead.WorkspaceID
	// Fingerprint is the same for a request that comes back after a refusal.
	Fingerprint uint64
	// Urgency is that of the route or workspace, 0 to 9.
	Urgency int
	// Tokens is the number of tokens that need prefill.
	Tokens int
	// Separate reports whether the engine only prefills.
	Separate bool
	// Wait is the expected time until the prompt is prefilled behind all that waits at the engine.
	Wait time.Duration
	// Unseen is the part of Wait that is due to work which no report shows. It is too uncertain to
	// refuse a prompt for.
	Unseen time.Duration
	// Due is when a prompt that arrived at Arrived must be prefilled to be in time. GiveUp is when
	// the caller gives up.
	Arrived, Due, GiveUp time.Duration
	// HasObjective is false on a route without a latency objective, which is never overloaded, and
	// where decisions under overload are off.
	HasObjective bool
	// Started reports whether the caller already has a part of the answer, so that a refusal would
	// cut it off. Resumes reports whether it has it from an earlier request.
	Started, Resumes bool
}

// Place is the place of a prompt in an engine's queue.
type Place uint8

// The values of Place.
const (
	// Unchanged is for prompts of services that are not overloaded, unless they yield.
	Unchanged Place = iota
	// Front is for prompts that can be in time, and for short ones.
	Front
	// Returned is for prompts that are late and come back after a refusal.
	Returned
	// Late is for prompts that can no longer be in time.
	Late
	// Yielding is for prompts of workspaces that have had their fair share.
	Yielding
)

// String returns the name of the place.
func (p Place) String() string {
	return [...]string{"unchanged", "front", "returned", "late", "yielding"}[p]
}

// Behind reports whether the place is behind prompts that can be in time.
func (p Place) Behind() bool { return p >= Returned }

// Decision is what to do with a prompt.
type Decision struct {
	Place Place
	// Urgency is the value to send.
	Urgency int
	// Expected is the expected time until the prompt is prefilled at its place.
	Expected time.Duration
	// Refused is true if the prompt is not to be sent. RetryAfter is the time after which the
	// caller may come back, or 0 if the service is not overloaded.
	Refused    bool
	RetryAfter time.Duration
}

// Judge makes the decisions of one VM. It is safe for concurrent use. The zero value is ready.
type Judge struct {
	// Random returns a random number from 0 to below 1. If it is nil, rand.Float64 is used.
	Random func() float64

	mu       sync.Mutex
	services map[string]*load
	refused  refusals
}

// load is what this VM knows of the load of a service.
type load struct {
	// missed is the part of the forecasts that missed the objective, by class.
	missed [maxClass + 1]ratio
	queued queued
	// least is the least wait in relation to the length, by class.
	least [maxClass + 1]leastWait
	// front and behind are the times until prompts were prefilled, by class, of those that were put
	// behind and the others. The forecast counts all that waits at an engine, of which a prompt
	// passes those of higher classes.
	front, behind [maxClass + 1]delays
	shares        shares
	wasOverloaded bool
}

func (j *Judge) random() float64 {
	if j.Random != nil {
		return j.Random()
	}
	return rand.Float64()
}

// load returns the load of a service. The caller holds mu.
func (j *Judge) load(service string) *load {
	l := j.services[service]
	if l == nil {
		if j.services == nil {
			j.services = make(map[string]*load)
		}
		l = new(load)
		j.services[service] = l
	}
	return l
}

// overloaded reports whether forecasts have missed the objective lately.
func (l *load) overloaded(now time.Duration) bool {
	least, share := minMisses, overloadedShare
	if l.wasOverloaded {
		least, share = least/lingering, share/lingering
	}
	l.wasOverloaded = slices.ContainsFunc(l.missed[:], func(m ratio) bool {
		return m.part*decayFactor(now-m.at, memory) >= least && m.part >= share*m.all
	})
	return l.wasOverloaded
}

// Decide decides on a prompt. The caller must call Begin for one that it sends.
func (j *Judge) Decide(now time.Duration, p Prompt) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	class := Class(p.Tokens)
	d := Decision{Urgency: p.Urgency, Expected: p.Wait}
	if p.Separate {
		d.Urgency += class
	}
	d.Urgency = min(LeastUrgent, d.Urgency)
	if !p.HasObjective {
		d.Refused = !p.Started && now+p.Wait-p.Unseen > p.GiveUp
		return d
	}
	l := j.load(p.Service)
	p.Due = min(p.Due, p.GiveUp)
	least := l.least[class].observe(now, p.Wait, p.Tokens, l.wasOverloaded)
	// A prompt that is late by its length alone, or because it was refused or failed before, shows no
	// overload.
	budget := p.Due - p.Arrived
	missed := p.Wait > budget && least <= budget
	l.missed[class].add(now, missed)
	if !j.refused.known(now, p.Fingerprint) {
		l.shares.ask(now, p.Workspace, p.Tokens, l.overloaded(now))
	}
	if overloaded := l.overloaded(now); !missed && !overloaded {
		d.Refused = !p.Started && now+p.Wait-p.Unseen > p.GiveUp
		// A flood begins before forecasts miss the objective, and what is sent until then waits at the
		// engines. Behind others it delays nobody, and where engines are idle it loses nothing.
		if !d.Refused && j.yields(now, l, p) {
			d.Place, d.Urgency = Yielding, Yielding.urgency(p.Urgency, class)
		}
		return d
	}
	d.Place, d.Expected = j.place(now, l, p, class)
	d.Urgency = d.Place.urgency(p.Urgency, class)
	if p.Started || now+d.Expected <= d.Place.latest(now, budget, p.GiveUp) {
		return d
	}
	d.Refused = true
	d.RetryAfter = j.retryAfter(now, now+p.Wait-p.Due, p.GiveUp)
	j.refused.add(now, p.Fingerprint, d.RetryAfter)
	return d
}

// urgency returns the urgency value that an overloaded service's prompt is sent with.
func (p Place) urgency(base, class int) int {
	u := base + max(0, classDistance*class-1)
	switch {
	case p == Yielding:
		u += yieldShift
	case p.Behind():
		u += behindShift
	}
	return min(LeastUrgent, u)
}

// latest returns until when a prompt must be expected to be prefilled to be sent. Other VMs count
// those that yield in their forecasts, since they do not know that they yield.
func (p Place) latest(now, budget, giveUp time.Duration) time.Duration {
	if p == Yielding {
		return min(giveUp, now+time.Duration(yieldingPart*float64(budget)))
	}
	return giveUp
}

// place returns the place of a prompt of an overloaded service, and the expected time until it is
// prefilled there.
func (j *Judge) place(now time.Duration, l *load, p Prompt, class int) (Place, time.Duration) {
	// Prompts that were put behind do not delay those in front.
	unpassed := time.Duration(float64(p.Wait) * (1 - l.queued.behindShare(now)))
	front := l.front[class].estimate(now, unpassed)
	if j.yields(now, l, p) {
		return Yielding, max(p.Wait, l.behind[class].estimate(now, p.Wait))
	}
	switch {
	// A caller with a part of the answer waits for the next event. A short prompt costs the others
	// less than the error of a forecast.
	case p.Started, p.Resumes, class == 0, now+front <= p.Due:
		return Front, front
	case j.refused.returned(now, p.Fingerprint):
		// It is given the benefit of a forecast without others that pass it.
		return Returned, l.behind[class].estimate(now, p.Wait)
	default:
		return Late, l.behind[class].estimate(now, time.Duration(passingFactor*float64(p.Wait)))
	}
}

// yields reports whether a prompt yields to those of other workspaces.
func (j *Judge) yields(now time.Duration, l *load, p Prompt) bool {
	part := l.shares.yields(now, p.Workspace)
	if j.refused.returned(now, p.Fingerprint) {
		part *= part
	}
	return !p.Started && !p.Resumes && draw(p.Fingerprint) < part
}

// draw returns a number from 0 to below 1 that is the same for each attempt of a request, since one
// that is drawn again whenever it comes back would not yield for long.
func draw(fingerprint uint64) float64 {
	return float64(fingerprint*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

// Begin records that a prompt is sent as decided.
func (j *Judge) Begin(now time.Duration, p Prompt, d Decision) {
	if !p.HasObjective {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.load(p.Service).queued.change(now, p.Tokens, d.Place)
	j.refused.remove(p.Fingerprint)
}

// End records the end of what Begin began: after took the prompt was prefilled, or it was not. One
// that was not and can no longer be in time has waited in vain; others say nothing on the load.
func (j *Judge) End(now time.Duration, p Prompt, d Decision, took time.Duration, prefilled bool) {
	if !p.HasObjective {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.load(p.Service)
	l.queued.change(now, -p.Tokens, d.Place)
	if !prefilled && now >= p.Due {
		took *= censoredFactor
	}
	if prefilled {
		l.shares.serve(now, p.Workspace, p.Tokens)
	}
	switch {
	case d.Place == Yielding:
	case !prefilled && now < p.Due:
	case d.Place.Behind():
		l.behind[Class(p.Tokens)].add(now, took)
	default:
		l.front[Class(p.Tokens)].add(now, took)
	}
}

// change changes the tokens that wait.
func (s *queued) change(now time.Duration, tokens int, p Place) {
	s.advance(now)
	s.all += tokens
	if p.Behind() {
		s.behind += tokens
	}
}

// Overloaded reports whether forecasts for a service have missed the objective lately.
func (j *Judge) Overloaded(now time.Duration, service string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.services[service]
	return l != nil && l.overloaded(now)
}

// RunUrgency returns the urgency value of a run whose prompt is prefilled already, or whose caller
// has a part of the answer. While the service is overloaded it goes ahead of new prompts of the same
// urgency: its prefill is paid for, and its KV cache takes room until it runs.
func (j *Judge) RunUrgency(now time.Duration, service string, urgency int) int {
	if urgency > 0 && j.Overloaded(now, service) {
		return urgency - 1
	}
	return urgency
}

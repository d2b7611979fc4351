package dispatch

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/triage"
)

// judgePrompt decides how the prompt is sent to the chosen engine. It returns an error if the
// prompt is to be refused.
func (r *request) judgePrompt(v steer.PrefillChoice) error {
	now := r.Timer.Now()
	r.prompt = triage.Prompt{
		Service: r.service, Fingerprint: r.demand.Fingerprint(), Urgency: r.urgency, Tokens: v.Tokens, Separate: v.PrefillOnly,
		Wait: v.Wait, Unseen: v.Estimate.Unseen, Arrived: r.arrived, Due: r.prefillDue(), GiveUp: r.callerGiveUpTime(), Started: r.started, Resumes: r.takeUp,
		HasObjective: r.unlimited && r.route.Objective > 0 && v.Endpoint.Kind() == lagoonhead.EndpointKindEngine,
	}
	if r.workspace != nil {
		r.prompt.Workspace = r.workspace.ID
	}
	r.decision = r.judge.Decide(now, r.prompt)
	d := r.decision
	if d.Place != triage.Unchanged {
		r.vars.overloaded.Add(d.Place.String(), 1)
		r.addStep("overloaded: place %s, urgency %d, expected in %s, refused %t", d.Place, d.Urgency, d.Expected.Round(time.Millisecond), d.Refused)
	}
	if !d.Refused {
		return nil
	}
	e := failf("forecast", lagoonhead.KindUnavailable, "the prompt would be read in %s", d.Expected)
	e.retryAfter = d.RetryAfter
	if d.Place == triage.Unchanged {
		e.retryAfter = now + v.Wait - r.callerGiveUpTime() + busyRetryAfter
		return e
	}
	r.vars.overloadedRefused.Add(d.Place.String(), 1)
	return e
}

// beginJudged records that the prompt is sent as decided.
func (r *request) beginJudged() {
	r.judged, r.judgedAt = true, r.Timer.Now()
	r.judge.Begin(r.judgedAt, r.prompt, r.decision)
}

// endJudged records the end of what beginJudged began, if it was called.
func (r *request) endJudged(now time.Duration, prefilled bool) {
	if r.judged {
		r.judged = false
		r.judge.End(now, r.prompt, r.decision, now-r.judgedAt, prefilled)
	}
}

// runUrgency returns the urgency value of a run. v is set if the engine also prefills the prompt, h
// if it is prefilled.
func (r *request) runUrgency(v *steer.PrefillChoice, h *lagoonhead.KVHandle) int {
	switch {
	case v != nil:
		return r.decision.Urgency
	case h != nil || r.started || r.takeUp:
		return r.judge.RunUrgency(r.Timer.Now(), r.service, r.urgency)
	default:
		return r.urgency
	}
}

// finalRetryAfter returns after what time the caller of a request that failed with err may retry.
func (r *request) finalRetryAfter(err error) time.Duration {
	now, known := r.Timer.Now(), RetryAfter(err)
	switch {
	case r.decision.Refused && r.decision.Place != triage.Unchanged:
		return known
	case known <= busyRetryAfter && r.route.Objective > 0 && r.judge.Overloaded(now, r.service):
		// Endpoints refused it, or none is usable, and nothing says when one will be.
		return r.judge.RetryAfter(now, busyRetryAfter, r.callerGiveUpTime())
	default:
		return max(known, busyRetryAfter)
	}
}

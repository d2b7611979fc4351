package entry

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/dispatch"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/steer"
)

// placements explains where requests would be sent now.
type placements struct {
	vm         lagoonhead.VMID
	dispatcher *dispatch.Dispatcher
}

var _ operator.PlacementExplainer = placements{}

// ExplainPlacement implements operator.PlacementExplainer.
func (p placements) ExplainPlacement(r *operator.ExplainPlacementRequest) (*operator.ExplainPlacementResponse, error) {
	if r.GetPromptTokens() < 0 || r.GetPromptTokens() > math.MaxInt32 {
		return nil, failf("explain", lagoonhead.KindInvalid, "a prompt cannot have %d tokens", r.GetPromptTokens())
	}
	q := dispatch.PlacementQuery{
		Route: r.GetRoute(), Service: r.GetService(), Workspace: lagoonhead.WorkspaceID(r.GetWorkspace()), Tokens: int(r.GetPromptTokens()),
		HasRetryable: r.Retryable != nil, Retryable: r.GetRetryable(),
	}
	for _, part := range r.GetSharedParts() {
		if part.GetTokens() < 0 || part.GetTokens() > r.GetPromptTokens() {
			return nil, failf("explain", lagoonhead.KindInvalid, "part %q of %d tokens does not fit into the prompt", part.GetId(), part.GetTokens())
		}
		q.SharedParts = append(q.SharedParts, steer.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	v, err := p.dispatcher.ExplainPlacement(q)
	if err != nil {
		return nil, err
	}
	return p.response(v), nil
}

func (p placements) response(v *dispatch.Placement) *operator.ExplainPlacementResponse {
	out := &operator.ExplainPlacementResponse{
		Vm: string(p.vm), Revision: v.ConfigVersion, Route: v.Route.Name, Service: v.Service, Shares: serviceShares(v.Route),
		Workspace: string(v.Workspace), Retryable: v.Retryable, Prefill: placementChoice(v.Now, v.Prefill), Run: placementChoice(v.Now, v.Run),
		Decision: placementDecision(v),
	}
	if v.Prefill != nil && v.Prefill.Chosen {
		out.PrefillEngine = string(v.Prefill.Endpoint.ID())
		if source := v.PrefillChoice.CacheSource; source != nil {
			out.CacheSource = string(source.ID())
		}
	}
	switch {
	case v.Run != nil && v.Run.Chosen:
		out.RunEngine = string(v.Run.Endpoint.ID())
	case v.Run == nil:
		out.RunEngine = out.GetPrefillEngine()
	}
	return out
}

// serviceShares returns the services of a route with the probabilities with which they are chosen.
func serviceShares(r *catalog.Route) (list []*operator.ServiceShare) {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	for _, s := range r.Shares {
		list = append(list, &operator.ServiceShare{Service: s.Service, Probability: s.Weight / sum})
	}
	return list
}

func placementDecision(v *dispatch.Placement) *operator.PlacementDecision {
	d := &operator.PlacementDecision{Overloaded: v.Overloaded, RunUrgency: int32(v.RunUrgency), Yields: v.Yields}
	if v.Judged {
		d.Place, d.PrefillUrgency, d.ExpectedMs = v.Decision.Place.String(), int32(v.Decision.Urgency), inMilliseconds(v.Decision.Expected)
	}
	if v.Refusal != nil {
		d.Refused, d.Reason, d.RetryAfterMs = true, operator.Message(v.Refusal), dispatch.RetryAfter(v.Refusal).Milliseconds()
	}
	return d
}

// placementChoice converts a choice that was made at a time. It is nil if s is.
func placementChoice(now time.Duration, s *steer.Stage) *operator.PlacementChoice {
	if s == nil {
		return nil
	}
	out := &operator.PlacementChoice{Method: s.Method.String(), Random: s.Method != steer.Compared, Unhealthy: s.Unhealthy, Reserved: s.Reserved}
	if s.Chosen {
		out.Chosen = string(s.Endpoint.ID())
	}
	steer.SortCandidates(s.Candidates)
	for _, c := range s.Candidates {
		out.Candidates = append(out.Candidates, placementCandidate(now, c))
	}
	return out
}

func placementCandidate(now time.Duration, c steer.Candidate) *operator.PlacementCandidate {
	e := c.Endpoint
	out := &operator.PlacementCandidate{
		Endpoint: string(e.ID()), Role: string(e.Role()), FailureDomain: string(e.FailureDomain()), Region: e.Region(), Software: e.Software(),
		QueuedTokens: int64(c.QueuedTokens), Running: int64(c.Running), Slots: int64(e.Slots()), PrefillTokens: int64(c.Tokens),
		WaitMs: inMilliseconds(c.Wait), Excluded: c.Excluded.String(), Drawn: c.Drawn, Probability: c.Probability,
	}
	if c.Until > now {
		out.ExcludedForMs = (c.Until - now + time.Millisecond - 1).Milliseconds()
	}
	if c.CacheSource != nil {
		out.CacheSource = string(c.CacheSource.ID())
	}
	if c.Assessed() {
		out.Cost = placementCost(c.Cost)
	}
	return out
}

func placementCost(c steer.Cost) *operator.PlacementCost {
	return &operator.PlacementCost{
		TotalMs: inMilliseconds(c.Total()), PrefillMs: inMilliseconds(c.Prefill), SharedPartMs: inMilliseconds(c.SharedPart),
		BatchMs: inMilliseconds(c.Batch), OthersMs: inMilliseconds(c.Others), DomainMs: inMilliseconds(c.Domain), RunMs: inMilliseconds(c.Run),
		ApartMs: inMilliseconds(c.Apart), LateMs: inMilliseconds(c.Late), FailuresMs: inMilliseconds(c.Failures), RefusalsMs: inMilliseconds(c.Refusals),
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

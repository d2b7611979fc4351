package dispatch

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/triage"
)

// maxExplainedTokens bounds the prompt of an explanation.
const maxExplainedTokens = 1 << 30

// PlacementQuery describes a request whose placement is to be explained.
type PlacementQuery struct {
	// Route is the name of a route. If it is empty, the first route to Service is taken.
	Route string
	// Service is one of the route's services. If it is empty, it is drawn as for a request.
	Service string
	// Workspace may be empty. It is ignored on a route that needs no key.
	Workspace lagoonhead.WorkspaceID
	// Tokens is the length of the prompt, 0 for a request without a description of it. SharedParts
	// are the parts at its beginning that other prompts share.
	Tokens      int
	SharedParts []steer.Part
	// Retryable replaces what the route says if HasRetryable is true.
	Retryable, HasRetryable bool
}

// Placement says where a request would be sent now, and why.
type Placement struct {
	ConfigVersion int64
	// Route is that of the request, with all of its services.
	Route     *catalog.Route
	Service   string
	Workspace lagoonhead.WorkspaceID
	Retryable bool
	steer.Explanation
	// Now is the time of the explanation, to which the times of Explanation relate.
	Now time.Duration
	// Decision is the judgement of the prompt, if Judged is true. Overloaded reports whether the
	// service is overloaded, and Yields is the probability with which a prompt of the workspace
	// yields. RunUrgency is the urgency value of the run.
	Judged     bool
	Decision   triage.Decision
	Overloaded bool
	Yields     float64
	RunUrgency int
	// Refusal is the error of a request that would be refused, else nil.
	Refusal error
}

// ExplainPlacement returns where a request would be sent now, and why. It sends nothing and changes
// nothing: the choices are made on copies of the board and of the judge. It does not consider the rate
// limit of the workspace and requests or parts of prompts that crash endpoints, nor which software
// version a stream is bound to. An error is of KindUnavailable before the first configuration, of
// KindNotFound for an unknown route, service or workspace, and of KindInvalid for another wrong query.
func (d *Dispatcher) ExplainPlacement(q PlacementQuery) (*Placement, error) {
	d.init()
	cat, rt, w, err := d.lookUpQuery(q)
	if err != nil {
		return nil, err
	}
	call := &Call{URL: new(url.URL), Body: make([]byte, 8), HasPrompt: q.Tokens > 0 && rt.Streaming}
	for i := range call.Body {
		call.Body[i] = byte(rand.IntN(256)) // another fingerprint each time
	}
	call.Prompt, err = q.prompt()
	if err != nil {
		return nil, err
	}
	x := &Dispatcher{Catalogs: d.Catalogs, Timer: d.Timer, Domain: d.Domain, Answers: d.Answers}
	x.init()
	r := x.requestOf(call, nil, cat, q.adapt(rt), w)
	d.judge.CopyTo(&x.judge, r.service)
	p := &Placement{ConfigVersion: cat.Version(), Route: rt, Service: r.service, Retryable: r.retryable(), Now: r.arrived}
	if w != nil {
		p.Workspace = w.ID
	}
	e := steer.ExplainRequest{Run: r.runRequest}
	if call.HasPrompt {
		v := r.prefillRequest()
		e.Prefill = &v
	}
	d.WithBoard(func(b *steer.Board) { p.Explanation = b.Explain(p.Now, e) })
	r.judgeExplained(p)
	return p, nil
}

// judgeExplained adds the decision on the prompt and whether the request would be refused. The request
// belongs to a dispatcher that only explains.
func (r *request) judgeExplained(p *Placement) {
	var err error
	var choice *steer.PrefillChoice
	var handle *lagoonhead.KVHandle
	switch {
	case p.Prefill != nil && !p.Prefill.Chosen:
		err = r.refusal(p.Version, "the prompt", p.Wait, p.Serves, p.Evacuates)
	case p.Prefill != nil:
		err = r.judgePrompt(p.PrefillChoice)
		p.Judged, p.Decision = true, r.decision
		if choice = &p.PrefillChoice; choice.PrefillOnly {
			choice, handle = nil, new(lagoonhead.KVHandle)
		}
	case !p.Run.Chosen:
		err = r.refusal(p.Version, "the request", p.Wait, p.Serves, p.Evacuates)
	}
	p.Overloaded = r.judge.Overloaded(p.Now, r.service)
	if r.workspace != nil {
		p.Yields = r.judge.Yields(p.Now, r.service, r.workspace.ID)
	}
	p.RunUrgency = r.runUrgency(choice, handle)
	if err != nil {
		if r.route.Streaming {
			err = r.finalError(context.Background(), err)
		}
		p.Refusal = err
	}
}

// lookUpQuery finds the route and the workspace of a query.
func (d *Dispatcher) lookUpQuery(q PlacementQuery) (*catalog.Catalog, *catalog.Route, *catalog.Workspace, error) {
	cat := d.Catalogs.Catalog()
	if cat == nil {
		return nil, nil, nil, failf("explain", lagoonhead.KindUnavailable, "the daemon has no configuration yet")
	}
	var rt *catalog.Route
	switch {
	case q.Route != "":
		if rt = cat.RouteByName(q.Route); rt == nil {
			return nil, nil, nil, failf("explain", lagoonhead.KindNotFound, "configuration %d has no route %q", cat.Version(), q.Route)
		}
		if q.Service != "" && !slices.ContainsFunc(rt.Shares, func(s catalog.Share) bool { return s.Service == q.Service }) {
			return nil, nil, nil, failf("explain", lagoonhead.KindNotFound, "route %q does not lead to service %q", q.Route, q.Service)
		}
	case q.Service == "":
		return nil, nil, nil, failf("explain", lagoonhead.KindInvalid, "neither a route nor a service is given")
	case cat.Service(q.Service) == nil:
		return nil, nil, nil, failf("explain", lagoonhead.KindNotFound, "configuration %d has no service %q", cat.Version(), q.Service)
	default:
		if rt = cat.RouteTo(q.Service); rt == nil {
			return nil, nil, nil, failf("explain", lagoonhead.KindNotFound, "no route leads to service %q", q.Service)
		}
	}
	if q.Workspace == "" {
		return cat, rt, nil, nil
	}
	w := cat.Workspace(q.Workspace)
	if w == nil {
		return nil, nil, nil, failf("explain", lagoonhead.KindNotFound, "configuration %d has no workspace %q", cat.Version(), q.Workspace)
	}
	if rt.NoAPIKey {
		w = nil
	}
	return cat, rt, w, nil
}

// prompt returns the description of the prompt.
func (q PlacementQuery) prompt() (p steer.Prompt, err error) {
	own := q.Tokens
	for _, part := range q.SharedParts {
		if part.Tokens < 0 || part.Tokens > own {
			own = -1
			break
		}
		own -= part.Tokens
	}
	if own < 0 || q.Tokens > maxExplainedTokens {
		return p, failf("explain", lagoonhead.KindInvalid, "a prompt of %d tokens cannot have these shared parts", q.Tokens)
	}
	p.Tokens = q.Tokens
	if len(q.SharedParts) > 0 {
		p.Parts = append(slices.Clone(q.SharedParts), steer.Part{Tokens: own})
	}
	return p, nil
}

// adapt returns the route as the query changes it.
func (q PlacementQuery) adapt(rt *catalog.Route) *catalog.Route {
	adapted := *rt
	if q.Service != "" {
		adapted.Shares = []catalog.Share{{Service: q.Service, Weight: 1}}
	}
	if !q.HasRetryable {
		return &adapted
	}
	adapted.Resumable, adapted.RetryPolicy = q.Retryable, catalog.RetryNever
	if q.Retryable {
		adapted.RetryPolicy = catalog.RetrySafe
	}
	return &adapted
}

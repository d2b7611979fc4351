package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/lagoonhead/lagoonhead"
)

// maxPlacementBytes is the maximum size of a request of PlacementHandler.
const maxPlacementBytes = 1 << 20

// PlacementHandler returns the HTTP handler of the query ExplainPlacement, for a daemon without a
// listener for operators. It serves the paths that begin with prefix. The other queries fail.
func PlacementHandler(p PlacementExplainer) (prefix string, h http.Handler) {
	s := NewQueriesServer(placementQueries{p})
	return s.PathPrefix(), http.MaxBytesHandler(s, maxPlacementBytes)
}

// placementQueries serves ExplainPlacement only.
type placementQueries struct{ explainer PlacementExplainer }

var _ Queries = placementQueries{}

var errOtherQuery = toTwirp(fail("query", lagoonhead.KindUnavailable, errors.New("this daemon has no listener for operators; it serves only ExplainPlacement")))

// GetInventory implements Queries.
func (placementQueries) GetInventory(context.Context, *GetInventoryRequest) (*GetInventoryResponse, error) {
	return nil, errOtherQuery
}

// Status implements Queries.
func (placementQueries) Status(context.Context, *StatusRequest) (*StatusResponse, error) {
	return nil, errOtherQuery
}

// Explain implements Queries.
func (placementQueries) Explain(context.Context, *ExplainRequest) (*ExplainResponse, error) {
	return nil, errOtherQuery
}

// ExplainPlacement implements Queries.
func (q placementQueries) ExplainPlacement(_ context.Context, r *ExplainPlacementRequest) (*ExplainPlacementResponse, error) {
	out, err := explainPlacement(q.explainer, r)
	return out, toTwirp(err)
}

// explainPlacement asks p, which may be nil.
func explainPlacement(p PlacementExplainer, r *ExplainPlacementRequest) (*ExplainPlacementResponse, error) {
	if p == nil {
		return nil, fail("explainPlacement", lagoonhead.KindUnavailable, errors.New("this form of the daemon does not explain placements; \"lagoonctl explain REQUEST-ID\" shows past ones"))
	}
	return p.ExplainPlacement(r)
}

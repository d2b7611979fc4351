package entry

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/metrics"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against a listener for metrics that does not explain placements or no longer serves metrics,
// against explanations that lack parts, and against errors that do not say that the daemon is starting,
// of an older release, or of another form.
func TestPlacementsAreExplainedToOperators(t *testing.T) {
	tm := timer.NewManual(time.Hour, time.Unix(0, 0))
	d := &Daemon{
		Settings: Settings{VM: "vm-1", FailureDomain: "x", DutyReturnTime: time.Second, UsageWindow: time.Second},
		Platform: Platform{
			ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
			DecodeRegistration: func(key string, value []byte) (lagoonhead.Endpoint, error) {
				e := lagoonhead.NewEndpoint(lagoonhead.EndpointID(key), lagoonhead.EndpointKindEngine, "s", "a:1", lagoonhead.FailureDomain(value))
				if key == "p" {
					return e.WithRole(lagoonhead.RolePrefill).WithSlots(8), nil
				}
				return e.WithRole(lagoonhead.RoleDecode).WithSlots(8), nil
			},
		},
		Timer: tm, Log: zap.NewNop(),
	}
	d.vars = new(expvar.Map)
	d.buildState()
	d.buildWork()
	d.vars.Set("dispatch", d.dispatcher.Vars())
	serve := func(h http.Handler) *operator.Client {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return operator.NewClient(s.URL, "", nil)
	}
	q := &operator.ExplainPlacementRequest{
		Route: "r", PromptTokens: 17_000, SharedParts: []*operator.PromptPart{{Id: "a", Tokens: 13_000}}, Workspace: "w",
	}
	c := serve(d.metricsHandler())
	_, err := c.ExplainPlacement(t.Context(), q)
	require.ErrorContains(t, err, "no configuration yet")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
	d.config.current.Store(catalog.New(catalog.Spec{
		Version: 5, Workspaces: []catalog.Workspace{{ID: "w"}}, Services: []catalog.Service{{Name: "s", Engine: &catalog.EngineTraits{CacheTokens: 100_000}}},
		Routes: []catalog.Route{{Name: "r", Streaming: true, Shares: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Minute, PauseObjective: 150 * time.Millisecond}},
	}))
	out, err := c.ExplainPlacement(t.Context(), q)
	require.NoError(t, err)
	require.True(t, out.GetDecision().GetRefused(), "no endpoint is known yet")
	require.Positive(t, out.GetDecision().GetRetryAfterMs())
	for key, domain := range map[string]string{"p": "x", "d": "x", "e": "z"} {
		d.endpoints.Put(lagoonhead.Entry{Key: key, Value: []byte(domain)}, mirror.Origin{})
	}
	d.endpoints.Applied()
	d.evacuations.set("z", true)
	d.evacuations.notify()
	out, err = c.ExplainPlacement(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, []string{"vm-1", "r", "s", "w", "p", "d"}, []string{out.GetVm(), out.GetRoute(), out.GetService(), out.GetWorkspace(), out.GetPrefillEngine(), out.GetRunEngine()})
	require.EqualValues(t, 5, out.GetRevision())
	require.False(t, out.GetDecision().GetRefused())
	require.Equal(t, "unchanged", out.GetDecision().GetPlace())
	first, last := out.GetPrefill().GetCandidates()[0], out.GetPrefill().GetCandidates()[2]
	require.Equal(t, "p", first.GetEndpoint())
	require.Positive(t, first.GetCost().GetPrefillMs())
	require.Equal(t, []string{"e", "evacuated"}, []string{last.GetEndpoint(), last.GetExcluded()})
	_, err = c.ExplainPlacement(t.Context(), &operator.ExplainPlacementRequest{Route: "other"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindNotFound))

	s := httptest.NewRecorder()
	d.metricsHandler().ServeHTTP(s, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, s.Body.String(), "lagoonhead_dispatch_calls 0")

	_, err = serve(metrics.Handler("lagoonhead", d.vars)).ExplainPlacement(t.Context(), q)
	require.ErrorContains(t, err, "older release")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
	_, err = serve(http.NotFoundHandler()).ExplainPlacement(t.Context(), q)
	require.ErrorContains(t, err, "older release")
	_, err = serve((&operator.Server{Guard: &operator.Guard{}}).Handler()).ExplainPlacement(t.Context(), q)
	require.ErrorContains(t, err, "this form of the daemon does not explain placements")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
}

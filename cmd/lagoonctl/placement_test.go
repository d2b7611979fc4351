package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/freeport"
	"github.com/lagoonhead/lagoonhead/operator"
)

// fixedPlacement explains every request in the same way and keeps the last one.
type fixedPlacement struct {
	asked *operator.ExplainPlacementRequest
}

func (f *fixedPlacement) ExplainPlacement(r *operator.ExplainPlacementRequest) (*operator.ExplainPlacementResponse, error) {
	f.asked = r
	if r.GetRoute() == "starting" {
		return nil, errors.New("the daemon has no configuration yet")
	}
	return &operator.ExplainPlacementResponse{
		Vm: "vm1", Revision: 7, Route: "chat", Service: "m", PrefillEngine: "p1", RunEngine: "d1",
		Shares: []*operator.ServiceShare{{Service: "m", Probability: 0.75}, {Service: "n", Probability: 0.25}},
		Prefill: &operator.PlacementChoice{Chosen: "p1", Method: "some are drawn at random and compared", Random: true, Candidates: []*operator.PlacementCandidate{
			{Endpoint: "p1", Role: "prefill", FailureDomain: "a", QueuedTokens: 900, WaitMs: 120.25, Drawn: true, Cost: &operator.PlacementCost{TotalMs: 155.5, PrefillMs: 120.25, SharedPartMs: 35.25}},
			{Endpoint: "p2", Role: "prefill", FailureDomain: "b", Excluded: "failures", ExcludedForMs: 450},
		}},
		Run: &operator.PlacementChoice{Chosen: "d1", Method: "one is drawn at random by weight", Random: true, Candidates: []*operator.PlacementCandidate{
			{Endpoint: "d1", Role: "decode", FailureDomain: "a", Running: 3, Slots: 16, Probability: 0.625, Cost: &operator.PlacementCost{TotalMs: 5.6, BatchMs: 5.6}},
		}},
		Decision: &operator.PlacementDecision{Overloaded: true, Place: "late", PrefillUrgency: 8, RunUrgency: 1, ExpectedMs: 900, Yields: 0.5, Refused: true, Reason: "too late", RetryAfterMs: 300},
	}, nil
}

// Guards against an explanation without one of its parts, flags that do not reach the daemon, and errors
// that end with another exit code or say nothing.
func TestPlacement(t *testing.T) {
	c, source := newConsole(t), &fixedPlacement{}
	prefix, h := operator.PlacementHandler(source)
	mux := http.NewServeMux()
	mux.Handle(prefix, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()

	code, out, text := c.run("placement", "-address", address, "-route", "chat", "-tokens", "17000", "-shared", "sys:1:13000", "-workspace", "w", "-retryable=false")
	require.Equal(t, exitDone, code, text)
	for _, want := range []string{
		"route chat, service m (75% of the route's requests)", "prefill: p1; some are drawn at random", "155.5  120.2    35.2", "chosen; considered",
		"excluded: failures, for 450ms", "run: d1; one is drawn at random by weight", "3/16     0.625", "place: late, prefill urgency: 8, expected in 900.0 ms, run urgency: 1",
		"with probability 0.500", "refused: too late; retry after 300 ms",
	} {
		require.Contains(t, out, want)
	}
	require.Equal(t, "sys:1", source.asked.GetSharedParts()[0].GetId())
	require.EqualValues(t, 13_000, source.asked.GetSharedParts()[0].GetTokens())
	require.False(t, *source.asked.Retryable)
	code, out, _ = c.run("placement", "-json", "-address", "http://"+address, "-service", "m")
	require.Equal(t, exitDone, code)
	require.Contains(t, out, `"prefillEngine": "p1"`)
	require.Nil(t, source.asked.Retryable)

	closed, err := freeport.Find()
	require.NoError(t, err)
	for _, a := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"-address", address}, exitUsage, "-route or -service is needed"},
		{[]string{"-address", address, "-route", "r", "-shared", "x"}, exitUsage, "ID:TOKENS"},
		{[]string{"-address", address, "-route", "starting"}, exitFailed, "no configuration yet"},
		{[]string{"-route", "r"}, exitFailed, "this form of the daemon does not explain placements"},
		{[]string{"-address", closed, "-route", "r"}, exitFailed, "refused"},
		{[]string{"-address", s.URL + "/other", "-route", "r"}, exitFailed, "older release"},
	} {
		code, _, text := c.run(append([]string{"placement"}, a.args...)...)
		require.Equal(t, a.code, code, text)
		require.Contains(t, text, a.text)
	}
}

package metrics

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against metrics that a scraper cannot parse.
func TestHandler(t *testing.T) {
	vars := new(expvar.Map)
	vars.Add("served", 3)
	inner := new(expvar.Map)
	inner.Add("a b/c", 4)
	vars.Set("inner", inner)
	l := NewLatency()
	for _, d := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 2 * time.Hour, 0} {
		l.Record(d)
	}
	vars.Set("latency", l)
	vars.Set("text", expvar.Func(func() any { return "no number" }))
	w := httptest.NewRecorder()
	Handler("x", vars).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	got := strings.Split(strings.TrimSpace(w.Body.String()), "\n")
	slices.Sort(got)
	for _, want := range []string{"x_served 3", "x_inner_a_b_c 4", "x_latency_count 4"} {
		require.Contains(t, got, want)
	}
	require.NotContains(t, w.Body.String(), "no number")
	require.Len(t, got, 7)
}

package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/overload"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against a request that is refused for a lack of memory without the promise that it has not run,
// against memory that is not given back, and against copies of a body that are not counted.
func TestBodiesWithoutRoomAreRefusedAsNotRun(t *testing.T) {
	s, _, srv, _ := newTestServer(t)
	s.Bodies = bodybudget.New(1<<20, &timer.System{}, nil) // three quarters of it are for large bodies
	send := func(size int) *http.Response {
		body := `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", size) + `"}]}`
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer kA")
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body) // the status is what is checked
		res.Body.Close()
		return res
	}
	requireRefused := func(res *http.Response) {
		t.Helper()
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		require.Equal(t, string(runNo), res.Header.Get(headerRun))
		require.NotEmpty(t, res.Header.Get(headerRetryAfter))
	}
	require.Equal(t, http.StatusOK, send(200<<10).StatusCode)
	requireRefused(send(300 << 10)) // it fits, and its copies do not
	held, err := s.Bodies.Read(t.Context(), bodybudget.Source{
		Reader: strings.NewReader(strings.Repeat("x", 600<<10)), Length: 600 << 10, Limit: 1 << 20, Timeout: time.Minute,
		SetDeadline: func(time.Time) error { return nil },
	})
	require.NoError(t, err)
	requireRefused(send(200 << 10))
	require.Equal(t, http.StatusOK, send(10<<10).StatusCode, "small bodies have a reserve")
	held.End()
	require.Equal(t, http.StatusOK, send(200<<10).StatusCode)
}

// Guards against a refusal before a request is read that a caller takes for one that may have run.
func TestRefusalsOfConnectionsSayNotRun(t *testing.T) {
	res := Refusal(nil, overload.Refusal("connection", "the connection is not served"))
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, string(runNo), res.Header.Get(headerRun))
	require.Equal(t, "1", res.Header.Get(headerRetryAfter))
	require.True(t, lagoonhead.IsKind(overload.Refusal("connection", "x"), lagoonhead.KindUnavailable))
}

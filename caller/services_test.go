package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/claim"
	"github.com/lagoonhead/lagoonhead/fakeservice"
	"github.com/lagoonhead/lagoonhead/service"
)

// memory is a store for claims that can be down.
type memory struct {
	lagoonhead.Store // the calls that claims do not use

	mu       sync.Mutex
	entries  map[string]lagoonhead.Entry
	revision int64
	down     bool
}

func (m *memory) Get(_ context.Context, key string) (lagoonhead.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if m.down {
		return e, fault("memory", lagoonhead.KindUnavailable, nil)
	}
	if !ok {
		return e, fault("memory", lagoonhead.KindNotFound, nil)
	}
	return e, nil
}

func (m *memory) Put(_ context.Context, r lagoonhead.PutRequest) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, fault("memory", lagoonhead.KindUnavailable, nil)
	}
	if m.entries[r.Key].Revision != r.IfRevision {
		return 0, fault("memory", lagoonhead.KindConflict, nil)
	}
	m.revision++
	m.entries[r.Key] = lagoonhead.Entry{Key: r.Key, Value: r.Value, Revision: m.revision}
	return m.revision, nil
}

// newBookings returns a front with two booking services and claims.
func newBookings(t *testing.T) (*stub, *memory, []*fakeservice.Service, string) {
	t.Helper()
	s, st, srv, tm := newFront(t)
	m := &memory{entries: map[string]lagoonhead.Entry{}}
	s.Claims = &claim.Keeper{Store: m, Holder: "vm", Timer: tm}
	c := &service.Client{Budget: s.Budget, Suspects: st}
	t.Cleanup(c.Close)
	s.Services = c
	st.routes["bookings POST /bookings"] = lagoonhead.Route{}
	st.routes["bookings GET /availability"] = lagoonhead.Route{Idempotent: true, Open: true}
	all := make([]*fakeservice.Service, 0, 2)
	for _, id := range []lagoonhead.EndpointID{"b1", "b2"} {
		f := &fakeservice.Service{}
		fs := httptest.NewServer(f.Handler())
		t.Cleanup(fs.Close)
		all = append(all, f)
		st.endpoints = append(st.endpoints, fakeservice.Endpoint(id, "bookings", fs.URL))
	}
	return st, m, all, srv.URL + "/services/bookings"
}

// Guards against a booking that runs twice, and against a run state that differs
// from what the services recorded, with and without an idempotency key.
func TestBookings(t *testing.T) {
	for _, c := range []struct {
		name           string
		key            string
		fault          fakeservice.Fault
		storeDown      bool
		first, second  int // status of the call and of its repeat
		run, secondRun runState
		ran            int
	}{
		{"repeat gets the recorded outcome", "k", "", false, 200, 200, runYes, runYes, 1},
		{"each arrival without a key runs", "", "", false, 200, 200, runYes, runYes, 2},
		{"lost answer", "k", fakeservice.FaultDropAnswer, false, 502, 409, runUnknown, runUnknown, 1},
		{"half an answer", "k", fakeservice.FaultHalfAnswer, false, 502, 409, runUnknown, runUnknown, 1},
		{"refused as not run", "k", fakeservice.FaultNotRun, false, 503, 200, runNo, runYes, 1},
		{"refused as not run, without a key", "", fakeservice.FaultNotRun, false, 503, 200, runNo, runYes, 1},
		{"closed without a key", "", fakeservice.FaultCloseAfterRead, false, 502, 200, runUnknown, runYes, 1},
		{"store down", "k", "", true, 503, 503, runNo, runNo, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			st, m, all, url := newBookings(t)
			m.down = c.storeDown
			all[0].SetPlan(fakeservice.Plan{Fault: c.fault, Calls: 1})
			var headers []string
			if c.key != "" {
				headers = []string{headerIdempotency, c.key}
			}
			res, body := post(t, url+"/bookings", "kA", `{"crates":3}`, headers...)
			require.Equal(t, c.first, res.StatusCode, body)
			require.Equal(t, string(c.run), res.Header.Get(headerRun))
			again, bodyAgain := post(t, url+"/bookings", "kA", `{"crates":3}`, headers...)
			require.Equal(t, c.second, again.StatusCode, bodyAgain)
			require.Equal(t, string(c.secondRun), again.Header.Get(headerRun))
			require.Equal(t, c.ran, all[0].Ran()+all[1].Ran())
			if c.key != "" && c.first == 200 {
				require.Equal(t, body, bodyAgain)
				require.Equal(t, "true", again.Header.Get(headerRepeated))
				other, _ := post(t, url+"/bookings", "kA", `{"crates":4}`, headers...)
				require.Equal(t, http.StatusUnprocessableEntity, other.StatusCode)
				require.Equal(t, string(runNo), other.Header.Get(headerRun))
				foreign, _ := post(t, url+"/bookings", "kB", `{"crates":4}`, headers...)
				require.Equal(t, 200, foreign.StatusCode, "keys are counted by workspace")
				st.endpoints = nil
				cached, _ := post(t, url+"/bookings", "kA", `{"crates":3}`, headers...)
				require.Equal(t, 200, cached.StatusCode, "a repeat needs no endpoint")
			}
			for _, call := range append(all[0].Calls(), all[1].Calls()...) {
				require.Empty(t, call.Header.Get(headerAuth))
				require.Empty(t, call.Header.Get(headerIdempotency))
			}
		})
	}
}

// Guards against a closed route that serves callers without a key.
func TestClosedRouteNeedsAKey(t *testing.T) {
	_, _, all, url := newBookings(t)
	for _, key := range []string{"", "unknown"} {
		res, body := post(t, url+"/bookings", key, `{"crates":3}`)
		require.Equal(t, http.StatusUnauthorized, res.StatusCode, body)
		require.Equal(t, string(runNo), res.Header.Get(headerRun))
	}
	require.Zero(t, all[0].Ran()+all[1].Ran())
}

// headerRecorder keeps the headers of service calls and makes none.
type headerRecorder struct{ seen []http.Header }

func (r *headerRecorder) Call(_ context.Context, _ lagoonhead.Placer, c lagoonhead.ServiceCall) (*lagoonhead.ServiceAnswer, error) {
	r.seen = append(r.seen, c.Header)
	return nil, fault("recorder", lagoonhead.KindUnavailable, nil)
}

// Guards against a key that is handed on beyond this package: the clients of
// engines and services would be the last to hold it back.
func TestKeyIsNotHandedOn(t *testing.T) {
	s, st, srv, _ := newFront(t)
	r := &headerRecorder{}
	s.Services = r
	st.routes["bookings POST /bookings"] = lagoonhead.Route{}
	post(t, srv.URL+"/services/bookings/bookings", "kA", `{"crates":3}`, "Accept", "text/plain")
	require.Len(t, r.seen, 1)
	require.Equal(t, "text/plain", r.seen[0].Get("Accept"))
	require.NotContains(t, r.seen[0], headerAuth)
}

// Guards against a look-up that is lost while another service could answer it.
func TestLookups(t *testing.T) {
	for _, f := range []fakeservice.Fault{
		"", fakeservice.FaultCloseAfterRead, fakeservice.FaultDropAnswer, fakeservice.FaultNotRun, fakeservice.FaultHalfAnswer,
	} {
		_, _, all, url := newBookings(t)
		all[0].SetPlan(fakeservice.Plan{Fault: f})
		res, err := http.Get(url + "/availability?floor=2")
		require.NoError(t, err, "fault %q", f)
		b, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		res.Body.Close()
		require.Equal(t, 200, res.StatusCode, "fault %q", f)
		require.Contains(t, string(b), fakeservice.Subject(fakeservice.Call{Method: "GET", Path: "/availability", Query: "floor=2"}))
	}
}

// Guards against an answer without a length that breaks off and looks whole.
func TestBrokenAnswerIsCutOff(t *testing.T) {
	st, _, _, url := newBookings(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	st.endpoints = []lagoonhead.Endpoint{fakeservice.Endpoint("b", "bookings", srv.URL)}
	res, err := http.Get(url + "/availability")
	if err == nil {
		_, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	require.Error(t, err)
}

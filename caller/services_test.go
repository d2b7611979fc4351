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

// memoryStore is an in-memory store for claims that can be made unavailable.
type memoryStore struct {
	lagoonhead.Store // nil; for the methods that claims do not use

	mu       sync.Mutex
	entries  map[string]lagoonhead.Entry
	revision int64
	down     bool
}

func (m *memoryStore) Get(_ context.Context, key string) (lagoonhead.Entry, error) {
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

func (m *memoryStore) Put(_ context.Context, r lagoonhead.PutRequest) (int64, error) {
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

// newBookingServer returns the stub of a server that has two booking services, its store
// of claims, the services, and the base URL of the service route.
func newBookingServer(t *testing.T) (*stub, *memoryStore, []*fakeservice.Service, string) {
	t.Helper()
	_, st, m, all, url := newServicesServer(t)
	return st, m, all, url
}

func newServicesServer(t *testing.T) (*Server, *stub, *memoryStore, []*fakeservice.Service, string) {
	t.Helper()
	s, st, srv, tm := newTestServer(t)
	m := &memoryStore{entries: map[string]lagoonhead.Entry{}}
	s.Claims = &claim.Keeper{Store: m, Holder: "vm", Timer: tm}
	c := &service.Client{Budget: s.Budget, Suspects: st}
	t.Cleanup(c.Close)
	s.Services = c
	st.routes["bookings POST /bookings"] = lagoonhead.Route{}
	st.routes["bookings GET /availability"] = lagoonhead.Route{Idempotent: true, NoAPIKey: true}
	all := make([]*fakeservice.Service, 0, 2)
	for _, id := range []lagoonhead.EndpointID{"b1", "b2"} {
		f := &fakeservice.Service{}
		fs := httptest.NewServer(f.Handler())
		t.Cleanup(fs.Close)
		all = append(all, f)
		st.endpoints = append(st.endpoints, fakeservice.Endpoint(id, "bookings", fs.URL))
	}
	return s, st, m, all, srv.URL + "/services/bookings"
}

// Guards against a booking that runs twice although it has an idempotency key, and
// against a run state that differs from what the services recorded, with and without a
// key.
func TestBookings(t *testing.T) {
	for _, c := range []struct {
		name           string
		key            string
		fault          fakeservice.Fault
		storeDown      bool
		first, second  int // status of the call and of its retry
		run, secondRun runState
		ran            int
	}{
		{"retry gets the recorded response", "k", "", false, 200, 200, runYes, runYes, 1},
		{"each request without a key runs", "", "", false, 200, 200, runYes, runYes, 2},
		{"lost response", "k", fakeservice.FaultDropAnswer, false, 502, 409, runUnknown, runUnknown, 1},
		{"incomplete response", "k", fakeservice.FaultTruncatedAnswer, false, 502, 409, runUnknown, runUnknown, 1},
		{"refused as not run", "k", fakeservice.FaultNotRun, false, 503, 200, runNo, runYes, 1},
		{"refused as not run, without a key", "", fakeservice.FaultNotRun, false, 503, 200, runNo, runYes, 1},
		{"closed without a key", "", fakeservice.FaultCloseAfterRead, false, 502, 200, runUnknown, runYes, 1},
		{"store down", "k", "", true, 503, 503, runNo, runNo, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			st, m, all, url := newBookingServer(t)
			m.down = c.storeDown
			all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: c.fault, Calls: 1})
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
				require.Equal(t, 200, foreign.StatusCode, "idempotency keys of different workspaces must be independent")
				st.endpoints = nil
				cached, _ := post(t, url+"/bookings", "kA", `{"crates":3}`, headers...)
				require.Equal(t, 200, cached.StatusCode, "a retry must not need an endpoint")
			}
			for _, call := range append(all[0].Calls(), all[1].Calls()...) {
				require.Empty(t, call.Header.Get(headerAuth))
				require.Empty(t, call.Header.Get(headerIdempotency))
			}
		})
	}
}

// Guards against a route that is not open and serves callers without a valid key.
func TestClosedRouteNeedsAKey(t *testing.T) {
	_, _, all, url := newBookingServer(t)
	for _, key := range []string{"", "unknown"} {
		res, body := post(t, url+"/bookings", key, `{"crates":3}`)
		require.Equal(t, http.StatusUnauthorized, res.StatusCode, body)
		require.Equal(t, string(runNo), res.Header.Get(headerRun))
	}
	require.Zero(t, all[0].Ran()+all[1].Ran())
}

// headerRecorder records the headers of service calls and refuses the calls.
type headerRecorder struct{ headers []http.Header }

func (r *headerRecorder) Call(_ context.Context, _ lagoonhead.Placer, c lagoonhead.ServiceCall) (*lagoonhead.ServiceAnswer, error) {
	r.headers = append(r.headers, c.Header)
	return nil, fault("recorder", lagoonhead.KindUnavailable, nil)
}

// Guards against an API key that this package passes on to the client of services,
// which would then be the only one to remove it.
func TestKeyIsNotHandedOn(t *testing.T) {
	s, st, srv, _ := newTestServer(t)
	r := &headerRecorder{}
	s.Services = r
	st.routes["bookings POST /bookings"] = lagoonhead.Route{}
	post(t, srv.URL+"/services/bookings/bookings", "kA", `{"crates":3}`, "Accept", "text/plain")
	require.Len(t, r.headers, 1)
	require.Equal(t, "text/plain", r.headers[0].Get("Accept"))
	require.NotContains(t, r.headers[0], headerAuth)
}

// Guards against an idempotent call that fails although another endpoint of the service
// could respond.
func TestIdempotentCallIsRetried(t *testing.T) {
	for _, f := range []fakeservice.Fault{
		"", fakeservice.FaultCloseAfterRead, fakeservice.FaultDropAnswer, fakeservice.FaultNotRun, fakeservice.FaultTruncatedAnswer,
	} {
		_, _, all, url := newBookingServer(t)
		all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: f})
		res, err := http.Get(url + "/availability?floor=2")
		require.NoError(t, err, "fault %q", f)
		b, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		res.Body.Close()
		require.Equal(t, 200, res.StatusCode, "fault %q", f)
		require.Contains(t, string(b), fakeservice.CallHash(fakeservice.Call{Method: "GET", Path: "/availability", Query: "floor=2"}))
	}
}

// Guards against a response without a Content-Length that breaks off and looks complete.
func TestIncompleteResponseIsAborted(t *testing.T) {
	st, _, _, url := newBookingServer(t)
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

// Guards against a response that breaks off while its first bytes are buffered, whose caller
// gets neither the status nor the run state, and which nothing reports.
func TestIncompleteResponseHasAStatus(t *testing.T) {
	s, st, _, _, url := newServicesServer(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000") // too long to be read ahead
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	st.endpoints = []lagoonhead.Endpoint{fakeservice.Endpoint("b", "bookings", srv.URL)}
	res, body := post(t, url+"/bookings", "kA", `{"crates":3}`)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, string(runYes), res.Header.Get(headerRun))
	require.Equal(t, "part (broken off)", body)
	require.Equal(t, "1", s.Vars().Get("responsesCutOff").String())
}

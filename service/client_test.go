package service

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeservice"
)

// placer selects the first endpoint that is not to be avoided and records the outcomes
// of its placements.
type placer struct {
	mu        sync.Mutex
	endpoints []lagoonhead.Endpoint
	outcomes  []lagoonhead.Outcome
}

func (p *placer) Place(_ context.Context, _ *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	for _, e := range p.endpoints {
		if !slices.Contains(avoid, e.ID()) {
			return &placement{p, e}, nil
		}
	}
	return nil, fault("placer", lagoonhead.KindUnavailable, nil)
}

type placement struct {
	placer   *placer
	endpoint lagoonhead.Endpoint
}

func (p *placement) Endpoint() lagoonhead.Endpoint { return p.endpoint }
func (p *placement) FirstToken()                   {}
func (p *placement) Done(o lagoonhead.Outcome) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.placer.outcomes = append(p.placer.outcomes, o)
}

// newServices starts n fake services and returns them with a placer over their
// endpoints.
func newServices(t *testing.T, n int) ([]*fakeservice.Service, *placer) {
	t.Helper()
	all := make([]*fakeservice.Service, 0, n)
	p := &placer{}
	for i := range n {
		s := &fakeservice.Service{}
		srv := httptest.NewServer(s.Handler())
		t.Cleanup(srv.Close)
		all = append(all, s)
		p.endpoints = append(p.endpoints, fakeservice.Endpoint(lagoonhead.EndpointID(rune('a'+i)), "bookings", srv.URL))
	}
	return all, p
}

func newCall(method, path string, idempotent bool) lagoonhead.ServiceCall {
	return lagoonhead.ServiceCall{
		Request: lagoonhead.NewRequest("r1", "w", "bookings", 0),
		Method:  method, Path: path, Header: http.Header{}, Idempotent: idempotent,
	}
}

// Guards against a call that net/http retries by itself when the service closes a
// kept-alive connection after it has read the request. The control shows that the
// fake service provokes such a retry: on a pooled connection the GET arrives twice.
func TestNoHiddenReplay(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, key := range []string{"", "key-1"} {
			t.Run(method+" "+key, func(t *testing.T) {
				all, p := newServices(t, 2)
				c := &Client{}
				t.Cleanup(c.Close)
				call := newCall(method, map[string]string{http.MethodPost: "/bookings", http.MethodGet: "/availability"}[method], false)
				call.IdempotencyKey = key
				call.Header.Set("Idempotency-Key", key)
				call.Header.Set("X-Idempotency-Key", key)
				if method == http.MethodPost {
					call.Body = []byte(`{"crates":3}`)
				}
				ans, err := c.Call(context.Background(), p, call)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, ans.Body)
				ans.Body.Close()
				all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: fakeservice.FaultCloseAfterRead})
				_, err = c.Call(context.Background(), p, call)
				require.Error(t, err)
				require.NotEqual(t, lagoonhead.KindUnavailable, lagoonhead.KindOf(err), "the service received the call")
				require.Len(t, all[0].Calls(), 2)
				require.Empty(t, all[1].Calls())
			})
		}
	}
	t.Run("control", func(t *testing.T) {
		all, p := newServices(t, 1)
		tr := new(http.Transport) // repeats calls by itself, which the test must notice
		get := func() (*http.Response, error) {
			r, err := http.NewRequest(http.MethodGet, p.endpoints[0].Address()+"/availability", nil)
			require.NoError(t, err)
			return tr.RoundTrip(r)
		}
		res, err := get()
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: fakeservice.FaultCloseAfterRead})
		_, err = get()
		require.Error(t, err)
		require.Len(t, all[0].Calls(), 3)
	})
}

// Guards against an error kind that misstates whether a failed call may have run, and
// against retries of calls that are not idempotent.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name       string
		fault      fakeservice.Fault
		idempotent bool
		kind       lagoonhead.Kind // of the error, if the call fails
		fails      bool
		endpoints  int // number of endpoints that received the call
	}{
		{"booking runs", fakeservice.FaultNone, false, 0, false, 1},
		{"booking refused", fakeservice.FaultNotRun, false, lagoonhead.KindUnavailable, true, 1},
		{"booking acted, answer dropped", fakeservice.FaultDropAnswer, false, lagoonhead.KindCrashed, true, 1},
		{"booking closed", fakeservice.FaultCloseAfterRead, false, lagoonhead.KindCrashed, true, 1},
		{"lookup refused", fakeservice.FaultNotRun, true, 0, false, 2},
		{"lookup answer dropped", fakeservice.FaultDropAnswer, true, 0, false, 2},
		{"lookup on a silent endpoint", fakeservice.FaultSilent, true, 0, false, 2},
		{"booking on a silent endpoint", fakeservice.FaultSilent, false, lagoonhead.KindUnknown, true, 1},
		{"lookup closed", fakeservice.FaultCloseAfterRead, true, 0, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			all, p := newServices(t, 2)
			all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: c.fault})
			cl := &Client{}
			if c.fault == fakeservice.FaultSilent {
				cl.Limits.HeaderTimeout = 200 * time.Millisecond
			}
			t.Cleanup(cl.Close)
			call := newCall(http.MethodPost, "/bookings", false)
			if c.idempotent {
				call = newCall(http.MethodGet, "/availability", true)
			}
			ans, err := cl.Call(context.Background(), p, call)
			require.Equal(t, c.fails, err != nil, "%v", err)
			if err != nil {
				require.Equal(t, c.kind, lagoonhead.KindOf(err), "%v", err)
			} else {
				require.Equal(t, c.endpoints, ans.Attempts)
				ans.Body.Close()
			}
			reached := 0
			for _, s := range all {
				reached += min(1, len(s.Calls()))
			}
			require.Equal(t, c.endpoints, reached)
			require.Len(t, p.outcomes, c.endpoints, "each placement ends once")
		})
	}
}

// Guards against KindUnavailable, which says that the call did not run, when an earlier
// attempt may have run.
func TestRefusalAfterALostAnswerIsNotUnavailable(t *testing.T) {
	all, p := newServices(t, 2)
	all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: fakeservice.FaultDropAnswer})
	all[1].SetFaultPlan(fakeservice.FaultPlan{Fault: fakeservice.FaultNotRun})
	c := &Client{}
	t.Cleanup(c.Close)
	_, err := c.Call(context.Background(), p, newCall(http.MethodGet, "/availability", true))
	require.Error(t, err)
	require.NotEqual(t, lagoonhead.KindUnavailable, lagoonhead.KindOf(err), "%v", err)
}

// Guards against a call that is reported as possibly run although nothing listens at
// the endpoint's address.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	p := &placer{endpoints: []lagoonhead.Endpoint{fakeservice.Endpoint("a", "bookings", srv.URL)}}
	c := &Client{}
	_, err := c.Call(context.Background(), p, newCall(http.MethodPost, "/bookings", false))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable), "%v", err)
}

// Guards against credentials, cookies and other headers not in forwardedHeaders that
// reach a service, and against headers not in returnedHeaders that reach the caller.
func TestHeaders(t *testing.T) {
	all, p := newServices(t, 1)
	c := &Client{}
	t.Cleanup(c.Close)
	call := newCall(http.MethodPost, "/bookings", false)
	call.IdempotencyKey = "k"
	for _, h := range []string{"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Idempotency-Key", "Forwarded", "Te", "Accept-Language", "Content-Type", "Traceparent"} {
		call.Header.Set(h, "v")
	}
	ans, err := c.Call(context.Background(), p, call)
	require.NoError(t, err)
	defer ans.Body.Close()
	require.Equal(t, http.Header{"Content-Type": {"application/json"}}, ans.Header)
	got := all[0].Calls()[0].Header
	for _, h := range []string{"User-Agent", "Content-Length", "Connection", HeaderRequestID, HeaderIdempotencyKey} {
		require.NotEmpty(t, got.Get(h), h)
		got.Del(h)
	}
	require.Equal(t, http.Header{"Accept-Language": {"v"}, "Content-Type": {"v"}, "Traceparent": {"v"}}, got)
}

// Guards against request and response bodies of unlimited size, and against a response
// that is cut off at the limit without an error.
func TestSizes(t *testing.T) {
	long := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = w.Write(make([]byte, 8))
			_ = http.NewResponseController(w).Flush()
		}
	})
	srv := httptest.NewServer(long)
	t.Cleanup(srv.Close)
	p := &placer{endpoints: []lagoonhead.Endpoint{fakeservice.Endpoint("a", "bookings", srv.URL)}}
	for limit, whole := range map[int64]bool{23: false, 24: true, 25: true} {
		c := &Client{Limits: Limits{MaxAnswerBytes: limit, MaxBodyBytes: 4}}
		ans, err := c.Call(context.Background(), p, newCall(http.MethodGet, "/catalogue", true))
		require.NoError(t, err)
		b, err := io.ReadAll(ans.Body)
		require.Equal(t, whole, err == nil, "limit %d: %v", limit, err)
		require.LessOrEqual(t, int64(len(b)), limit)
		ans.Body.Close()
		call := newCall(http.MethodPost, "/bookings", false)
		call.Body = []byte("12345")
		_, err = c.Call(context.Background(), p, call)
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), "%v", err)
		c.Close()
	}
}

// Guards against more retries than 10% of the requests and a burst of 10.
func TestBudget(t *testing.T) {
	var b Budget
	takeAll := func() (n int) {
		for b.Take() {
			n++
		}
		return n
	}
	require.Equal(t, 10, takeAll())
	for range 25 {
		b.CountRequest()
	}
	require.Equal(t, 2, takeAll())
	for range 1000 {
		b.CountRequest()
	}
	require.Equal(t, 10, takeAll(), "the budget does not exceed its capacity")
}

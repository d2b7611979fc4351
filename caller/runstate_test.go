package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

func post(t *testing.T, url, key, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		b = append(b, " (broken off)"...)
	}
	return res, string(b)
}

func postCompletion(t *testing.T, url, key, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	return post(t, url+"/v1/chat/completions", key, body, headers...)
}

// retryAfterError is a refusal with a retry time.
type retryAfterError struct{ error }

func (retryAfterError) RetryAfter() time.Duration { return 2500 * time.Millisecond }

func failingEngine(k lagoonhead.Kind) func(context.Context, lagoonhead.Endpoint, lagoonhead.Completion) (lagoonhead.EventStream, error) {
	return func(context.Context, lagoonhead.Endpoint, lagoonhead.Completion) (lagoonhead.EventStream, error) {
		return nil, fault("stub.engine", k, nil)
	}
}

// lostThenRefused is an engine function: the response of e1 is lost, and e2 refuses the
// request as not run.
func lostThenRefused(ctx context.Context, e lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
	if e.ID() == "e1" {
		return failingEngine(lagoonhead.KindUnknown)(ctx, e, c)
	}
	return failingEngine(lagoonhead.KindUnavailable)(ctx, e, c)
}

// breakingEngine returns an engine function whose streams all break before the event
// with the given index.
func breakingEngine(at int, k lagoonhead.Kind) func(context.Context, lagoonhead.Endpoint, lagoonhead.Completion) (lagoonhead.EventStream, error) {
	return func(_ context.Context, _ lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
		s := newScriptedStream(c.ResumeOffset)
		s.breakAt, s.err = at, fault("stub.engine", k, nil)
		return s, nil
	}
}

// Guards against a response with the run state "no" although an endpoint received the
// request, and against a wrong status, Retry-After or settled reservation. Each failure
// is compared with what the stub received.
func TestRunStateIsTrue(t *testing.T) {
	forbidden := fault("stub", lagoonhead.KindForbidden, errors.New("x"))
	for _, c := range []struct {
		name       string
		inject     func(*Server, *stub)
		status     int
		run        runState
		retryAfter string
		settled    []int64 // tokens; -1 stands for the whole charge
	}{
		{"stale", func(_ *Server, st *stub) { st.stale = errors.New("old") }, 503, runNo, "1", nil},
		{"over its rate", func(_ *Server, st *stub) {
			st.admitErr = fault("stub", lagoonhead.KindExhausted, retryAfterError{errors.New("rate")})
		}, 429, runNo, "3", nil},
		{"larger than its burst", func(_ *Server, st *stub) { st.admitErr = fault("stub", lagoonhead.KindInvalid, errors.New("burst")) }, 400, runNo, "", nil},
		{"forbidden by the limiter", func(_ *Server, st *stub) { st.admitErr = forbidden }, 403, runNo, "", nil},
		{"no endpoint", func(_ *Server, st *stub) { st.endpoints = nil }, 503, runNo, "1", []int64{0}},
		{"key withdrawn while it waits", func(s *Server, st *stub) { s.Admitter = withdrawingAdmitter{st} }, 401, runNo, "", []int64{0}},
		{"stale while it waits", func(s *Server, st *stub) { s.Admitter = agingAdmitter{st} }, 503, runNo, "1", []int64{0}},
		{"all engines refuse", func(_ *Server, st *stub) { st.engine = failingEngine(lagoonhead.KindUnavailable) }, 503, runNo, "1", []int64{0}},
		{"response lost", func(_ *Server, st *stub) { st.engine = failingEngine(lagoonhead.KindUnknown) }, 502, runUnknown, "", []int64{-1, -1, 0}},
		{"response lost, then refused", func(_ *Server, st *stub) { st.engine = lostThenRefused }, 502, runUnknown, "", []int64{-1, 0}},
		{"refused, then response lost", func(_ *Server, st *stub) {
			st.engine = lostThenRefused
			slices.Reverse(st.endpoints)
		}, 502, runUnknown, "", []int64{-1, 0}},
		{"engine refuses the body", func(_ *Server, st *stub) { st.engine = failingEngine(lagoonhead.KindInvalid) }, 400, runUnknown, "", []int64{-1}},
		{"engines time out", func(_ *Server, st *stub) { st.engine = failingEngine(lagoonhead.KindTimeout) }, 504, runUnknown, "", []int64{-1, -1, 0}},
		{"crashes two engines", func(_ *Server, st *stub) { st.engine = failingEngine(lagoonhead.KindCrashed) }, 403, runUnknown, "", []int64{-1, -1}},
		{"breaks before the first token", func(_ *Server, st *stub) { st.engine = breakingEngine(0, lagoonhead.KindUnavailable) }, 502, runUnknown, "", []int64{-1, -1, 0}},
		{"breaks after the first token", func(_ *Server, st *stub) { st.engine = breakingEngine(1, lagoonhead.KindUnavailable) }, 502, runYes, "", []int64{-1}},
		{"panics before the placement", func(s *Server, _ *stub) { s.Placer = nil }, 500, runNo, "", []int64{-1}},
		{"panics after the first token", func(s *Server, _ *stub) { s.Relay = nil }, 500, runYes, "", []int64{-1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, st, srv, _ := newTestServer(t)
			c.inject(s, st)
			res, body := postCompletion(t, srv.URL, "kA", validBody)
			require.Equal(t, c.status, res.StatusCode, body)
			require.Equal(t, string(c.run), res.Header.Get(headerRun), body)
			require.Equal(t, c.retryAfter, res.Header.Get(headerRetryAfter))
			require.Equal(t, c.run == runNo, len(st.attempts()) == 0, "the stub received %v", st.attempts())
			srv.Close()
			for i := range c.settled {
				if c.settled[i] == -1 {
					c.settled[i] = int64(estimateTokens(len(validBody)) + s.Limits.DefaultOutputTokens)
				}
			}
			require.Equal(t, c.settled, st.settled)
			require.Zero(t, s.InFlight("e1")+s.InFlight("e2"))
			require.Zero(t, s.tracker.count())
			require.NotEmpty(t, st.decisions)
			require.NotContains(t, body, "stub.engine", "the message names internal operations")
		})
	}
}

// withdrawingAdmitter withdraws the key kA while it admits a request.
type withdrawingAdmitter struct{ *stub }

func (w withdrawingAdmitter) Admit(ctx context.Context, r *lagoonhead.Request) (lagoonhead.Reservation, error) {
	w.setKey("kA", "")
	return w.stub.Admit(ctx, r)
}

// agingAdmitter makes the configuration of the daemon stale while it admits a request.
type agingAdmitter struct{ *stub }

func (a agingAdmitter) Admit(ctx context.Context, r *lagoonhead.Request) (lagoonhead.Reservation, error) {
	a.mu.Lock()
	a.stale = errors.New("frozen for a while")
	a.mu.Unlock()
	return a.stub.Admit(ctx, r)
}

// Guards against a retry on the endpoint that has failed, and against a missing retry.
func TestRetryOnAnotherEndpoint(t *testing.T) {
	for _, k := range []lagoonhead.Kind{lagoonhead.KindUnavailable, lagoonhead.KindUnknown, lagoonhead.KindCrashed} {
		s, st, srv, _ := newTestServer(t)
		st.engine = func(_ context.Context, e lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
			if e.ID() == "e1" {
				return nil, fault("stub", k, nil)
			}
			return newScriptedStream(c.ResumeOffset), nil
		}
		res, body := postCompletion(t, srv.URL, "kA", validBody)
		require.Equal(t, 200, res.StatusCode, body)
		require.Contains(t, body, "one two three")
		require.EqualValues(t, "e2", st.attempts()[len(st.attempts())-1].endpoint)
		require.Equal(t, "1", s.Vars().Get("retries").String())
		srv.Close()
		require.Len(t, st.usage, 1, "a failed attempt is not billed")
	}
}

// Guards against unbounded retries when all engines fail.
func TestRetryBudget(t *testing.T) {
	s, st, srv, _ := newTestServer(t)
	st.engine = failingEngine(lagoonhead.KindUnknown)
	for range 30 {
		postCompletion(t, srv.URL, "kA", validBody)
	}
	// The burst of 10, and one for each 10 of the 20 requests after the tenth.
	require.Equal(t, "12", s.Vars().Get("retries").String())
	require.Equal(t, 42, len(st.attempts()))
}

// Guards against two requests on one endpoint at the same time that have both crashed
// another endpoint.
func TestSuspectsRunOnSeparateEndpoints(t *testing.T) {
	s, st, _, _ := newTestServer(t)
	x := &exchange{server: s, key: "kA", workspace: "A"}
	var placed []lagoonhead.Placement
	for i, id := range []lagoonhead.RequestID{"r1", "r2", "r3"} {
		r := lagoonhead.NewRequest(id, "A", "m", 0)
		r.SetFingerprint(uint64(i))
		st.suspects[uint64(i)] = []lagoonhead.EndpointID{"elsewhere"}
		p, err := guardedPlacer{x}.Place(context.Background(), r, nil)
		if i == 2 {
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable), "%v", err)
			break
		}
		require.NoError(t, err)
		placed = append(placed, p)
	}
	require.NotEqual(t, placed[0].Endpoint().ID(), placed[1].Endpoint().ID())
	placed[0].Done(lagoonhead.Outcome{})
	r := lagoonhead.NewRequest("r4", "A", "m", 0)
	p, err := guardedPlacer{x}.Place(context.Background(), r, nil)
	require.NoError(t, err)
	require.Equal(t, placed[0].Endpoint().ID(), p.Endpoint().ID(), "the endpoint of an ended suspect must be free again")
}

// Guards against a request that waits past its deadline, and against a deadline that
// aborts a response that has begun.
func TestDeadline(t *testing.T) {
	for _, begun := range []bool{false, true} {
		_, st, srv, tm := newTestServer(t)
		st.engine = func(ctx context.Context, _ lagoonhead.Endpoint, _ lagoonhead.Completion) (lagoonhead.EventStream, error) {
			return &advancingStream{scriptedStream: newScriptedStream(-1), ctx: ctx, begun: begun, tm: tm}, nil
		}
		res, body := postCompletion(t, srv.URL, "kA", validBody, headerDeadline, "100")
		if begun {
			require.Equal(t, 200, res.StatusCode, body)
			continue
		}
		require.Equal(t, http.StatusGatewayTimeout, res.StatusCode, body)
		require.Equal(t, string(runUnknown), res.Header.Get(headerRun))
		require.Equal(t, []lagoonhead.Outcome{neutralOutcome}, st.outcomes, "the caller's deadline counted as a failure of the engine")
	}
}

// advancingStream advances the clock past the deadline: before its first event, or after
// it when begun is true.
type advancingStream struct {
	*scriptedStream
	ctx   context.Context
	begun bool
	tm    *timer.Manual
}

func (a *advancingStream) Next() (lagoonhead.StreamEvent, error) {
	if a.begun && a.next == 0 {
		return a.scriptedStream.Next()
	}
	a.tm.Advance(time.Minute)
	if a.begun {
		for range 1000 { // gives a deadline that is still armed the time to expire
			runtime.Gosched()
		}
		if a.ctx.Err() != nil {
			return lagoonhead.StreamEvent{}, a.ctx.Err()
		}
		return a.scriptedStream.Next()
	}
	for a.ctx.Err() == nil { // the server may start its timer only now
		a.tm.Advance(time.Minute)
		runtime.Gosched()
	}
	return lagoonhead.StreamEvent{}, a.ctx.Err()
}

// Guards against an unbounded number of concurrent requests, and against a refusal
// because of that bound without the run state "no".
func TestInFlightIsBounded(t *testing.T) {
	s, st, srv, _ := newTestServer(t)
	s.tracker.active = s.Limits.MaxInFlight
	res, body := postCompletion(t, srv.URL, "kA", validBody)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode, body)
	require.Equal(t, string(runNo), res.Header.Get(headerRun))
	require.NotEmpty(t, res.Header.Get(headerRetryAfter))
	require.Empty(t, st.attempts())
	s.tracker.active = 0
	res, body = postCompletion(t, srv.URL, "kA", validBody)
	require.Equal(t, http.StatusOK, res.StatusCode, body)
}

// Guards against requests that wait for an endpoint and are then sent at once with
// tokens that were reserved at different times. Tokens must be reserved when the request
// is sent. A request that is refused at that point has not run.
func TestTokensAreReservedWhenTheRequestIsSent(t *testing.T) {
	_, st, srv, tm := newTestServer(t)
	st.onPlace = func() { tm.Advance(time.Second) }
	res, body := postCompletion(t, srv.URL, "kA", validBody)
	require.Equal(t, http.StatusOK, res.StatusCode, body)
	require.Len(t, st.settled, 2)
	require.Zero(t, st.settled[0], "the first reservation must be returned in full")
	sent := len(st.attempts())
	st.onPlace = func() {
		tm.Advance(time.Second)
		st.admitErr = fault("stub.admit", lagoonhead.KindExhausted, errors.New("over the rate"))
	}
	res, body = postCompletion(t, srv.URL, "kA", validBody)
	require.Equal(t, http.StatusTooManyRequests, res.StatusCode, body)
	require.Equal(t, string(runNo), res.Header.Get(headerRun))
	require.Len(t, st.attempts(), sent)
}

package caller

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/relay"
)

const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`

var eventID = regexp.MustCompile(`(?m)^id: (.*)$`)

// Guards against a resumed stream that repeats or skips events, or is billed twice. The
// stream of the first daemon breaks permanently; another daemon with the same token key
// resumes it.
func TestResumeThroughAnotherServer(t *testing.T) {
	for breakAt := 1; breakAt <= 3; breakAt++ {
		_, st, srv, _ := newTestServer(t)
		st.engine = breakingEngine(breakAt, lagoonhead.KindUnknown)
		_, first := postCompletion(t, srv.URL, "kA", streamBody)
		require.Contains(t, first, `"error"`)
		require.NotContains(t, first, "[DONE]")
		ids := eventID.FindAllStringSubmatch(first, -1)
		require.Len(t, ids, breakAt)
		srv.Close()

		s2, st2, srv2, _ := newTestServer(t)
		res, rest := postCompletion(t, srv2.URL, "kA", streamBody, "Last-Event-ID", ids[breakAt-1][1])
		require.Equal(t, 200, res.StatusCode, rest)
		require.Contains(t, rest, "[DONE]")
		var text strings.Builder
		for _, m := range regexp.MustCompile(`"content":"([^"]*)"`).FindAllStringSubmatch(first+rest, -1) {
			text.WriteString(m[1])
		}
		require.Equal(t, "one two three", text.String())
		srv2.Close()
		seen := st2.attempts()
		require.Len(t, seen, 1)
		require.EqualValues(t, breakAt-1, seen[0].offset)
		require.Equal(t, st.attempts()[0].id, seen[0].id)
		require.Equal(t, []lagoonhead.WorkspaceUsage{{Workspace: "A", OutputTokens: int64(3 - breakAt)}}, st2.usage)
		require.EqualValues(t, breakAt, st.usage[0].OutputTokens)
		require.Empty(t, st.cancelled, "a stream that may be resumed was cancelled")
		require.Empty(t, st2.settled, "a resumed stream was charged again")
		require.Zero(t, s2.InFlight("e1"))
	}
}

// Guards against the run state "no" when the endpoint of a stream to resume no longer
// exists.
func TestResumeOnAnEndpointThatIsGone(t *testing.T) {
	s, _, srv, _ := newTestServer(t)
	sealed, err := s.Sealer.Seal(relay.NewResumePoint("old", "r", "A", 0))
	require.NoError(t, err)
	res, body := postCompletion(t, srv.URL, "kA", streamBody, "Last-Event-ID", sealed)
	require.Equal(t, http.StatusGone, res.StatusCode, body)
	require.Equal(t, string(runYes), res.Header.Get(headerRun))
}

// Guards against a stream that is resumed on an engine whose software has another version than the one
// that began it.
func TestResumeOnAnotherSoftwareVersion(t *testing.T) {
	version := func(st *stub, software string) {
		for i, e := range st.endpoints {
			st.endpoints[i] = e.WithSoftware(software)
		}
	}
	_, st, srv, _ := newTestServer(t)
	version(st, "v1")
	st.engine = breakingEngine(2, lagoonhead.KindUnknown)
	_, first := postCompletion(t, srv.URL, "kA", streamBody)
	ids := eventID.FindAllStringSubmatch(first, -1)
	require.Len(t, ids, 2)
	for software, want := range map[string]int{"v1": http.StatusOK, "v1.1": http.StatusGone, "": http.StatusGone} {
		_, st, srv, _ := newTestServer(t)
		version(st, software)
		res, body := postCompletion(t, srv.URL, "kA", streamBody, "Last-Event-ID", ids[1][1])
		require.Equal(t, want, res.StatusCode, body)
		require.Equal(t, want == http.StatusOK, len(st.attempts()) > 0, "version %q", software)
	}
}

// Guards against spans and engine requests outside the caller's trace, and against a
// key that reaches an engine.
func TestTraceAndHeaders(t *testing.T) {
	s, st, srv, _ := newTestServer(t)
	rec := tracetest.NewSpanRecorder()
	s.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(rec)).Tracer("test")
	const trace = "0af7651916cd43dd8448eb211c80319c"
	res, body := postCompletion(t, srv.URL, "kA", validBody, "Traceparent", "00-"+trace+"-b7ad6b7169203331-01", "Cookie", "c", "X-Api-Key", "kA")
	require.Equal(t, 200, res.StatusCode, body)
	srv.Close()
	names := make([]string, 0, 2)
	for _, sp := range rec.Ended() {
		require.Equal(t, trace, sp.SpanContext().TraceID().String())
		names = append(names, sp.Name())
	}
	slices.Sort(names)
	require.Equal(t, []string{"caller.attempt", "caller.request"}, names)
	h := st.attempts()[0].header
	require.Contains(t, h.Get("Traceparent"), trace)
	h.Del("Traceparent")
	require.Equal(t, http.Header{headerPriority: {"normal"}}, h)
	require.NotContains(t, fmt.Sprint(st.attempts(), st.decisions), "kA")
}

// Guards against a shutdown that aborts a request, that stops accepting before the load
// balancer has noticed the drain, or that runs a request after the drain.
func TestDrain(t *testing.T) {
	s, st, srv, tm := newTestServer(t)
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	st.engine = func(_ context.Context, _ lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
		entered <- struct{}{}
		<-release
		return newScriptedStream(c.ResumeOffset), nil
	}
	answers := make(chan int, 2)
	start := func() {
		go func() {
			r, err := http.NewRequest(http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(validBody))
			if err != nil {
				answers <- -1
				return
			}
			r.Header.Set("Authorization", "Bearer kA")
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				answers <- -1
				return
			}
			res.Body.Close()
			answers <- res.StatusCode
		}()
		<-entered
	}
	start()
	require.Equal(t, 1, s.InFlight("e1"))
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	require.Eventually(t, func() bool { return s.ready() != nil }, time.Minute, time.Millisecond)
	res, err := http.Get(srv.URL + "/readyz")
	require.NoError(t, err)
	res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	start() // still accepted
	closed := func() bool {
		tm.Advance(s.Limits.DrainDelay)
		res, _ := postCompletion(t, srv.URL, "kA", "{")
		return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRun) == "no"
	}
	require.Eventually(t, closed, time.Minute, time.Millisecond)
	require.Empty(t, drained, "the drain ended before the requests")
	close(release)
	require.NoError(t, <-drained)
	require.Equal(t, []int{200, 200}, []int{<-answers, <-answers})
	require.Len(t, st.attempts(), 2)
}

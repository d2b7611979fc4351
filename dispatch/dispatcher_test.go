package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const scriptService = "s"

// scriptedSend is the scripted reaction of an endpoint to one send.
type scriptedSend struct {
	Error     string
	Status    int
	Body      string
	Cut       bool
	Unframed  bool
	LongBytes int `yaml:"longBytes"`
	// After is the ID of the event behind which the request must ask to resume.
	After string
}

type attemptCase struct {
	Name  string
	Route string
	Sends []scriptedSend
	Want  struct {
		Status int
		Body   string
		Kind   string
		Sends  int
		NotRun bool `yaml:"notRun"`
	}
}

// scriptedSender answers sends in the order of its script.
type scriptedSender struct {
	t      *testing.T
	script []scriptedSend
	sends  int
}

var errCut = errors.New("the connection ended")

func (s *scriptedSender) Send(_ context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	require.Less(s.t, s.sends, len(s.script), "more sends than the script has")
	v := s.script[s.sends]
	s.sends++
	require.Equal(s.t, v.After, a.LastEventID)
	if v.Error != "" {
		kinds := map[string]lagoonhead.Kind{"refused": lagoonhead.KindUnavailable, "unknown": lagoonhead.KindUnknown, "crashed": lagoonhead.KindCrashed}
		k, ok := kinds[v.Error]
		require.True(s.t, ok, "error %q", v.Error)
		return nil, fail("script", k, errors.New(v.Error))
	}
	var body io.Reader = strings.NewReader(v.Body)
	if v.LongBytes > 0 {
		body = bytes.NewReader(make([]byte, v.LongBytes))
	}
	if v.Cut {
		body = io.MultiReader(body, iotest.ErrReader(errCut))
	}
	return &lagoonhead.Answer{Status: v.Status, Header: http.Header{}, Body: io.NopCloser(body), Unframed: v.Unframed}, nil
}

func (s *scriptedSender) Prefill(context.Context, *lagoonhead.Attempt) (lagoonhead.KVHandle, error) {
	return lagoonhead.KVHandle{}, fail("script", lagoonhead.KindUnavailable, errors.New("no prefill in the script"))
}

func (s *scriptedSender) Release(context.Context, lagoonhead.KVHandle) error { return nil }

// recordingSink records what the caller gets.
type recordingSink struct {
	status int
	body   bytes.Buffer
}

// Interrupt does nothing, since writes do not block.
func (s *recordingSink) Interrupt() {}

func (s *recordingSink) Start(status int, _ http.Header) { s.status = status }
func (s *recordingSink) Write(p []byte) error            { _, err := s.body.Write(p); return err }
func (s *recordingSink) Flush() error                    { return nil }

type fixedCatalog struct{ only *catalog.Catalog }

func (c fixedCatalog) Catalog() *catalog.Catalog { return c.only }

type noSuspects struct{}

func (noSuspects) Check(uint64) (bool, error)            { return false, nil }
func (noSuspects) Avoid(uint64) []lagoonhead.EndpointID  { return nil }
func (noSuspects) Crashed(uint64, lagoonhead.EndpointID) {}
func (noSuspects) Finished(uint64)                       {}

type noSuspectParts struct{}

func (noSuspectParts) Check(lagoonhead.RequestID, []string) error { return nil }
func (noSuspectParts) Crashed([]string, lagoonhead.Endpoint)      {}
func (noSuspectParts) Finished([]string)                          {}

type noDepartures struct{}

func (noDepartures) RecordLeaving(lagoonhead.Endpoint) bool { return false }

type unlimitedRetries struct{}

func (unlimitedRetries) CountRequest(string) {}
func (unlimitedRetries) Take(string) bool    { return true }

type usageCount int

func (u *usageCount) CountRequest(lagoonhead.WorkspaceID) { *u++ }

func scriptedDispatcher(s lagoonhead.Sender) *Dispatcher {
	route := func(name string, r catalog.Route) catalog.Route {
		r.Name, r.Host, r.Prefix, r.NoAPIKey = name, "h", "/"+name+"/", true
		r.Shares, r.MaxAttempts, r.Timeout = []catalog.Share{{Service: scriptService, Weight: 1}}, 2, time.Minute
		return r
	}
	d := &Dispatcher{
		Catalogs: fixedCatalog{catalog.New(catalog.Spec{Version: 1, Routes: []catalog.Route{
			route("plain", catalog.Route{}),
			route("repeatable", catalog.Route{RetryPolicy: catalog.RetrySafe}),
			route("stream", catalog.Route{Streaming: true}),
			route("resumable", catalog.Route{Streaming: true, Resumable: true}),
			route("patient", catalog.Route{Streaming: true, Resumable: true, AssumedCallerTimeout: 2400 * time.Millisecond}),
		}})},
		Suspects: noSuspects{}, Parts: noSuspectParts{}, Departures: noDepartures{}, Sender: s, Usage: new(usageCount), RetryBudget: unlimitedRetries{},
		Timer: timer.NewManual(time.Hour, time.Unix(0, 0)), Domain: "x",
	}
	var list []lagoonhead.Endpoint
	for _, id := range []lagoonhead.EndpointID{"a", "b", "c"} {
		list = append(list, lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, scriptService, string(id)+":1", "x").WithRole(lagoonhead.RoleMixed).WithSlots(4))
	}
	d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 0 }) })
	return d
}

// Guards against a request that runs twice, an answer that is truncated or mixed from two,
// and an error that says "not run" of a request that may have run.
func TestAttempts(t *testing.T) {
	raw, err := os.ReadFile("testdata/attempts.yaml")
	require.NoError(t, err)
	var cases []attemptCase
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			sender := &scriptedSender{t: t, script: c.Sends}
			sink := &recordingSink{}
			d := scriptedDispatcher(sender)
			u, err := url.Parse("http://h/" + c.Route + "/x")
			require.NoError(t, err)
			err = d.Serve(t.Context(), &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u}, sink)
			kind := ""
			if err != nil {
				kind = lagoonhead.KindOf(err).String()
			}
			require.Equal(t, c.Want.Kind, kind, "%v", err)
			require.Equal(t, c.Want.NotRun, err != nil && NotRun(err))
			require.Equal(t, c.Want.Sends, sender.sends)
			require.Equal(t, c.Want.Status, sink.status)
			require.Equal(t, c.Want.Body, sink.body.String())
		})
	}
}

// refusingSender prefills every prompt and refuses every run. It counts the sends that count
// towards the retry budget: all but the first prefill and the first run.
type refusingSender struct {
	scriptedSender
	prefills, runs int
}

func (s *refusingSender) Prefill(_ context.Context, a *lagoonhead.Attempt) (lagoonhead.KVHandle, error) {
	s.prefills++
	return lagoonhead.KVHandle{Engine: a.Endpoint, Handle: "h"}, nil
}

func (s *refusingSender) Send(context.Context, *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.runs++
	return nil, fail("script", lagoonhead.KindUnavailable, errors.New("refused"))
}

func (s *refusingSender) repeats() int { return max(0, s.prefills-1) + max(0, s.runs-1) }

// countedRetries grants a number of sends.
type countedRetries struct{ left, taken int }

func (r *countedRetries) CountRequest(string) {}

func (r *countedRetries) Take(string) bool {
	if r.left == 0 {
		return false
	}
	r.left--
	r.taken++
	return true
}

// setEngines replaces the engines by others with the given roles and returns them.
func setEngines(d *Dispatcher, roles map[lagoonhead.EndpointID]lagoonhead.Role) map[lagoonhead.EndpointID]lagoonhead.Endpoint {
	var list []lagoonhead.Endpoint
	byID := make(map[lagoonhead.EndpointID]lagoonhead.Endpoint)
	for id, role := range roles {
		byID[id] = lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, scriptService, string(id)+":1", "x").WithRole(role).WithSlots(4)
		list = append(list, byID[id])
	}
	d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 100_000 }) })
	return byID
}

// longPrompt returns a call with a prompt that is prefilled apart from its run.
func longPrompt(t *testing.T) *Call {
	u, err := url.Parse("http://h/stream/x")
	require.NoError(t, err)
	return &Call{
		ID: "r", Method: http.MethodPost, Host: "h", URL: u, HasPrompt: true,
		Prompt: steer.Prompt{Tokens: 20_000, MaxOutput: 10, Parts: []steer.Part{{ID: "shared", Tokens: 16_000}, {ID: "own", Tokens: 4_000}}},
	}
}

// Guards against a request that is refused behind its prefill and uses more of the retry
// budget than it took: the next prefill counts as well as the next run.
func TestRepeatedPrefillsAreTakenFromTheRetryBudget(t *testing.T) {
	for budget := range 6 {
		s := &refusingSender{}
		d := scriptedDispatcher(s)
		granted := &countedRetries{left: budget}
		d.RetryBudget = granted
		setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{
			"p": lagoonhead.RolePrefill, "q": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode, "b": lagoonhead.RoleDecode, "c": lagoonhead.RoleDecode,
		})
		err := d.Serve(t.Context(), longPrompt(t), &recordingSink{})
		require.True(t, NotRun(err), "%v", err)
		require.Positive(t, s.prefills, "the prompt is prefilled apart")
		require.LessOrEqual(t, s.repeats(), granted.taken, "%d prefills and %d runs", s.prefills, s.runs)
	}
}

// Guards against a stream that no endpoint can run and that takes sends from the retry budget again
// and again without sending anything.
func TestAStreamThatNoEndpointCanRunIsRefusedAtOnce(t *testing.T) {
	s := &scriptedSender{t: t}
	d := scriptedDispatcher(s)
	granted := &countedRetries{left: 10}
	d.RetryBudget = granted
	setEngines(d, nil)
	u, err := url.Parse("http://h/resumable/x")
	require.NoError(t, err)
	err = d.Serve(t.Context(), &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u}, &recordingSink{})
	require.True(t, NotRun(err), "%v", err)
	require.Zero(t, granted.taken)
}

// prefillingSender prefills every prompt and answers every run with a stream. While failing is
// set it refuses prefills.
type prefillingSender struct {
	scriptedSender
	failing        bool
	prefills, runs int
}

func (s *prefillingSender) Prefill(_ context.Context, a *lagoonhead.Attempt) (lagoonhead.KVHandle, error) {
	s.prefills++
	if s.failing {
		return lagoonhead.KVHandle{}, fail("script", lagoonhead.KindUnavailable, errors.New("refused"))
	}
	return lagoonhead.KVHandle{Engine: a.Endpoint, Handle: "h"}, nil
}

func (s *prefillingSender) Send(context.Context, *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.runs++
	return &lagoonhead.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
}

// Guards against prompts that are prefilled and only then refused, since each engine that may
// run them has a limit, and against a limit that is used up by prefills that failed.
func TestPromptsThatNoEngineMayRunAreRefusedBeforeTheirPrefill(t *testing.T) {
	s := &prefillingSender{}
	d := scriptedDispatcher(s)
	d.RetryBudget = &countedRetries{}
	engines := setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{"p": lagoonhead.RolePrefill, "q": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode})
	clock := d.Timer.(*timer.Manual)
	d.WithBoard(func(b *steer.Board) {
		require.True(t, b.SetLimit(clock.Now(), engines["a"], 2))
	})
	serve := func() error { return d.Serve(t.Context(), longPrompt(t), &recordingSink{}) }

	err := serve()
	require.True(t, NotRun(err), "%v", err)
	require.Zero(t, s.prefills)
	require.Equal(t, 500*time.Millisecond, RetryAfter(err))

	clock.Advance(500 * time.Millisecond)
	s.failing = true
	require.True(t, NotRun(serve()))
	require.Equal(t, 1, s.prefills)
	s.failing = false
	require.NoError(t, serve(), "the limit is not used up by the prefill that failed")
	require.Equal(t, 2, s.prefills)
	require.Equal(t, 1, s.runs)

	require.True(t, NotRun(serve()))
	require.Equal(t, 2, s.prefills)
}

// Guards against a limit that is used up by prompts that are refused because they would be
// prefilled too late.
func TestALatePromptUsesNoLimit(t *testing.T) {
	s := &prefillingSender{}
	d := scriptedDispatcher(s)
	engines := setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{"p": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode})
	clock := d.Timer.(*timer.Manual)
	d.WithBoard(func(b *steer.Board) { require.True(t, b.SetLimit(clock.Now(), engines["p"], 2)) })
	clock.Advance(500 * time.Millisecond)

	late := longPrompt(t)
	late.Timeout = time.Millisecond
	require.True(t, NotRun(d.Serve(t.Context(), late, &recordingSink{})))
	require.Zero(t, s.prefills)
	require.NoError(t, d.Serve(t.Context(), longPrompt(t), &recordingSink{}))
	require.Equal(t, 1, s.prefills, "prefilled apart, within the limit")
}

// Guards against a small answer that fails because others fill the memory for answers, and against
// large ones that are read beyond it.
func TestSmallAnswersAreReadWhileOthersFillTheBuffer(t *testing.T) {
	d := &Dispatcher{Timer: &timer.System{}}
	d.init()
	r := &request{Dispatcher: d, call: &Call{Method: http.MethodGet}, demand: lagoonhead.NewRequest("1", "w", scriptService, 0)}
	r.deadline = d.Timer.Now() + time.Minute
	read := func(ctx context.Context, size int) (*fullAnswer, error) {
		return r.readFull(ctx, &lagoonhead.Answer{Body: io.NopCloser(bytes.NewReader(make([]byte, size)))})
	}
	var large []*fullAnswer
	for range 3 {
		w, err := read(t.Context(), 7<<20)
		require.NoError(t, err)
		large = append(large, w)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := read(ctx, 7<<20)
	require.Error(t, err)
	require.False(t, NotRun(err), "the request has run")
	w, err := read(t.Context(), 4)
	require.NoError(t, err)
	w.end()
	for _, w := range large {
		w.end()
	}
	w, err = read(t.Context(), 7<<20)
	require.NoError(t, err, "the memory was given back")
	w.end()
}

// resumingSender answers the first run with one event, after which the connection breaks off late, and
// each later one with the next event.
type resumingSender struct {
	prefillingSender
	clock *timer.Manual
	// breakAfter is the time from the first event until the connection breaks off.
	breakAfter time.Duration
}

func (s *resumingSender) Send(_ context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.runs++
	body := io.Reader(strings.NewReader("id: 2\ndata: b\n\n"))
	if a.LastEventID == "" {
		body = io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), readerFunc(func([]byte) (int, error) {
			s.clock.Advance(s.breakAfter)
			return 0, errCut
		}))
	}
	return &lagoonhead.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a stream that is cut off instead of resumed because the time within which its caller
// waits for the first event is over.
func TestAStreamIsResumedLongAfterItsArrival(t *testing.T) {
	for _, breakAfter := range []time.Duration{0, time.Second, 3 * time.Second} {
		s := &resumingSender{breakAfter: breakAfter}
		d := scriptedDispatcher(s)
		s.clock = d.Timer.(*timer.Manual)
		setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{
			"p": lagoonhead.RolePrefill, "q": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode, "b": lagoonhead.RoleDecode,
		})
		c := longPrompt(t)
		c.URL.Path = "/patient/x"
		sink := &recordingSink{}
		require.NoError(t, d.Serve(t.Context(), c, sink), breakAfter)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", sink.body.String())
		require.Equal(t, 2, s.runs)
	}
}

// Guards against a log that does not tell how old the registrations were from which an endpoint was
// chosen, or that the request was sent long after the choice.
func TestTheLogTellsTheViewAtASend(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	sender := &connectingSender{scriptedSender: scriptedSender{t: t, script: []scriptedSend{{Status: http.StatusOK, Body: "x"}}}}
	d := scriptedDispatcher(sender)
	sender.clock, d.Log = d.Timer.(*timer.Manual), zap.New(core)
	d.View = func() mirror.View { return mirror.View{Age: time.Second, Revision: 7, Peer: "vm-2/x"} }
	u, err := url.Parse("http://h/plain/x")
	require.NoError(t, err)
	require.NoError(t, d.Serve(t.Context(), &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u}, &recordingSink{}))
	line := lines.All()[0].ContextMap()
	require.Equal(t, map[string]any{"age": time.Second, "revision": int64(7), "peer": "vm-2/x"}, line["view"])
	require.Regexp(t, "connected to [abc] after 300ms", line["steps"])
}

// connectingSender has a connection after 300 ms.
type connectingSender struct {
	scriptedSender
	clock *timer.Manual
}

func (s *connectingSender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.clock.Advance(300 * time.Millisecond)
	a.OnConnected()
	return s.scriptedSender.Send(ctx, a)
}

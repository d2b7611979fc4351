package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
)

// versionSend is the scripted reaction to a send that must go to an endpoint of the version At.
type versionSend struct {
	scriptedSend `yaml:",inline"`
	At           string
}

type versionCase struct {
	Name, Route    string
	Engines, Gone  map[lagoonhead.EndpointID]string
	After, Resumes string
	Known          map[lagoonhead.RequestID]string
	WithoutMemory  bool `yaml:"withoutMemory"`
	Sends          []versionSend
	Want           struct {
		Body, Kind string
		Sends      int
		NotRun     bool `yaml:"notRun"`
		RetryAfter int  `yaml:"retryAfter"`
		Begun      bool
		Asked      bool
	}
}

// versionSender answers sends in the order of its script and records the versions of the endpoints.
type versionSender struct {
	scriptedSender
	at       []string
	versions []string
}

func (s *versionSender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	ans, err := s.scriptedSender.Send(ctx, a)
	if at := s.at[s.sends-1]; at != "" {
		require.Equal(s.t, at, a.Endpoint.Software())
	}
	s.versions = append(s.versions, a.Endpoint.Software())
	return ans, err
}

// memory is a StreamVersions with what a test says. It records the calls of Begin and Find.
type memory struct {
	t     *testing.T
	sink  *recordingSink
	known map[lagoonhead.RequestID]string
	begun []string
	asked []lagoonhead.RequestID
}

func (m *memory) Begin(_ context.Context, service string, id lagoonhead.RequestID, software string) {
	require.Zero(m.t, m.sink.status, "the caller has the first event before the version is remembered")
	require.Equal(m.t, scriptService, service)
	require.Equal(m.t, lagoonhead.RequestID("r"), id)
	m.begun = append(m.begun, software)
}

func (m *memory) Find(_ context.Context, service string, id lagoonhead.RequestID) (software, source string, ok bool) {
	require.Equal(m.t, scriptService, service)
	m.asked = append(m.asked, id)
	software, ok = m.known[id]
	return software, "a test", ok
}

// setVersions replaces the engines by others with the given versions.
func setVersions(d *Dispatcher, versions map[lagoonhead.EndpointID]string) {
	var list []lagoonhead.Endpoint
	for id, v := range versions {
		list = append(list, lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, scriptService, string(id)+":1", "x").WithSlots(4).WithSoftware(v))
	}
	d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 0 }) })
}

// versionDispatcher returns a dispatcher with the engines of a case only: the board has seen no others.
func versionDispatcher(c versionCase, s lagoonhead.Sender, m lagoonhead.StreamVersions) *Dispatcher {
	d := scriptedDispatcher(s)
	d.WithBoard(func(b *steer.Board) { *b = steer.Board{Domain: "x"} })
	if !c.WithoutMemory {
		d.Versions = m
	}
	setVersions(d, c.Gone)
	setVersions(d, c.Engines)
	return d
}

// Guards against streams that hold events of two software versions, in one answer or over a caller's
// requests, and against a version that is guessed.
func TestVersions(t *testing.T) {
	raw, err := os.ReadFile("testdata/versions.yaml")
	require.NoError(t, err)
	var cases []versionCase
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			sender, sink := &versionSender{scriptedSender: scriptedSender{t: t}}, &recordingSink{}
			for _, s := range c.Sends {
				sender.script = append(sender.script, s.scriptedSend)
				sender.at = append(sender.at, s.At)
			}
			m := &memory{t: t, sink: sink, known: c.Known}
			d := versionDispatcher(c, sender, m)
			if c.Route == "" {
				c.Route = "resumable"
			}
			u, err := url.Parse("http://h/" + c.Route + "/x")
			require.NoError(t, err)
			call := &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u, LastEventID: c.After, Resumes: lagoonhead.RequestID(c.Resumes)}
			err = d.Serve(t.Context(), call, sink)
			kind := ""
			if err != nil {
				kind = lagoonhead.KindOf(err).String()
			}
			require.Equal(t, c.Want.Kind, kind, "%v", err)
			require.Equal(t, c.Want.NotRun, err != nil && NotRun(err))
			require.Equal(t, time.Duration(c.Want.RetryAfter)*time.Millisecond, RetryAfter(err))
			require.Equal(t, c.Want.Sends, sender.sends)
			require.Equal(t, c.Want.Body, sink.body.String())
			require.Equal(t, c.Want.Asked, len(m.asked) > 0)
			for i := 1; i < len(sender.versions); i++ {
				if c.Sends[i-1].Body != "" {
					require.Equal(t, sender.versions[i-1], sender.versions[i], "the stream goes on at another version")
				}
			}
			if c.Want.Begun {
				require.Equal(t, sender.versions[len(sender.versions)-1:], m.begun)
			} else {
				require.Empty(t, m.begun)
			}
		})
	}
}

// Guards against a stream that is given up for being silent although only engines of another software
// version could go on with it.
func TestASilentStreamStaysWhileOnlyAnotherVersionHasRoom(t *testing.T) {
	d := scriptedDispatcher(nil)
	setVersions(d, map[lagoonhead.EndpointID]string{"a": "v1", "b": "v1.1"})
	u, err := url.Parse("http://h/resumable/x")
	require.NoError(t, err)
	r, err := d.newRequest(&Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u}, &recordingSink{})
	require.NoError(t, err)
	e := lagoonhead.NewEndpoint("a", lagoonhead.EndpointKindEngine, scriptService, "a:1", "x").WithSoftware("v1")
	a := r.newAttempt(t.Context(), e, nil, nil)
	w := r.watchSilence(t.Context(), a)
	defer r.endWatch(w, nil)
	w.restart(time.Hour, r)
	require.True(t, w.takeMove(), "before the first event it may go to any version")
	r.beginVersion(t.Context(), e)
	w.restart(time.Hour, r)
	require.False(t, w.takeMove())
}

// kvSender prefills every prompt, refuses every second run and records runs whose KV cache is of
// another software version.
type kvSender struct {
	prefillingSender
	moved, crossed int
}

func (s *kvSender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	ans, err := s.prefillingSender.Send(ctx, a)
	if a.KVSource != nil {
		s.moved++
		if a.KVSource.Engine.Software() != a.Endpoint.Software() {
			s.crossed++
		}
	}
	if s.runs%2 == 0 {
		return nil, fail("script", lagoonhead.KindUnavailable, errors.Newf("refused"))
	}
	return ans, err
}

// Guards against a KV cache that is moved to an engine of another software version.
func TestKVCachesAreNotMovedBetweenVersions(t *testing.T) {
	s := &kvSender{}
	d := scriptedDispatcher(s)
	var list []lagoonhead.Endpoint
	for id, v := range map[lagoonhead.EndpointID]string{"p": "v1", "q": "v1.1", "s": "v1.2", "a": "v1", "b": "v1", "c": "v1.1", "d": "v1.1"} {
		role := lagoonhead.RoleDecode
		if id >= "p" {
			role = lagoonhead.RolePrefill
		}
		list = append(list, lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, scriptService, string(id)+":1", "x").
			WithRole(role).WithSlots(4).WithSoftware(v))
	}
	d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 100_000 }) })
	served := 0
	for range 40 {
		if d.Serve(t.Context(), longPrompt(t), &recordingSink{}) == nil {
			served++
		}
	}
	require.Positive(t, served)
	require.Positive(t, s.moved)
	require.Zero(t, s.crossed)
}

// onlyVersions is a serviceMemory whose other services have had one version.
type onlyVersions struct{ serviceMemory }

func (m onlyVersions) Find(ctx context.Context, service string, id lagoonhead.RequestID) (software, source string, ok bool) {
	if software, source, ok = m.serviceMemory.Find(ctx, service, id); ok {
		return software, source, ok
	}
	return "v1", lagoonhead.SourceOnlyVersion, true
}

// serviceMemory knows that every stream began at the version of one service.
type serviceMemory struct{ service, software string }

func (m serviceMemory) Begin(context.Context, string, lagoonhead.RequestID, string) {}

func (m serviceMemory) Find(_ context.Context, service string, _ lagoonhead.RequestID) (software, source string, ok bool) {
	return m.software, "a test", service == m.service
}

// serviceSender records the services that get requests.
type serviceSender struct {
	prefillingSender
	services map[string]bool
}

func (s *serviceSender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.services[a.Endpoint.Serves()] = true
	return s.prefillingSender.Send(ctx, a)
}

// Guards against a stream that is taken up at another service of its route than that which began it,
// and against one that is taken up at a service to which the route sends no more.
func TestAStreamIsTakenUpAtItsService(t *testing.T) {
	s := &serviceSender{services: make(map[string]bool)}
	d := scriptedDispatcher(s)
	route := catalog.Route{
		Name: "split", Host: "h", Prefix: "/split/", NoAPIKey: true, Streaming: true, Resumable: true, MaxAttempts: 2, Timeout: time.Minute,
		Shares: []catalog.Share{{Service: "first", Weight: 1}, {Service: "second", Weight: 1}, {Service: "former", Weight: 0}},
	}
	d.Catalogs = fixedCatalog{catalog.New(catalog.Spec{Version: 1, Routes: []catalog.Route{route}})}
	var list []lagoonhead.Endpoint
	for _, service := range []string{"first", "second", "former"} {
		list = append(list, lagoonhead.NewEndpoint(lagoonhead.EndpointID(service), lagoonhead.EndpointKindEngine, service, service+":1", "x").WithSlots(4).WithSoftware("v1"))
	}
	d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 0 }) })
	u, err := url.Parse("http://h/split/x")
	require.NoError(t, err)
	takeUp := func() error {
		return d.Serve(t.Context(), &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u, LastEventID: "1", Resumes: "first"}, &recordingSink{})
	}
	d.Versions = serviceMemory{"second", "v1"}
	for range 20 {
		require.NoError(t, takeUp())
	}
	require.Equal(t, map[string]bool{"second": true}, s.services)
	d.Versions = onlyVersions{serviceMemory{"second", "v1"}}
	for range 20 {
		require.NoError(t, takeUp())
	}
	require.Equal(t, map[string]bool{"second": true}, s.services, "other services have one version, and do not know the stream")
	d.Versions = serviceMemory{"former", "v1"}
	require.True(t, NotRun(takeUp()))
	require.Equal(t, map[string]bool{"second": true}, s.services)
}

// Guards against streams whose software version, or the reason why they were refused, cannot be told
// from the log and the counters.
func TestTheLogTellsTheVersionOfAStream(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	sender := &versionSender{scriptedSender: scriptedSender{t: t}, at: make([]string, 3)}
	sink := &recordingSink{}
	d := versionDispatcher(versionCase{Engines: map[lagoonhead.EndpointID]string{"a": "v1", "b": "v1"}}, sender, &memory{
		t: t, sink: sink, known: map[lagoonhead.RequestID]string{"r": "v1"},
	})
	d.Log = zap.New(core)
	const event = "id: 1\ndata: a\n\n"
	sender.script = []scriptedSend{{Status: 200, Body: event, Cut: true}, {After: "1", Status: 200, Body: event}, {After: "1", Status: 200, Body: event}}
	u, err := url.Parse("http://h/resumable/x")
	require.NoError(t, err)
	line := func(c Call) map[string]any {
		c.ID, c.Method, c.Host, c.URL = "r", http.MethodPost, "h", u
		_ = d.Serve(t.Context(), &c, sink)
		return lines.TakeAll()[0].ContextMap()
	}

	begun := line(Call{})
	require.Equal(t, "v1", begun["software"])
	steps := fmt.Sprint(begun["steps"])
	for _, step := range []string{"the version was told to other VMs in", "first event, version v1", "resume behind event 1, version v1"} {
		require.Contains(t, steps, step)
	}
	takenUp := line(Call{LastEventID: "1", Resumes: "r"})
	require.Equal(t, "v1", takenUp["software"])
	require.Equal(t, "r", takenUp["resumes"])
	require.Contains(t, fmt.Sprint(takenUp["steps"]), "takes up the stream of request r behind event 1, version v1, learnt from a test")
	unknown := line(Call{LastEventID: "1", Resumes: "other"})
	require.NotContains(t, unknown, "software")
	require.Equal(t, "other", unknown["resumes"])
	require.Contains(t, unknown["error"], "the software version of s at which the stream of request other began is not known")
	setVersions(d, map[lagoonhead.EndpointID]string{"a": "v1.1"})
	require.Contains(t, line(Call{LastEventID: "1", Resumes: "r"})["error"], "no endpoint of s at version v1 is registered and stays")

	vars := d.Vars()
	for name, want := range map[string]string{"takeUps": "3", "takeUpsUnknown": "1", "takeUpsRefused": "2"} {
		require.Equal(t, want, vars.Get(name).String(), name)
	}
}

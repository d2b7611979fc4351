package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/relay"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
)

// stub implements the dependencies of a Server, with faults that tests can set.
type stub struct {
	mu        sync.Mutex
	keys      map[string]lagoonhead.WorkspaceID
	endpoints []lagoonhead.Endpoint
	routes    map[string]lagoonhead.Route
	stale     error  // result of Fresh
	onPlace   func() // called while a request waits for an endpoint
	admitErr  error
	suspects  map[uint64][]lagoonhead.EndpointID
	// engine runs one attempt; nil stands for an engine that responds "one two three".
	engine func(ctx context.Context, e lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error)

	received  []receivedAttempt
	cancelled []lagoonhead.RequestID
	settled   []int64 // tokens used, in the order of the calls of Settle
	usage     []lagoonhead.WorkspaceUsage
	outcomes  []lagoonhead.Outcome
	decisions []lagoonhead.Decision
}

// receivedAttempt is an attempt as the engine received it.
type receivedAttempt struct {
	endpoint lagoonhead.EndpointID
	id       lagoonhead.RequestID
	header   http.Header
	body     string
	offset   int64
}

var chunks = []string{
	`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"one "}}]}`,
	`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{"content":"two "}}]}`,
	`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{"content":"three"},"finish_reason":"stop"}]}`,
	`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[],"usage":{"prompt_tokens":5,"completion_tokens":3,"total_tokens":8}}`,
}

// scriptedStream is an EventStream of fixed events. It fails with err before the event
// with index breakAt; -1 means that it does not fail.
type scriptedStream struct {
	events  []string
	next    int
	breakAt int
	err     error
}

func newScriptedStream(after int64) *scriptedStream {
	return &scriptedStream{events: chunks, next: int(after) + 1, breakAt: -1}
}

func (s *scriptedStream) Next() (lagoonhead.StreamEvent, error) {
	if s.next == s.breakAt {
		return lagoonhead.StreamEvent{}, s.err
	}
	if s.next >= len(s.events) {
		return lagoonhead.StreamEvent{}, io.EOF
	}
	e := lagoonhead.StreamEvent{Offset: int64(s.next), Data: []byte(s.events[s.next])}
	s.next++
	return e, nil
}

func (s *scriptedStream) Close() error { return nil }

func (s *stub) Directory() lagoonhead.Directory { return s }
func (s *stub) Revision() int64                 { return 1 }
func (s *stub) Models() []string                { return []string{"m", "org/other"} }

func (s *stub) Authenticate(key string) (lagoonhead.WorkspaceID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.keys[key]
	if !ok {
		return "", fault("stub", lagoonhead.KindUnauthenticated, nil)
	}
	return w, nil
}

func (s *stub) setKey(key string, w lagoonhead.WorkspaceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	if w != "" {
		s.keys[key] = w
	}
}

func (s *stub) Endpoints(k lagoonhead.EndpointKind, serves string) []lagoonhead.Endpoint {
	var out []lagoonhead.Endpoint
	for _, e := range s.endpoints {
		if e.Kind() == k && e.Serves() == serves {
			out = append(out, e)
		}
	}
	return out
}

func (s *stub) ServiceRoute(name, method, path string) (lagoonhead.Route, bool) {
	r, ok := s.routes[name+" "+method+" "+path]
	return r, ok
}

func (s *stub) Rule(lagoonhead.WorkspaceID, string) lagoonhead.WorkRule {
	return lagoonhead.WorkRule{Name: "default", Priority: lagoonhead.PriorityNormal}
}

func (s *stub) Quota(lagoonhead.WorkspaceID) (lagoonhead.Quota, bool) {
	return lagoonhead.Quota{}, true
}

func (s *stub) Fresh() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

func (s *stub) Admit(context.Context, *lagoonhead.Request) (lagoonhead.Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitErr != nil {
		return nil, s.admitErr
	}
	return s, nil
}

func (s *stub) Settle(used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = append(s.settled, used)
}

func (s *stub) Place(_ context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	if s.onPlace != nil {
		s.onPlace()
	}
	for _, e := range s.endpoints {
		if e.Serves() == r.Target() && !slices.Contains(avoid, e.ID()) {
			return &stubPlacement{s, e}, nil
		}
	}
	return nil, fault("stub.place", lagoonhead.KindUnavailable, nil)
}

type stubPlacement struct {
	stub     *stub
	endpoint lagoonhead.Endpoint
}

func (p *stubPlacement) Endpoint() lagoonhead.Endpoint { return p.endpoint }
func (p *stubPlacement) FirstToken()                   {}

func (p *stubPlacement) Done(o lagoonhead.Outcome) {
	p.stub.mu.Lock()
	defer p.stub.mu.Unlock()
	p.stub.outcomes = append(p.stub.outcomes, o)
}

func (s *stub) Stream(ctx context.Context, e lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
	s.mu.Lock()
	engine := s.engine
	s.mu.Unlock()
	if engine == nil {
		engine = func(context.Context, lagoonhead.Endpoint, lagoonhead.Completion) (lagoonhead.EventStream, error) {
			return newScriptedStream(c.ResumeOffset), nil
		}
	}
	events, err := engine(ctx, e, c)
	if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.received = append(s.received, receivedAttempt{e.ID(), c.Request.ID(), c.Header, string(c.Body), c.ResumeOffset})
	}
	return events, err
}

func (s *stub) Cancel(_ context.Context, _ lagoonhead.Endpoint, id lagoonhead.RequestID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = append(s.cancelled, id)
	return nil
}

func (s *stub) Check(f uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects[f]) > 1 {
		return true, fault("stub.suspect", lagoonhead.KindForbidden, fmt.Errorf("the request has crashed two endpoints"))
	}
	return len(s.suspects[f]) == 1, nil
}

func (s *stub) Crashed(f uint64, e lagoonhead.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[f] = append(s.suspects[f], e)
}

func (s *stub) Avoid(uint64) []lagoonhead.EndpointID { return nil }

func (s *stub) Finished(f uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspects, f)
}

func (s *stub) Record(_ context.Context, u lagoonhead.WorkspaceUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = append(s.usage, u)
}

func (s *stub) RecordDecision(d lagoonhead.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions = append(s.decisions, d)
}

func (s *stub) attempts() []receivedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// newTestServer returns a server over a stub, the stub, the HTTP test server and the
// clock. Keys kA and kB belong to workspaces A and B; engines e1 and e2 serve model m.
func newTestServer(t testing.TB) (*Server, *stub, *httptest.Server, *timer.Manual) {
	t.Helper()
	st := &stub{
		keys:     map[string]lagoonhead.WorkspaceID{"kA": "A", "kB": "B"},
		suspects: map[uint64][]lagoonhead.EndpointID{},
		routes:   map[string]lagoonhead.Route{},
		endpoints: []lagoonhead.Endpoint{
			lagoonhead.NewEndpoint("e1", lagoonhead.EndpointKindEngine, "m", "", "d1"),
			lagoonhead.NewEndpoint("e2", lagoonhead.EndpointKindEngine, "m", "", "d2"),
		},
	}
	seal, err := relay.NewSealer(make([]byte, relay.KeyBytes))
	require.NoError(t, err)
	tm := timer.NewManual(time.Hour, time.Unix(1, 0))
	s := &Server{
		Directories: st, Gate: st, Admitter: st, Placer: st, Engines: st, Suspects: st, Parts: &suspect.Parts{Timer: tm},
		Usage: st, Decisions: st, Relay: &relay.Relay{Timer: &timer.System{}, Sealer: seal, WriteTimeout: -1}, Sealer: seal, Timer: tm,
	}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, st, srv, tm
}

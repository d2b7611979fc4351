package engine

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/timer"
)

func allow() error { return nil }

func newCommander(authority func() error) *Commander {
	return &Commander{Timer: &timer.System{}, Authority: authority}
}

func roleOrder(i lagoonhead.Incarnation, sequence int64) lagoonhead.EngineOrder {
	return lagoonhead.EngineOrder{
		Endpoint: "e1", Incarnation: i, Sequence: sequence, Verb: lagoonhead.OrderRole, Value: "decode",
	}
}

// Guards against an order that is sent although Authority returns an error, and against
// a call of Authority before the connection is open.
func TestAuthorityIsCheckedOnTheOpenConnection(t *testing.T) {
	f := &fakeengine.Engine{Timer: &timer.System{}, ID: "e1"}
	conns := make(chan struct{}, 10)
	srv := httptest.NewUnstartedServer(f)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns <- struct{}{}
		}
	}
	srv.Start()
	defer srv.Close()
	lost := errors.New("the lease has expired")
	c := newCommander(func() error {
		<-conns
		return lost
	})
	err := c.SendOrder(t.Context(), testEndpoint(srv.URL), roleOrder(f.Incarnation(), 1))
	require.Equal(t, lagoonhead.KindStale, lagoonhead.KindOf(err))
	require.ErrorIs(t, err, lost)
	require.Empty(t, f.Orders())
}

// Guards against an order that takes effect although its sender was paused between
// the call of Authority and the write. The engine closes the idle connection meanwhile.
func TestPauseAfterTheCheckFindsTheConnectionClosed(t *testing.T) {
	f := &fakeengine.Engine{Timer: &timer.System{}, ID: "e1"}
	closed := make(chan struct{})
	srv := httptest.NewUnstartedServer(f)
	srv.Config.ReadHeaderTimeout = time.Millisecond
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			close(closed)
		}
	}
	srv.Start()
	defer srv.Close()
	c := newCommander(func() error {
		<-closed
		return nil
	})
	require.Error(t, c.SendOrder(t.Context(), testEndpoint(srv.URL), roleOrder(f.Incarnation(), 1)))
	require.Empty(t, f.Orders())
}

// Guards against a lost response that is reported as anything but KindUnknown, and
// against one call that sends an order twice.
func TestLostOrderAnswerIsUnknown(t *testing.T) {
	f := &fakeengine.Engine{Timer: &timer.System{}, ID: "e1", Fenced: true}
	srv := httptest.NewServer(f)
	defer srv.Close()
	f.SetFaults(fakeengine.Faults{DropOrderAnswers: 1})
	c, e := newCommander(allow), testEndpoint(srv.URL)
	err := c.SendOrder(t.Context(), e, roleOrder(f.Incarnation(), 5))
	require.Equal(t, lagoonhead.KindUnknown, lagoonhead.KindOf(err), err)
	require.Len(t, f.Orders(), 1)
	require.NoError(t, c.SendOrder(t.Context(), e, roleOrder(f.Incarnation(), 5)), "retry of the same order")
	err = c.SendOrder(t.Context(), e, roleOrder(f.Incarnation(), 4))
	require.Equal(t, lagoonhead.KindStale, lagoonhead.KindOf(err), err)
	err = c.SendOrder(t.Context(), e, roleOrder("former", 6))
	require.Equal(t, lagoonhead.KindStale, lagoonhead.KindOf(err), err)
}

// Guards against a call that waits forever for the response to an order, and against
// a refused connection that is reported as KindUnknown.
func TestOrderLimitsAndRefusedConnection(t *testing.T) {
	m := timer.NewManual(0, time.Unix(0, 0))
	c := &Commander{Timer: m, Authority: allow}
	url, _ := rawEngine(t, "", true)
	e := testEndpoint(url)
	done := make(chan error, 1)
	go func() { done <- c.SendOrder(t.Context(), e, roleOrder("i", 1)) }()
	require.Eventually(t, func() bool {
		m.Advance(defaultCallTimeout)
		return len(done) == 1
	}, 10*time.Second, time.Millisecond)
	err := <-done
	require.Contains(t, []lagoonhead.Kind{lagoonhead.KindUnknown, lagoonhead.KindUnavailable}, lagoonhead.KindOf(err))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	err = c.SendOrder(t.Context(), testEndpoint("http://"+l.Addr().String()), roleOrder("i", 1))
	require.Equal(t, lagoonhead.KindUnavailable, lagoonhead.KindOf(err), err)
}

// Guards against a cancellation that does not stop the request, and against a canceled
// response that is taken for a complete one.
func TestCancel(t *testing.T) {
	m := timer.NewManual(0, time.Unix(0, 0))
	f := &fakeengine.Engine{Timer: m, DecodeRate: 1}
	srv := httptest.NewServer(f)
	defer srv.Close()
	s, e := newStreamer(), testEndpoint(srv.URL)
	v, err := s.Stream(t.Context(), e, testCompletion("r1", -1))
	require.NoError(t, err)
	defer v.Close()
	require.NoError(t, s.Cancel(t.Context(), e, "r1"))
	_, err = v.Next()
	require.ErrorIs(t, err, ErrIncomplete)
	require.Equal(t, lagoonhead.KindUnknown, lagoonhead.KindOf(err))
	require.Equal(t, lagoonhead.KindNotFound, lagoonhead.KindOf(s.Cancel(t.Context(), e, "r2")))
}

// Guards against one kind for two failures: an engine that crashes while it runs the
// request, which the request may have caused, and an engine that was already down.
func TestCrashedAndDownEnginesHaveDifferentKinds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeengine.Engine{Timer: &timer.System{}}
	f.SetFaults(fakeengine.Faults{CrashPrompt: "hi", CrashAfter: 1})
	ended := make(chan error, 1)
	go func() { ended <- (&fakeengine.Server{Engine: f, Listener: l}).Run(t.Context()) }()
	s, e := newStreamer(), testEndpoint("http://"+l.Addr().String())
	v, err := s.Stream(t.Context(), e, testCompletion("r1", -1))
	for err == nil {
		_, err = v.Next()
	}
	require.Equal(t, lagoonhead.KindCrashed, lagoonhead.KindOf(err), err)
	require.NoError(t, <-ended)
	_, err = s.Stream(t.Context(), e, testCompletion("r2", -1))
	require.Equal(t, lagoonhead.KindUnavailable, lagoonhead.KindOf(err), err)
}

// Guards against queries that do not decode the responses of an engine.
func TestQuerier(t *testing.T) {
	f := &fakeengine.Engine{Timer: &timer.System{}, ID: "other", Model: "m@1", CacheBlocks: 4}
	srv := httptest.NewServer(f)
	defer srv.Close()
	q := &Querier{Timer: &timer.System{}}
	l, err := q.Load(t.Context(), testEndpoint(srv.URL))
	require.NoError(t, err)
	require.Equal(t, lagoonhead.LoadReport{
		Endpoint: "e1", Incarnation: f.Incarnation(), Role: lagoonhead.RoleMixed, Model: "m@1",
		FreeCacheBlocks: 4, Number: 1,
	}, l)
	v, err := q.CacheEvents(t.Context(), testEndpoint(srv.URL), 0)
	require.NoError(t, err)
	require.Empty(t, v)
	f.Crash()
	_, err = q.Load(t.Context(), testEndpoint(srv.URL))
	require.Equal(t, lagoonhead.KindCrashed, lagoonhead.KindOf(err), err)
}

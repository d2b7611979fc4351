package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against an answer that is given up as silent although it arrived while the process was
// stalled, and against a silence that is waited for without end because the process is always late.
func TestAStallOfTheProcessEndsNoAttempt(t *testing.T) {
	d := scriptedDispatcher(nil)
	clock, ok := d.Timer.(*timer.Manual)
	require.True(t, ok)
	r := watchedRequest(t, d)
	a := r.newAttempt(t.Context(), endpointA(), nil, nil)
	w := r.watchSilence(t.Context(), a)
	defer r.endWatch(w, nil)
	asked := make(chan struct{}, 1)
	w.send = func(ctx context.Context, r *request) (*attempt, error) {
		asked <- struct{}{}
		return &attempt{request: r, answer: &lagoonhead.Answer{Body: http.NoBody}, cancel: func(error) {}}, nil
	}
	const silence, stall = time.Hour, 3 * time.Second // the system's timer does not fire in this time
	for range 2 {
		w.restart(silence, r) // the endpoint has sent something
		clock.Advance(silence + stall)
		w.expire()
		require.Nil(t, w.moving, "what arrived meanwhile is unread")
	}
	clock.Advance(silenceRecheck + stall)
	w.expire()
	<-asked
	<-a.ctx.Done()
	require.ErrorIs(t, context.Cause(a.ctx), errSilent)
}

// watchedRequest returns a request for a stream that may be resumed.
func watchedRequest(t *testing.T, d *Dispatcher) *request {
	u, err := url.Parse("http://h/resumable/x")
	require.NoError(t, err)
	r, err := d.newRequest(&Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u}, &recordingSink{})
	require.NoError(t, err)
	return r
}

func endpointA() lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint("a", lagoonhead.EndpointKindEngine, scriptService, "a:1", "x")
}

// Guards against a silent stream whose moves use up the retry budget: one that is refused costs one
// send, and the prompt is not prefilled for each.
func TestARefusedMoveCostsOneSend(t *testing.T) {
	s := &refusingSender{}
	d := scriptedDispatcher(s)
	clock, ok := d.Timer.(*timer.Manual)
	require.True(t, ok)
	granted := &countedRetries{left: 10}
	d.RetryBudget = granted
	engines := setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{
		"p": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode, "b": lagoonhead.RoleDecode, "c": lagoonhead.RoleDecode,
	})
	r, err := d.newRequest(longPrompt(t), &recordingSink{})
	require.NoError(t, err)
	route := *r.route
	route.Resumable, r.route = true, &route
	r.prefilled, r.started = true, true
	w := r.watchSilence(t.Context(), r.newAttempt(t.Context(), engines["a"], nil, nil))
	w.restart(10*time.Second, r)
	for _, c := range []struct{ prefills, runs, taken int }{{1, 1, 2}, {1, 2, 3}, {1, 2, 3}} {
		clock.Advance(11 * time.Second)
		w.mu.Lock()
		w.stalled = true // the clock was advanced
		w.mu.Unlock()
		w.expire()
		w.mu.Lock()
		moving := w.moving
		w.mu.Unlock()
		if moving != nil {
			<-moving
		}
		require.Equal(t, c.prefills, s.prefills)
		require.Equal(t, c.runs, s.runs)
		require.Equal(t, c.taken, granted.taken)
	}
	require.Nil(t, r.endWatch(w, nil))
	require.NotNil(t, r.spare)
	require.ElementsMatch(t, []lagoonhead.EndpointID{"b", "c"}, r.unwilling)
}

const (
	movedEvents = 4
	// silentBefore is the event before which the first engine is silent.
	silentBefore = 3
)

// pausingSender has a first engine for each stream that is silent for about minSilenceTimeout, and
// then goes on or breaks off. Other engines accept the stream, refuse it or fail, soon or late.
type pausingSender struct {
	scriptedSender
	mu sync.Mutex
	// random decides what the engines do.
	random *rand.Rand
	// sends counts the sends, and open the answers that are not closed.
	sends, open int
	// broken holds the streams at which the first engine broke off.
	broken map[lagoonhead.RequestID]bool
}

// draw returns a random number below n.
func (s *pausingSender) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *pausingSender) add(sends, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends += sends
	s.open += open
}

func (s *pausingSender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.add(1, 0)
	first := a.LastEventID == ""
	if !first {
		select {
		case <-time.After(time.Duration(s.draw(60)) * time.Millisecond):
		case <-ctx.Done():
			return nil, fail("script", lagoonhead.KindUnknown, context.Cause(ctx))
		}
		switch s.draw(8) {
		case 0, 1:
			return nil, fail("script", lagoonhead.KindUnavailable, errors.New("refused"))
		case 2:
			return nil, fail("script", lagoonhead.KindCrashed, errors.New("crashed"))
		case 3:
			s.add(0, 1)
			return &lagoonhead.Answer{Status: http.StatusInternalServerError, Body: &countedBody{Reader: strings.NewReader(""), sender: s}}, nil
		}
	}
	in, out := io.Pipe()
	last, _ := strconv.Atoi(a.LastEventID) // 0 is before all events
	silence := minSilenceTimeout + time.Duration(s.draw(80)-20)*time.Millisecond
	breaksOff := first && s.draw(5) == 0
	stop := context.AfterFunc(ctx, func() { in.CloseWithError(context.Cause(ctx)) })
	go func() {
		defer stop()
		for n := last + 1; n <= movedEvents; n++ {
			if first && n == silentBefore {
				time.Sleep(silence)
			}
			if first && n == silentBefore && breaksOff {
				s.mu.Lock()
				s.broken[a.ID] = true
				s.mu.Unlock()
				out.CloseWithError(errCut)
				return
			}
			if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
				return
			}
		}
		out.Close()
	}()
	s.add(0, 1)
	return &lagoonhead.Answer{Status: http.StatusOK, Header: http.Header{}, Body: &countedBody{Reader: in, sender: s}}, nil
}

// countedBody is the body of an answer that must be closed.
type countedBody struct {
	io.Reader
	sender *pausingSender
	once   sync.Once
}

func (b *countedBody) Close() error {
	b.once.Do(func() { b.sender.add(0, -1) })
	return nil
}

// safeRetries is an unlimited retry budget that counts what is taken.
type safeRetries struct{ taken atomic.Int64 }

func (r *safeRetries) CountRequest(string) {}

func (r *safeRetries) Take(string) bool {
	r.taken.Add(1)
	return true
}

// Guards against events of two engines that mix, events that are lost or come twice, and a stream that
// is cut off although its engine goes on, whatever engine is the first to send something after a
// silence. Guards also against sends that were not taken from the retry budget, and answers that stay open.
func TestMovesNeitherLoseNorRepeatEvents(t *testing.T) {
	const streams = 300
	s := &pausingSender{random: rand.New(rand.NewPCG(48, 1)), broken: make(map[lagoonhead.RequestID]bool)}
	d := scriptedDispatcher(s)
	d.Timer = &timer.System{}
	retries := new(safeRetries)
	d.RetryBudget = retries
	var list []lagoonhead.Endpoint
	for _, id := range []lagoonhead.EndpointID{"a", "b", "c", "d"} {
		list = append(list, lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, scriptService, string(id)+":1", "x").WithRole(lagoonhead.RoleMixed).WithSlots(2*streams))
	}
	d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 0 }) })
	u, err := url.Parse("http://h/resumable/x")
	require.NoError(t, err)
	var whole strings.Builder
	for n := 1; n <= movedEvents; n++ {
		fmt.Fprintf(&whole, "id: %d\ndata: piece %d\n\n", n, n)
	}
	var w sync.WaitGroup
	var served atomic.Int64
	for i := range streams {
		w.Go(func() {
			sink := &recordingSink{}
			id := lagoonhead.RequestID(strconv.Itoa(i))
			err := d.Serve(t.Context(), &Call{ID: id, Method: http.MethodPost, Host: "h", URL: u}, sink)
			if err == nil {
				served.Add(1)
				assert.Equal(t, whole.String(), sink.body.String())
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.True(t, s.broken[id], "%v, although the first engine goes on", err)
			assert.True(t, strings.HasPrefix(whole.String(), sink.body.String()))
		})
	}
	w.Wait()
	require.Greater(t, served.Load(), int64(streams/2))
	require.Zero(t, s.open)
	require.LessOrEqual(t, int64(s.sends-streams), retries.taken.Load())
	for _, name := range []string{"silencesMoved", "movesFailed", "movesWithdrawn"} {
		require.NotEqual(t, "0", d.Vars().Get(name).String(), name)
	}
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httppool"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// defaultIdleLimit is two keep-alive intervals of 2 s and a margin for a slow
	// network.
	defaultIdleLimit = 5 * time.Second
	// sweepsPerIdleLimit is the number of sweeps within the idle limit. A sweep checks all
	// streams; it cancels an idle one at most two sweep intervals after the limit.
	sweepsPerIdleLimit = 5
	// defaultCallTimeout bounds orders, queries and cancellations.
	defaultCallTimeout = 2 * time.Second
)

// Streamer runs completions on engines. Set the exported fields before the first use.
type Streamer struct {
	// Timer must be set.
	Timer timer.Timer
	// ReadIdleTimeout is how long a read from a connection may wait for data; 0 means 5 s.
	// Run enforces it, so it has no effect while Run is not running.
	ReadIdleTimeout time.Duration
	// DialTimeout bounds the dial; 0 means 1 s.
	DialTimeout time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT of connections; 0 means 5 s.
	UserTimeout time.Duration
	// MaxEventBytes bounds one event; 0 means 1 MiB.
	MaxEventBytes int
	// OnLoad is called with each load report in the header or trailer of a response. It
	// may be nil, is called from several goroutines and must not block.
	OnLoad func(lagoonhead.LoadReport)

	once  sync.Once
	pools httppool.Pools
	mu    sync.Mutex
	open  map[*stream]struct{}

	counters counters
}

// counters counts started streams, their outcomes and dropped connection pools.
type counters struct {
	vars                                      expvar.Map
	started, completed, notRun, refused       expvar.Int
	idle, broken, wrongRequest, wrongOffset   expvar.Int
	oversized, malformed, incomplete, dropped expvar.Int
}

var _ lagoonhead.EngineStreamer = (*Streamer)(nil)

func (s *Streamer) init() {
	s.once.Do(func() {
		s.pools.Dialer, s.pools.IdleTimeout = dialer(s.DialTimeout, s.UserTimeout), idleConnTimeout
		s.pools.IDHeader = HeaderRequestID
		s.open = make(map[*stream]struct{})
		c := &s.counters
		for _, v := range []struct {
			name string
			v    *expvar.Int
		}{
			{"streamsStarted", &c.started}, {"streamsWhole", &c.completed},
			{"notRun", &c.notRun}, {"refused", &c.refused},
			{"idleTimeouts", &c.idle}, {"connectionsBroken", &c.broken},
			{"wrongRequest", &c.wrongRequest}, {"wrongOffset", &c.wrongOffset},
			{"oversizedEvents", &c.oversized}, {"malformedEvents", &c.malformed},
			{"incompleteAnswers", &c.incomplete}, {"poolsDropped", &c.dropped},
		} {
			c.vars.Set(v.name, v.v)
		}
	})
}

// Vars returns the counters of the Streamer.
func (s *Streamer) Vars() *expvar.Map {
	s.init()
	return &s.counters.vars
}

// Run cancels streams that are idle for longer than ReadIdleTimeout, until ctx is done.
func (s *Streamer) Run(ctx context.Context) error {
	s.init()
	limit := s.ReadIdleTimeout
	if limit <= 0 {
		limit = defaultIdleLimit
	}
	ticks := s.Timer.Subscribe(limit / sweepsPerIdleLimit)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			s.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep checks all open streams for idle reads.
func (s *Streamer) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.open {
		v.sweep()
	}
}

func (s *Streamer) add(v *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[v] = struct{}{}
}

func (s *Streamer) remove(v *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, v)
}

// Stream starts the completion, or resumes it if c.ResumeOffset is not negative. It
// returns once the engine has sent the response headers.
func (s *Streamer) Stream(ctx context.Context, e lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
	const op = "engine.stream"
	s.init()
	ctx, span := startSpan(ctx, op, e)
	ctx, cancel := context.WithCancelCause(ctx)
	v := &stream{
		streamer: s, endpoint: e, request: string(c.Request.ID()),
		nextOffset: c.ResumeOffset + 1, ctx: ctx, cancel: cancel, span: span,
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address()+pathCompletions, nil)
	if err == nil {
		err = setStreamingBody(r, c.Body)
	}
	if err != nil {
		cancel(nil)
		endSpan(span, err)
		return nil, fail(op, lagoonhead.KindInvalid, err)
	}
	r.Header = engineHeader(c)
	injectSpan(ctx, r.Header)
	if c.ResumeOffset >= 0 {
		r.Header.Set(HeaderResumeOffset, strconv.FormatInt(c.ResumeOffset, 10))
	}
	s.counters.started.Add(1)
	s.add(v)
	if err := v.start(r); err != nil {
		s.remove(v)
		cancel(nil)
		endSpan(span, err)
		return nil, err
	}
	return v, nil
}

// reportLoad passes the load report in a response's header or trailer to OnLoad.
func (s *Streamer) reportLoad(e lagoonhead.Endpoint, h http.Header) {
	if s.OnLoad == nil {
		return
	}
	if l, ok := parseLoad(e.ID(), h); ok {
		s.OnLoad(l)
	}
}

// dropPool drops the connection pool t, so that the next request to the endpoint dials.
func (s *Streamer) dropPool(e lagoonhead.Endpoint, t *httppool.Transport) {
	s.counters.dropped.Add(1)
	s.pools.Drop(e.Address(), t)
}

// Cancel tells the engine to stop running the request. KindNotFound means that the
// engine has no such request.
func (s *Streamer) Cancel(ctx context.Context, e lagoonhead.Endpoint, id lagoonhead.RequestID) error {
	const op = "engine.cancel"
	s.init()
	ctx, stop := withTimeout(ctx, s.Timer, defaultCallTimeout)
	defer stop()
	b, err := json.Marshal(struct {
		RequestID lagoonhead.RequestID `json:"requestId"`
	}{id})
	if err != nil {
		return fail(op, lagoonhead.KindInternal, err)
	}
	var x httppool.Exchange
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address()+pathCancel, bytes.NewReader(b))
	if err != nil {
		return fail(op, lagoonhead.KindInvalid, err)
	}
	r.Header.Set("Content-Type", contentJSON)
	t := s.pools.Get(e.Address())
	res, err := t.Do(r, &x)
	if err != nil {
		s.dropPool(e, t)
		return fail(op, kindOfFailure(ctx, err, x.Written()), err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return statusError(op, res)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseBytes))
	return nil
}

func isEventStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == contentEventStream
}

// countFailure increments the counter for the cause of a failed stream.
func (c *counters) countFailure(k lagoonhead.Kind, err error) {
	switch {
	case k == lagoonhead.KindUnavailable:
		c.notRun.Add(1)
	case k == lagoonhead.KindTimeout:
		c.idle.Add(1)
	case k == lagoonhead.KindCrashed:
		c.broken.Add(1)
	case errors.Is(err, ErrWrongRequest):
		c.wrongRequest.Add(1)
	case errors.Is(err, ErrOutOfSequence):
		c.wrongOffset.Add(1)
	case errors.Is(err, ErrOversized):
		c.oversized.Add(1)
	case errors.Is(err, ErrMalformed):
		c.malformed.Add(1)
	case errors.Is(err, ErrIncomplete):
		c.incomplete.Add(1)
	}
}

package service

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Limits bounds the calls.
type Limits struct {
	// BodyBytes is the largest body of a call; 0 means 1 MiB.
	BodyBytes int64
	// AnswerBytes is the largest body of an answer; 0 means 8 MiB.
	AnswerBytes int64
	// DialTimeout bounds the time to connect; 0 means 2 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the time from the call to the header of the answer; 0
	// means 30 s.
	HeaderTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultBodyBytes   = 1 << 20
	defaultAnswerBytes = 8 << 20
)

// Client calls plain services. Its fields are set before the first call.
type Client struct {
	// Budget bounds the retries of idempotent calls. It is shared with the other
	// parts that retry.
	Budget *Budget
	// Suspects hears of endpoints that crashed under a call. It may be nil.
	Suspects lagoonhead.SuspectWatch
	Limits   Limits

	once   sync.Once
	pooled *http.Transport
	single *http.Transport
	vars   counters
}

type counters struct {
	calls, attempts, retries, budgetEmpty, notRun, unknown expvar.Int
}

var _ lagoonhead.ServiceCaller = (*Client)(nil)

// Vars returns the counters of the client.
func (c *Client) Vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("calls", &c.vars.calls)
	m.Set("attempts", &c.vars.attempts)
	m.Set("retries", &c.vars.retries)
	m.Set("retryBudgetEmpty", &c.vars.budgetEmpty)
	m.Set("notRun", &c.vars.notRun)
	m.Set("unknown", &c.vars.unknown)
	return m
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.setUp)
	c.pooled.CloseIdleConnections()
}

func (c *Client) setUp() {
	l := &c.Limits
	setDefault(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.AnswerBytes, defaultAnswerBytes)
	setDefault(&l.DialTimeout, defaultDialTimeout)
	setDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	if c.Budget == nil {
		c.Budget = new(Budget)
	}
	c.pooled = newTransport(l.DialTimeout, l.HeaderTimeout, true)
	c.single = newTransport(l.DialTimeout, l.HeaderTimeout, false)
}

func setDefault[T int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Call makes the call as lagoonhead.ServiceCaller describes.
func (c *Client) Call(ctx context.Context, p lagoonhead.Placer, call lagoonhead.ServiceCall) (*lagoonhead.ServiceAnswer, error) {
	c.once.Do(c.setUp)
	c.vars.calls.Add(1)
	c.Budget.Earn()
	if int64(len(call.Body)) > c.Limits.BodyBytes {
		return nil, fault("service.call", lagoonhead.KindInvalid, errors.Newf("body has more than %d bytes", c.Limits.BodyBytes))
	}
	run := attempts{client: c, placer: p, call: call}
	return run.all(ctx)
}

// attempts is the state of one call over its attempts.
type attempts struct {
	client *Client
	placer lagoonhead.Placer
	call   lagoonhead.ServiceCall
	avoid  []lagoonhead.EndpointID
	// mayHaveRun is true once an attempt may have reached an endpoint.
	mayHaveRun bool
	count      int
}

func (a *attempts) all(ctx context.Context) (*lagoonhead.ServiceAnswer, error) {
	var last error
	for {
		p, err := a.placer.Place(ctx, a.call.Request, a.avoid)
		if err != nil && last != nil {
			a.client.Budget.Return()
			return nil, last
		}
		if err != nil {
			return nil, fault("service.place", lagoonhead.KindOf(err), err)
		}
		ans, err := a.attempt(ctx, p)
		if err == nil {
			return ans, nil
		}
		last = a.verdict(err)
		if !a.mayRetry(ctx) {
			return nil, last
		}
		a.avoid = append(a.avoid, p.Endpoint().ID())
	}
}

// verdict keeps KindUnavailable only if no attempt may have run.
func (a *attempts) verdict(err error) error {
	k := lagoonhead.KindOf(err)
	if k != lagoonhead.KindUnavailable {
		a.mayHaveRun = true
	}
	if a.mayHaveRun {
		a.client.vars.unknown.Add(1)
		if k == lagoonhead.KindUnavailable {
			k = lagoonhead.KindUnknown
		}
		return fault("service.call", k, err)
	}
	a.client.vars.notRun.Add(1)
	return err
}

func (a *attempts) mayRetry(ctx context.Context) bool {
	if !a.call.Idempotent || ctx.Err() != nil {
		return false
	}
	if !a.client.Budget.Take() {
		a.client.vars.budgetEmpty.Add(1)
		return false
	}
	return true
}

// attempt makes one attempt and ends the placement, at the latest when the body
// of the answer is closed.
func (a *attempts) attempt(ctx context.Context, p lagoonhead.Placement) (*lagoonhead.ServiceAnswer, error) {
	a.count++
	a.client.vars.attempts.Add(1)
	if a.count > 1 {
		a.client.vars.retries.Add(1)
	}
	res, err := a.roundTrip(ctx, p.Endpoint()) //nolint:bodyclose // answerBody closes it
	if err != nil {
		k := lagoonhead.KindOf(err)
		if k == lagoonhead.KindCrashed && a.client.Suspects != nil {
			a.client.Suspects.Crashed(a.call.Request.Fingerprint(), p.Endpoint().ID())
		}
		p.Done(lagoonhead.Outcome{Failed: true, Kind: k})
		return nil, err
	}
	p.FirstToken()
	return &lagoonhead.ServiceAnswer{
		Status:   res.StatusCode,
		Header:   pick(res.Header, returned),
		Body:     &answerBody{body: res.Body, left: a.client.Limits.AnswerBytes, placement: p},
		Endpoint: p.Endpoint().ID(),
		Attempts: a.count,
	}, nil
}

func (a *attempts) roundTrip(ctx context.Context, e lagoonhead.Endpoint) (*http.Response, error) {
	var conn connState
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { conn = connState{open: true, reused: i.Reused} },
	})
	req, err := a.request(ctx, e)
	if err != nil {
		return nil, fault("service.request", lagoonhead.KindInvalid, err)
	}
	t := a.client.single
	if a.call.Idempotent {
		t = a.client.pooled
	}
	// RoundTrip follows no redirect, unlike http.Client.
	res, err := t.RoundTrip(req)
	if err != nil {
		return nil, fault("service.roundTrip", failureKind(err, conn), err)
	}
	if err := refusal(res, a.call.Idempotent); err != nil {
		_, _ = io.CopyN(io.Discard, res.Body, 4<<10)
		res.Body.Close()
		return nil, err
	}
	if res.ContentLength > a.client.Limits.AnswerBytes {
		res.Body.Close()
		return nil, fault("service.answer", lagoonhead.KindInternal, errors.Newf("answer has %d bytes, more than the limit", res.ContentLength))
	}
	if err := readAhead(res); err != nil {
		return nil, fault("service.readAhead", lagoonhead.KindUnknown, err)
	}
	return res, nil
}

// readAheadBytes bounds the answers that are read before the caller gets their
// header.
const readAheadBytes = 32 << 10

// readAhead reads a short answer of known length as a whole, so that a broken one
// can still be retried, or told as an error. Others are streamed.
func readAhead(res *http.Response) error {
	if res.ContentLength <= 0 || res.ContentLength > readAheadBytes {
		return nil
	}
	b, err := io.ReadAll(res.Body)
	res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(b))
	return err
}

func (a *attempts) request(ctx context.Context, e lagoonhead.Endpoint) (*http.Request, error) {
	path := (&url.URL{Path: a.call.Path}).EscapedPath()
	target := strings.TrimSuffix(e.Address(), "/") + path
	if a.call.RawQuery != "" {
		target += "?" + a.call.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, a.call.Method, target, nil)
	if err != nil {
		return nil, err
	}
	req.Header = requestHeader(a.call)
	if len(a.call.Body) > 0 {
		// The body has no GetBody, without which net/http cannot send it twice.
		req.Body = io.NopCloser(bytes.NewReader(a.call.Body))
		req.ContentLength = int64(len(a.call.Body))
	}
	return req, nil
}

// connState is what a trace tells of the connection of an attempt.
type connState struct{ open, reused bool }

// failureKind tells what a failed round trip leaves open. Without a connection no
// byte can have been sent. A connection that was used before may have been closed
// for being idle, so only the end of a fresh one counts as a crash.
func failureKind(err error, c connState) lagoonhead.Kind {
	if !c.open {
		return lagoonhead.KindUnavailable
	}
	if !c.reused && isClosed(err) {
		return lagoonhead.KindCrashed
	}
	return lagoonhead.KindUnknown
}

// refusal returns an error for an answer that says that the call did not run, and
// for those answers to idempotent calls that another endpoint may do better.
func refusal(res *http.Response, idempotent bool) error {
	if strings.EqualFold(res.Header.Get(HeaderRun), RunNo) {
		return fault("service.answer", lagoonhead.KindUnavailable, errors.Newf("endpoint refused with status %d: not run", res.StatusCode))
	}
	if !idempotent {
		return nil
	}
	switch res.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return fault("service.answer", lagoonhead.KindUnknown, errors.Newf("endpoint answered with status %d", res.StatusCode))
	}
	return nil
}

package service

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httppool"
)

// Limits are the limits of size and time for calls.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body; 0 means 1 MiB.
	MaxBodyBytes int64
	// MaxAnswerBytes is the maximum size of a response body; 0 means 8 MiB.
	MaxAnswerBytes int64
	// DialTimeout limits the time to connect; 0 means 2 s.
	DialTimeout time.Duration
	// HeaderTimeout limits the time from the request to the header of the response,
	// so that a call that can be retried does not spend its whole deadline on an
	// endpoint that does not respond; 0 means 10 s.
	HeaderTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultBodyBytes   = 1 << 20
	defaultAnswerBytes = 8 << 20
)

// Client calls plain services. Set its fields before the first call.
type Client struct {
	// Budget limits the retries of idempotent calls. It is shared with the other
	// components that retry. Nil means a budget of the client's own.
	Budget *Budget
	// Suspects is notified of endpoints that crashed during a call. It may be nil.
	Suspects lagoonhead.SuspectTracker
	Limits   Limits

	once sync.Once
	// pooled reuses connections; unpooled opens one for each call.
	pooled   *httppool.Transport
	unpooled *httppool.Transport
	vars     counters
}

type counters struct {
	calls, attempts, retries, budgetEmpty, notRun, unknown expvar.Int
}

var _ lagoonhead.ServiceCaller = (*Client)(nil)

// Vars returns the counters of the client. retryBudgetEmpty counts retries that were not
// made for lack of budget; notRun and unknown count failed attempts after which the call
// has not run, or may have run.
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
	setDefault(&l.MaxBodyBytes, defaultBodyBytes)
	setDefault(&l.MaxAnswerBytes, defaultAnswerBytes)
	setDefault(&l.DialTimeout, defaultDialTimeout)
	setDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	if c.Budget == nil {
		c.Budget = new(Budget)
	}
	c.pooled = newTransport(l.DialTimeout, l.HeaderTimeout, true)
	c.unpooled = newTransport(l.DialTimeout, l.HeaderTimeout, false)
}

func setDefault[T int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Call implements lagoonhead.ServiceCaller.
func (c *Client) Call(ctx context.Context, p lagoonhead.Placer, call lagoonhead.ServiceCall) (*lagoonhead.ServiceAnswer, error) {
	c.once.Do(c.setUp)
	c.vars.calls.Add(1)
	c.Budget.CountRequest()
	if int64(len(call.Body)) > c.Limits.MaxBodyBytes {
		return nil, fault("service.call", lagoonhead.KindInvalid, errors.Newf("body has more than %d bytes", c.Limits.MaxBodyBytes))
	}
	a := attempts{client: c, placer: p, call: call}
	return a.run(ctx)
}

// attempts is the state of one call across its attempts.
type attempts struct {
	client *Client
	placer lagoonhead.Placer
	call   lagoonhead.ServiceCall
	// avoid lists the endpoints of failed attempts.
	avoid []lagoonhead.EndpointID
	// mayHaveRun is true once an endpoint may have run an attempt.
	mayHaveRun bool
	count      int
}

// run makes attempts until one succeeds or the call may not be retried.
func (a *attempts) run(ctx context.Context) (*lagoonhead.ServiceAnswer, error) {
	var last error
	for {
		p, err := a.placer.Place(ctx, a.call.Request, a.avoid)
		if err != nil && last != nil {
			a.client.Budget.Refund()
			return nil, last
		}
		if err != nil {
			return nil, fault("service.place", lagoonhead.KindOf(err), err)
		}
		ans, err := a.attempt(ctx, p)
		if err == nil {
			return ans, nil
		}
		last = a.callError(err)
		if !a.mayRetry(ctx) {
			return nil, last
		}
		a.avoid = append(a.avoid, p.Endpoint().ID())
	}
}

// callError turns the error of an attempt into that of the call. KindUnavailable says
// that the call did not run, so it becomes KindUnknown if an earlier attempt may have
// run.
func (a *attempts) callError(err error) error {
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

// mayRetry reports whether another attempt may be made, and takes a retry from the
// budget if so.
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

// attempt makes one attempt. The placement ends when the attempt fails, otherwise
// when the body of the response is closed.
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
		if ctx.Err() != nil && k != lagoonhead.KindCrashed {
			// The caller disconnected or its deadline passed, which is no fault of the
			// endpoint.
			k = lagoonhead.KindStale
		}
		p.Done(lagoonhead.Outcome{Failed: true, Kind: k})
		return nil, err
	}
	p.FirstToken()
	return &lagoonhead.ServiceAnswer{
		Status:   res.StatusCode,
		Header:   pick(res.Header, returnedHeaders),
		Body:     &answerBody{body: res.Body, remaining: a.client.Limits.MaxAnswerBytes, placement: p},
		Endpoint: p.Endpoint().ID(),
		Attempts: a.count,
	}, nil
}

// roundTrip sends the request to an endpoint and returns its response, unless the response
// is a refusal or too large.
func (a *attempts) roundTrip(ctx context.Context, e lagoonhead.Endpoint) (*http.Response, error) {
	var x httppool.Exchange
	req, err := a.request(ctx, e)
	if err != nil {
		return nil, fault("service.request", lagoonhead.KindInvalid, err)
	}
	t := a.client.unpooled
	if a.call.Idempotent {
		t = a.client.pooled
	}
	res, err := t.Do(req, &x)
	if err != nil {
		return nil, fault("service.roundTrip", failureKind(err, &x), err)
	}
	if err := refusal(res, a.call.Idempotent); err != nil {
		_, _ = io.CopyN(io.Discard, res.Body, 4<<10)
		res.Body.Close()
		return nil, err
	}
	if res.ContentLength > a.client.Limits.MaxAnswerBytes {
		res.Body.Close()
		return nil, fault("service.answer", lagoonhead.KindInternal, errors.Newf("answer has %d bytes, more than the limit", res.ContentLength))
	}
	if err := readAhead(res); err != nil {
		return nil, fault("service.readAhead", lagoonhead.KindUnknown, err)
	}
	return res, nil
}

// readAheadBytes is the maximum size of a response body that is read whole before the
// caller gets the response.
const readAheadBytes = 32 << 10

// readAhead reads a short body of known length into memory, so that the call can
// still be retried or fail with an error if the body is cut off. Other bodies are
// streamed.
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
		req.Body = io.NopCloser(bytes.NewReader(a.call.Body))
		req.ContentLength = int64(len(a.call.Body))
	}
	return req, nil
}

// failureKind returns the kind of error for a failed round trip. Without a connection
// no byte can have been sent, so the call did not run. The endpoint may close a reused
// connection because it was idle, so its loss counts as a crash only if the endpoint has
// acknowledged the call.
func failureKind(err error, x *httppool.Exchange) lagoonhead.Kind {
	if !x.Connected() {
		return lagoonhead.KindUnavailable
	}
	if (!x.Reused() || x.Acknowledged()) && httppool.IsEnd(err) {
		return lagoonhead.KindCrashed
	}
	return lagoonhead.KindUnknown
}

// refusal returns an error for a response that says that the call did not run, and
// for a response to an idempotent call whose status (502, 503 or 504) suggests that
// another endpoint may succeed.
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

package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/relay"
)

// completion serves POST /v1/chat/completions.
func (x *exchange) completion() error {
	s := x.server
	s.vars.completions.Add(1)
	if err := x.beginWithKey(); err != nil {
		return err
	}
	raw, err := x.readBody()
	if err != nil {
		return err
	}
	body, err := parseCompletion(raw, s.Limits.DefaultMaxTokens, s.Limits.MostMaxTokens)
	if err != nil {
		return err
	}
	if err := x.knownModel(body.model); err != nil {
		return err
	}
	if body.stream {
		s.vars.streams.Add(1)
	}
	if sealed := x.r.Header.Values(headerLastEvent); len(sealed) > 0 {
		return x.resume(body, sealed)
	}
	req, err := x.newRequest(body.model)
	if err != nil {
		return err
	}
	req.SetTokens(estimateTokens(len(raw)), body.maxTokens)
	req.SetFingerprint(xxhash.Sum64(raw))
	req.SetBlocks(PromptBlocks(body.model, body.rendered))
	c := newCompletionRun(x, req, body)
	defer c.deadline.close()
	defer c.release()
	s.Budget.Earn()
	return c.all()
}

// completionRun is one completion over its attempts.
type completionRun struct {
	x        *exchange
	request  *lagoonhead.Request
	body     []byte
	stream   bool
	usage    bool
	ctx      context.Context
	deadline *deadline
	avoid    []lagoonhead.EndpointID
	// placement is that of the newest attempt, or nil.
	placement lagoonhead.Placement
	// reservation is nil when the next attempt needs a new one.
	reservation lagoonhead.Reservation
	// admitted is when the reservation was made.
	admitted time.Duration
	// mayHaveRun is true once an attempt may have reached an engine.
	mayHaveRun bool
	attempts   int
	// accounted is true once the answer was whole and its usage recorded.
	accounted bool
}

func newCompletionRun(x *exchange, req *lagoonhead.Request, body *completionBody) *completionRun {
	c := &completionRun{x: x, request: req, body: body.forEngine(), stream: body.stream, usage: body.showUsage}
	c.ctx, c.deadline = x.within(x.r.Context(), req)
	return c
}

// within returns a context that ends at the deadline of the request.
func (x *exchange) within(ctx context.Context, r *lagoonhead.Request) (context.Context, *deadline) {
	t := x.server.Timer
	return newDeadline(ctx, t, r.Deadline()-t.Now())
}

// all makes attempts until one has begun to answer or may not be repeated.
func (c *completionRun) all() error {
	var last error
	for {
		p, err := c.place()
		if err != nil {
			c.settle(0)
			if last != nil {
				c.x.server.Budget.Return()
			}
			// The failure of an attempt says more than the lack of another endpoint.
			// A refusal for the request itself counts all the same.
			if last != nil && !lagoonhead.IsKind(err, lagoonhead.KindForbidden) {
				return last
			}
			return err
		}
		events, err := c.start(p)
		if err == nil {
			return c.deliver(p, events)
		}
		last = deadlineError(c.ctx, err)
		c.attemptFailed(p, last)
		if c.mayHaveRun && lagoonhead.IsKind(last, lagoonhead.KindUnavailable) {
			last = fault("caller.retry", lagoonhead.KindUnknown, last)
		}
		if !c.mayRetry(last) {
			c.settle(0)
			return last
		}
		c.avoid = append(c.avoid, p.Endpoint().ID())
	}
}

// place checks for suspicion, reserves the tokens and chooses an endpoint.
func (c *completionRun) place() (lagoonhead.Placement, error) {
	s := c.x.server
	if _, err := s.Suspects.Check(c.request.Fingerprint()); err != nil {
		s.vars.suspectsRefused.Add(1)
		return nil, fault("caller.suspect", lagoonhead.KindOf(err), err)
	}
	if c.reservation == nil {
		if err := c.admit(); err != nil {
			return nil, err
		}
	}
	avoid := append(s.Suspects.Avoid(c.request.Fingerprint()), c.avoid...)
	p, err := guardedPlacer{c.x}.Place(c.ctx, c.request, avoid)
	if err != nil {
		return nil, err
	}
	if err := c.renew(); err != nil {
		p.Done(neutral)
		if !c.mayHaveRun {
			c.x.run = runNo
		}
		return nil, err
	}
	return p, nil
}

// maxAdmissionAge is how long tokens may be reserved before the request is sent. A
// request that may wait can stand in the queue for hours; many of them sent at once
// on tokens of different times would exceed the rate and burst of that moment.
const maxAdmissionAge = 10 * time.Millisecond

// admit reserves the tokens of the request.
func (c *completionRun) admit() error {
	s := c.x.server
	r, err := s.Admitter.Admit(c.ctx, c.request)
	if err != nil {
		return fault("caller.admit", lagoonhead.KindOf(deadlineError(c.ctx, err)), err)
	}
	c.reservation = r
	c.admitted = s.Timer.Now()
	c.x.note("admitted after %s", c.admitted-c.request.Arrived())
	return nil
}

// renew reserves the tokens anew when the request has waited for its endpoint, and
// checks once more what may have changed while it waited for tokens.
func (c *completionRun) renew() error {
	if c.x.server.Timer.Now()-c.admitted <= maxAdmissionAge {
		return nil
	}
	c.settle(0)
	if err := c.admit(); err != nil {
		return err
	}
	return c.x.stillAllowed()
}

// release ends what a panic has left open. Nothing is left otherwise.
func (c *completionRun) release() {
	c.settle(c.request.Charge())
	if c.placement != nil {
		c.placement.Done(neutral)
	}
}

// settle ends the reservation if there is one.
func (c *completionRun) settle(used int64) {
	if c.reservation != nil {
		c.reservation.Settle(used)
		c.reservation = nil
	}
}

// start opens the answer of an engine and waits for its first event.
func (c *completionRun) start(p lagoonhead.Placement) (lagoonhead.EventStream, error) {
	c.attempts++
	c.placement = p
	if c.attempts > 1 {
		c.x.server.vars.retries.Add(1)
	}
	ctx, span := c.x.server.Tracer.Start(c.ctx, "caller.attempt", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(attribute.String("lagoonhead.endpoint", string(p.Endpoint().ID())))
	defer span.End()
	events, err := c.firstEvent(ctx, p.Endpoint())
	if err == nil && !c.deadline.disarm() {
		events.Close()
		err = fault("caller.start", lagoonhead.KindTimeout, errDeadline)
	}
	if err != nil {
		span.SetStatus(codes.Error, lagoonhead.KindOf(err).String())
		return nil, err
	}
	return events, nil
}

func (c *completionRun) firstEvent(ctx context.Context, e lagoonhead.Endpoint) (lagoonhead.EventStream, error) {
	events, err := c.open(ctx, e, -1)
	if err != nil {
		return nil, fault("caller.stream", lagoonhead.KindOf(err), err)
	}
	first, err := events.Next()
	if err == nil {
		return &peeked{EventStream: events, first: first, pending: true}, nil
	}
	events.Close()
	k := lagoonhead.KindOf(err)
	if k == lagoonhead.KindUnavailable || errors.Is(err, io.EOF) {
		// The engine has taken the request, so nobody can say that it did not run.
		k = lagoonhead.KindUnknown
	}
	return nil, fault("caller.firstEvent", k, err)
}

// open asks the engine for the answer behind an offset. The stream lives as long
// as the request, past the end of ctx's span.
func (c *completionRun) open(ctx context.Context, e lagoonhead.Endpoint, after int64) (lagoonhead.EventStream, error) {
	h := make(http.Header)
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
	h.Set(headerPriority, c.request.Priority().String())
	return c.x.server.Engines.Stream(ctx, e, lagoonhead.Completion{
		Request: c.request, Body: c.body, Header: h, ResumeOffset: after,
	})
}

// attemptFailed ends an attempt that has given the caller nothing.
func (c *completionRun) attemptFailed(p lagoonhead.Placement, err error) {
	k := lagoonhead.KindOf(err)
	c.x.note("attempt %d on %s: %s", c.attempts, p.Endpoint().ID(), k)
	c.crashed(p, k)
	p.Done(c.outcome(k))
	if k == lagoonhead.KindUnavailable {
		if !c.mayHaveRun {
			c.x.run = runNo
		}
		return
	}
	c.mayHaveRun = true
	// How far the engine got is not known, so the whole charge counts as used.
	c.settle(c.request.Charge())
	if k != lagoonhead.KindCrashed {
		c.cancel(p.Endpoint())
	}
}

// outcome returns how a failed attempt counts for its endpoint.
func (c *completionRun) outcome(k lagoonhead.Kind) lagoonhead.Outcome {
	if c.ctx.Err() != nil && k != lagoonhead.KindCrashed {
		return neutral
	}
	return lagoonhead.Outcome{Failed: true, Kind: k}
}

func (c *completionRun) crashed(p lagoonhead.Placement, k lagoonhead.Kind) {
	if k == lagoonhead.KindCrashed {
		c.x.server.vars.crashes.Add(1)
		c.x.server.Suspects.Crashed(c.request.Fingerprint(), p.Endpoint().ID())
	}
}

// mayRetry reports whether another attempt is safe and paid for.
func (c *completionRun) mayRetry(err error) bool {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindUnavailable, lagoonhead.KindUnknown, lagoonhead.KindTimeout,
		lagoonhead.KindCrashed, lagoonhead.KindExhausted:
	default:
		return false
	}
	if c.ctx.Err() != nil {
		return false
	}
	s := c.x.server
	if !s.Budget.Take() {
		s.vars.budgetEmpty.Add(1)
		c.x.note("retry budget is empty")
		return false
	}
	return true
}

// cancel tells the engine to stop, without making the caller wait.
func (c *completionRun) cancel(e lagoonhead.Endpoint) {
	s := c.x.server
	ctx, d := newDeadline(c.x.detached(), s.Timer, s.Limits.CancelTimeout)
	go func() {
		defer d.close()
		if err := s.Engines.Cancel(ctx, e, c.request.ID()); err != nil {
			s.Log.Debug("engine did not confirm a cancel", zap.String("endpoint", string(e.ID())), zap.Error(err))
		}
	}()
}

// deliver carries the answer to the caller and accounts for it. Usage is recorded
// before the end of the answer goes out.
func (c *completionRun) deliver(p lagoonhead.Placement, events lagoonhead.EventStream) error {
	p.FirstToken()
	x := c.x
	x.run = runYes
	x.note("first token after %s", x.server.Timer.Now()-c.request.Arrived())
	x.w.Header().Set(headerRun, string(runYes))
	j := c.job(p.Endpoint(), events, -1)
	j.BeforeEnd = func(r relay.Result) { c.finished(p, r) }
	var joined []byte
	var res relay.Result
	var err error
	if c.stream {
		x.streaming = true
		res, err = x.server.Relay.Stream(c.ctx, x.w, j)
	} else {
		joined, res, err = x.server.Relay.Collect(c.ctx, j)
	}
	if !c.accounted {
		c.broken(p, res, err)
	}
	if err != nil {
		return fault("caller.deliver", deliveryKind(err), err)
	}
	if !c.stream {
		writeJoined(x.w, joined)
	}
	x.decide("completed", "attempts %d, output %d tokens", c.attempts, res.OutputTokens)
	return nil
}

// deliveryKind returns the kind of a failure behind the first token. Nothing that
// says "not run" or "try again" is right there.
func deliveryKind(err error) lagoonhead.Kind {
	if k := lagoonhead.KindOf(err); k == lagoonhead.KindCrashed {
		return k
	}
	return lagoonhead.KindUnknown
}

func writeJoined(w http.ResponseWriter, b []byte) {
	w.Header().Set(contentType, mediaJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(b) // a caller that has left needs no answer
}

// job describes the open answer of an engine to the relay. A break is mended on the
// same engine only, which holds the rest of the answer.
func (c *completionRun) job(e lagoonhead.Endpoint, events lagoonhead.EventStream, after int64) relay.Job {
	return relay.Job{
		Request: c.request, Endpoint: e.ID(), Stream: events, After: after, IncludeUsage: c.usage,
		Resume: func(ctx context.Context, after int64) (lagoonhead.EventStream, lagoonhead.EndpointID, error) {
			v, err := c.open(ctx, e, after)
			return v, e.ID(), err
		},
	}
}

// finished settles the reservation, records the usage and ends the placement of an
// answer that is whole.
func (c *completionRun) finished(p lagoonhead.Placement, res relay.Result) {
	prompt := c.promptTokens(res)
	c.accounted = true
	c.settle(prompt + int64(res.OutputTokens))
	c.x.server.Suspects.Finished(c.request.Fingerprint())
	p.Done(lagoonhead.Outcome{OutputTokens: res.OutputTokens})
	c.record(lagoonhead.WorkspaceUsage{PromptTokens: prompt, OutputTokens: int64(res.OutputTokens), Requests: 1})
}

// promptTokens returns the engine's own count, or the estimate without one.
func (c *completionRun) promptTokens(res relay.Result) int64 {
	if res.UsageKnown {
		return int64(res.PromptTokens)
	}
	c.x.server.vars.usageEstimated.Add(1)
	return int64(c.request.PromptTokens())
}

// broken ends an answer that broke off. A stream may be resumed with a token
// through any VM, so only other answers are cancelled. The engine may run on in
// both cases, so the whole charge counts as used.
func (c *completionRun) broken(p lagoonhead.Placement, res relay.Result, err error) {
	c.settle(c.request.Charge())
	k := lagoonhead.KindOf(err)
	c.crashed(p, k)
	p.Done(c.outcome(k))
	if c.stream {
		c.record(lagoonhead.WorkspaceUsage{PromptTokens: c.promptTokens(res), OutputTokens: int64(res.OutputTokens), Requests: 1})
		return
	}
	if k != lagoonhead.KindCrashed {
		c.cancel(p.Endpoint())
	}
}

func (c *completionRun) record(u lagoonhead.WorkspaceUsage) {
	s := c.x.server
	s.vars.promptTokens.Add(u.PromptTokens)
	s.vars.outputTokens.Add(u.OutputTokens)
	u.Workspace = c.request.Workspace()
	s.Usage.Record(c.x.detached(), u)
}

// peeked is a stream whose first event was read ahead.
type peeked struct {
	lagoonhead.EventStream
	first   lagoonhead.StreamEvent
	pending bool
}

// Next returns the first event again, then the others.
func (p *peeked) Next() (lagoonhead.StreamEvent, error) {
	if p.pending {
		p.pending = false
		return p.first, nil
	}
	return p.EventStream.Next()
}

// Ready reports whether the next event is there without waiting, if the stream can
// tell. A relay then flushes several events at once.
func (p *peeked) Ready() bool {
	r, ok := p.EventStream.(interface{ Ready() bool })
	return ok && !p.pending && r.Ready()
}

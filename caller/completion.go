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

// completionCopies is the number of copies of the body of a completion: the rendered prompt, and the body
// for the engine.
const completionCopies = 2

// completion serves POST /v1/chat/completions.
func (x *exchange) completion() error {
	s := x.server
	s.vars.completions.Add(1)
	if err := x.loadAndAuthenticate(); err != nil {
		return err
	}
	raw, err := x.readBody(completionCopies)
	if err != nil {
		return err
	}
	body, err := parseCompletion(raw, s.Limits.DefaultOutputTokens, s.Limits.MaxOutputTokens)
	if err != nil {
		return err
	}
	if err := x.knownModel(body.model); err != nil {
		return err
	}
	if body.stream {
		s.vars.streams.Add(1)
	}
	if sealed := x.httpRequest.Header.Values(headerLastEvent); len(sealed) > 0 {
		return x.resume(body, sealed)
	}
	req, err := x.newRequest(body.model)
	if err != nil {
		return err
	}
	req.SetTokens(estimateTokens(len(raw)), body.maxTokens)
	req.SetFingerprint(xxhash.Sum64(raw))
	req.SetBlocks(PromptBlocks(body.model, body.renderedPrompt))
	c := newCompletionRun(x, req, body)
	defer c.deadline.close()
	defer c.cleanUp()
	s.Budget.CountRequest()
	return c.runAttempts()
}

// completionRun runs one completion with all its attempts.
type completionRun struct {
	exchange     *exchange
	request      *lagoonhead.Request
	body         []byte
	stream       bool
	includeUsage bool
	ctx          context.Context
	deadline     *deadline
	avoid        []lagoonhead.EndpointID // endpoints of failed attempts
	// placement is that of the latest attempt, or nil.
	placement lagoonhead.Placement
	// reservation is nil when the next attempt needs a new one.
	reservation lagoonhead.Reservation
	// admittedAt is the time, since boot, at which the reservation was made.
	admittedAt time.Duration
	// mayHaveRun is true once a failed attempt may have reached an engine.
	mayHaveRun bool
	attempts   int
	// blocks are the identifiers of the blocks of the prompt, which other prompts may share.
	blocks []string
	// usageRecorded is true once the usage was recorded, which happens right before the
	// end of a complete response is sent.
	usageRecorded bool
}

func newCompletionRun(x *exchange, req *lagoonhead.Request, body *completionBody) *completionRun {
	c := &completionRun{exchange: x, request: req, body: body.engineBody(), stream: body.stream, includeUsage: body.includeUsage}
	for _, h := range req.Blocks() {
		c.blocks = append(c.blocks, strconv.FormatUint(h, 16))
	}
	c.ctx, c.deadline = x.withDeadline(x.httpRequest.Context(), req)
	return c
}

// withDeadline returns a context that is cancelled at the deadline of the request.
func (x *exchange) withDeadline(ctx context.Context, r *lagoonhead.Request) (context.Context, *deadline) {
	t := x.server.Timer
	return newDeadline(ctx, t, r.Deadline()-t.Now())
}

// runAttempts makes attempts until one has produced its first token, or has failed and
// may not be retried.
func (c *completionRun) runAttempts() error {
	var last error
	for {
		p, err := c.place()
		if err != nil {
			c.settle(0)
			if last != nil {
				c.exchange.server.Budget.Refund()
			}
			// The failure of the last attempt is more informative than the lack of
			// another endpoint. KindForbidden is about the request itself and takes
			// precedence.
			if last != nil && !lagoonhead.IsKind(err, lagoonhead.KindForbidden) {
				return last
			}
			return err
		}
		events, err := c.startAttempt(p)
		if err == nil {
			return c.deliver(p, events)
		}
		last = deadlineError(c.ctx, err)
		c.endFailedAttempt(p, last)
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

// place refuses a request that has crashed two endpoints, or whose prompt has a block that
// crashes engines, reserves the tokens and chooses an endpoint.
func (c *completionRun) place() (lagoonhead.Placement, error) {
	s := c.exchange.server
	_, err := s.Suspects.Check(c.request.Fingerprint())
	if err == nil {
		err = s.Parts.Check(c.request.ID(), c.blocks)
	}
	if err != nil {
		s.vars.suspectsRefused.Add(1)
		return nil, fault("caller.suspect", lagoonhead.KindOf(err), err)
	}
	if c.reservation == nil {
		if err := c.admit(); err != nil {
			return nil, err
		}
	}
	avoid := append(s.Suspects.Avoid(c.request.Fingerprint()), c.avoid...)
	p, err := guardedPlacer{c.exchange}.Place(c.ctx, c.request, avoid)
	if err != nil {
		return nil, err
	}
	if err := c.renew(); err != nil {
		p.Done(neutralOutcome)
		if !c.mayHaveRun {
			c.exchange.runState = runNo
		}
		return nil, err
	}
	return p, nil
}

// maxAdmissionAge is the maximum time between the reservation of the tokens of a request
// and the attempt that sends it. A deferrable request can wait for an endpoint for hours.
// Many such requests, sent at once with tokens that were reserved at different times,
// would exceed the rate and burst of the workspace.
const maxAdmissionAge = 10 * time.Millisecond

// admit reserves the tokens of the request.
func (c *completionRun) admit() error {
	s := c.exchange.server
	r, err := s.Admitter.Admit(c.ctx, c.request)
	if err != nil {
		return fault("caller.admit", lagoonhead.KindOf(deadlineError(c.ctx, err)), err)
	}
	c.reservation = r
	c.admittedAt = s.Timer.Now()
	c.exchange.note("admitted after %s", c.admittedAt-c.request.Arrived())
	return nil
}

// renew reserves the tokens again when the reservation is older than maxAdmissionAge. It
// then calls recheck, because the request may have waited for the tokens.
func (c *completionRun) renew() error {
	if c.exchange.server.Timer.Now()-c.admittedAt <= maxAdmissionAge {
		return nil
	}
	c.settle(0)
	if err := c.admit(); err != nil {
		return err
	}
	return c.exchange.recheck()
}

// cleanUp ends a reservation and a placement that a panic has left open. Without a
// panic both have ended before.
func (c *completionRun) cleanUp() {
	c.settle(c.request.Charge())
	if c.placement != nil {
		c.placement.Done(neutralOutcome)
	}
}

// settle ends the reservation, if there is one, with the number of tokens used.
func (c *completionRun) settle(used int64) {
	if c.reservation != nil {
		c.reservation.Settle(used)
		c.reservation = nil
	}
}

// startAttempt sends the request to the engine of the placement and waits for the
// first event of the response. The deadline no longer applies after that.
func (c *completionRun) startAttempt(p lagoonhead.Placement) (lagoonhead.EventStream, error) {
	c.attempts++
	c.placement = p
	if c.attempts > 1 {
		c.exchange.server.vars.retries.Add(1)
	}
	ctx, span := c.exchange.server.Tracer.Start(c.ctx, "caller.attempt", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(attribute.String("lagoonhead.endpoint", string(p.Endpoint().ID())))
	defer span.End()
	events, err := c.awaitFirstEvent(ctx, p.Endpoint())
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

func (c *completionRun) awaitFirstEvent(ctx context.Context, e lagoonhead.Endpoint) (lagoonhead.EventStream, error) {
	events, err := c.openStream(ctx, e, -1)
	if err != nil {
		return nil, fault("caller.stream", lagoonhead.KindOf(err), err)
	}
	first, err := events.Next()
	if err == nil {
		return &peekedStream{EventStream: events, first: first, pending: true}, nil
	}
	events.Close()
	k := lagoonhead.KindOf(err)
	if k == lagoonhead.KindUnavailable || errors.Is(err, io.EOF) {
		// The engine has accepted the request, so it may have run.
		k = lagoonhead.KindUnknown
	}
	return nil, fault("caller.firstEvent", k, err)
}

// openStream asks the engine for the events after an offset; -1 asks for all of them.
// The stream outlives the span of ctx and ends with the request.
func (c *completionRun) openStream(ctx context.Context, e lagoonhead.Endpoint, after int64) (lagoonhead.EventStream, error) {
	h := make(http.Header)
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
	h.Set(headerPriority, c.request.Priority().String())
	return c.exchange.server.Engines.Stream(ctx, e, lagoonhead.Completion{
		Request: c.request, Body: c.body, Header: h, ResumeOffset: after,
	})
}

// endFailedAttempt settles and reports an attempt that failed before its first token.
func (c *completionRun) endFailedAttempt(p lagoonhead.Placement, err error) {
	k := lagoonhead.KindOf(err)
	c.exchange.note("attempt %d on %s: %s", c.attempts, p.Endpoint().ID(), k)
	c.reportCrash(p, k)
	p.Done(c.outcome(k))
	if k == lagoonhead.KindUnavailable {
		if !c.mayHaveRun {
			c.exchange.runState = runNo
		}
		return
	}
	c.mayHaveRun = true
	// How much the engine has processed is not known, so the whole charge counts as
	// used.
	c.settle(c.request.Charge())
	if k != lagoonhead.KindCrashed {
		c.cancel(p.Endpoint())
	}
}

// outcome returns the outcome of a failed attempt that is reported to the router. A
// failure after the end of the request's context doesn't count against the endpoint,
// unless the endpoint crashed.
func (c *completionRun) outcome(k lagoonhead.Kind) lagoonhead.Outcome {
	if c.ctx.Err() != nil && k != lagoonhead.KindCrashed {
		return neutralOutcome
	}
	return lagoonhead.Outcome{Failed: true, Kind: k}
}

func (c *completionRun) reportCrash(p lagoonhead.Placement, k lagoonhead.Kind) {
	if k == lagoonhead.KindCrashed {
		c.exchange.server.vars.crashes.Add(1)
		// Before Suspects, which sends both to the peers at once.
		c.exchange.server.Parts.Crashed(c.blocks, p.Endpoint())
		c.exchange.server.Suspects.Crashed(c.request.Fingerprint(), p.Endpoint().ID())
	}
}

// mayRetry reports whether another attempt is safe, and takes it from the retry budget.
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
	s := c.exchange.server
	if !s.Budget.Take() {
		s.vars.budgetEmpty.Add(1)
		c.exchange.note("retry budget is empty")
		return false
	}
	return true
}

// cancel tells the engine to stop the request. It doesn't wait for the reply.
func (c *completionRun) cancel(e lagoonhead.Endpoint) {
	s := c.exchange.server
	ctx, d := newDeadline(c.exchange.detached(), s.Timer, s.Limits.CancelTimeout)
	go func() {
		defer d.close()
		if err := s.Engines.Cancel(ctx, e, c.request.ID()); err != nil {
			s.Log.Debug("engine did not confirm a cancellation", zap.String("endpoint", string(e.ID())), zap.Error(err))
		}
	}()
}

// deliver relays the response to the caller and settles the reservation. The usage is
// recorded before the end of the response is sent.
func (c *completionRun) deliver(p lagoonhead.Placement, events lagoonhead.EventStream) error {
	p.FirstToken()
	x := c.exchange
	x.runState = runYes
	x.note("first token after %s", x.server.Timer.Now()-c.request.Arrived())
	x.writer.Header().Set(headerRun, string(runYes))
	t := c.transfer(p.Endpoint(), events, -1)
	t.BeforeEnd = func(r relay.Result) { c.finishComplete(p, r) }
	var joined []byte
	var res relay.Result
	var err error
	if c.stream {
		x.streaming = true
		res, err = x.server.Relay.Stream(c.ctx, x.writer, t)
	} else {
		joined, res, err = x.server.Relay.Collect(c.ctx, t)
	}
	if !c.usageRecorded {
		c.finishIncomplete(p, res, err)
	}
	if err != nil {
		return fault("caller.deliver", deliveryKind(err), err)
	}
	if !c.stream {
		writeJoined(x.writer, joined)
	}
	x.recordDecision("completed", "attempts %d, output %d tokens", c.attempts, res.OutputTokens)
	return nil
}

// deliveryKind returns the kind of a failure after the first token: KindCrashed or
// KindUnknown. Other kinds could say that the request has not run or may be retried.
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
	_, _ = w.Write(b) // the caller may have disconnected
}

// transfer describes the open response of an engine to the relay. A broken stream is resumed
// on the same engine only, because no other one has the rest of the response.
func (c *completionRun) transfer(e lagoonhead.Endpoint, events lagoonhead.EventStream, after int64) relay.Transfer {
	return relay.Transfer{
		Request: c.request, Endpoint: e.ID(), Software: e.Software(), Stream: events, AfterOffset: after, IncludeUsage: c.includeUsage,
		Resume: func(ctx context.Context, after int64) (lagoonhead.EventStream, lagoonhead.EndpointID, error) {
			v, err := c.openStream(ctx, e, after)
			return v, e.ID(), err
		},
	}
}

// finishComplete settles the reservation, ends the placement and records the usage of a
// complete response.
func (c *completionRun) finishComplete(p lagoonhead.Placement, res relay.Result) {
	prompt := c.promptTokens(res)
	c.usageRecorded = true
	c.settle(prompt + int64(res.OutputTokens))
	c.exchange.server.Suspects.Finished(c.request.Fingerprint())
	c.exchange.server.Parts.Finished(c.blocks)
	p.Done(lagoonhead.Outcome{OutputTokens: res.OutputTokens})
	c.record(lagoonhead.WorkspaceUsage{PromptTokens: prompt, OutputTokens: int64(res.OutputTokens), Requests: 1})
}

// promptTokens returns the number of prompt tokens that the engine has reported, or the
// estimate when it has reported none.
func (c *completionRun) promptTokens(res relay.Result) int64 {
	if res.UsageKnown {
		return int64(res.PromptTokens)
	}
	c.exchange.server.vars.usageEstimated.Add(1)
	return int64(c.request.PromptTokens())
}

// finishIncomplete ends a response that broke off. A streamed request is not cancelled on
// the engine, because the caller may resume it with its token through any VM. The engine
// may go on with or without a cancellation, so the whole charge counts as used.
func (c *completionRun) finishIncomplete(p lagoonhead.Placement, res relay.Result, err error) {
	c.settle(c.request.Charge())
	k := lagoonhead.KindOf(err)
	c.reportCrash(p, k)
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
	s := c.exchange.server
	s.vars.promptTokens.Add(u.PromptTokens)
	s.vars.outputTokens.Add(u.OutputTokens)
	u.Workspace = c.request.Workspace()
	s.Usage.Record(c.exchange.detached(), u)
}

// peekedStream is a stream whose first event has been read in advance.
type peekedStream struct {
	lagoonhead.EventStream
	first   lagoonhead.StreamEvent
	pending bool // first has not been returned yet
}

// Next returns the event read in advance, then the others.
func (p *peekedStream) Next() (lagoonhead.StreamEvent, error) {
	if p.pending {
		p.pending = false
		return p.first, nil
	}
	return p.EventStream.Next()
}

// Ready reports whether the stream has an event that Next returns without blocking, so
// that the relay can flush several events at once. It returns false while first is
// pending and when the stream cannot tell.
func (p *peekedStream) Ready() bool {
	r, ok := p.EventStream.(interface{ Ready() bool })
	return ok && !p.pending && r.Ready()
}

package dispatch

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/metrics"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
	"github.com/lagoonhead/lagoonhead/triage"
)

// Call is a request of a caller.
type Call struct {
	ID     lagoonhead.RequestID
	Method string
	Host   string
	URL    *url.URL
	// Header holds the header fields that may be forwarded to an endpoint.
	Header http.Header
	Body   []byte
	// Key is the API key of the caller, or empty.
	Key string
	// Timeout is the timeout that the caller set; 0 means that it set none.
	Timeout time.Duration
	// HasPrompt reports whether the caller described the prompt, so that Prompt is set.
	HasPrompt bool
	Prompt    steer.Prompt
	// LastEventID is the ID of the last event that the caller has received, or empty.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that the
	// caller takes up behind LastEventID, or empty.
	Resumes lagoonhead.RequestID
}

// Sink receives the answer. Start is called at most once, before the other methods.
type Sink interface {
	Start(status int, header http.Header)
	Write(p []byte) error
	// Flush sends the bytes that were written.
	Flush() error
	// Interrupt ends a write in progress and makes later ones fail. It may be called at any time.
	Interrupt()
}

// Catalogs provides the current configuration.
type Catalogs interface {
	// Catalog returns the newest configuration, or nil before the first.
	Catalog() *catalog.Catalog
}

// UsageCounter counts the requests of a workspace that endpoints began to run.
type UsageCounter interface {
	CountRequest(w lagoonhead.WorkspaceID)
}

// RetryBudget is the retry budget by service: it limits the sends beyond the first of each
// request.
type RetryBudget interface {
	// CountRequest adds the share of one new request to the budget.
	CountRequest(service string)
	// Take takes one send from the budget and reports whether the budget allowed it.
	Take(service string) bool
}

// Dispatcher serves calls. The exported fields must be set before the first one.
type Dispatcher struct {
	Catalogs    Catalogs
	Admitter    lagoonhead.Admitter
	Suspects    lagoonhead.SuspectTracker
	Parts       lagoonhead.PartTracker
	Departures  lagoonhead.DepartureTracker
	Sender      lagoonhead.Sender
	Usage       UsageCounter
	RetryBudget RetryBudget
	// Versions may be nil. Then a stream is taken up only at a service of which this daemon has
	// seen one software version.
	Versions lagoonhead.StreamVersions
	Timer    timer.Timer
	Log      *zap.Logger
	// View returns how current the registrations of endpoints are. It may be nil.
	View func() mirror.View
	// Domain is the failure domain of this daemon.
	Domain lagoonhead.FailureDomain
	// Answers bounds the memory of answers that are buffered. It may be nil, which means
	// maxBufferedBytes.
	Answers *bodybudget.Budget

	mu    sync.Mutex
	board steer.Board
	once  sync.Once
	judge triage.Judge
	// inProgressMu guards inProgress, which holds the requests that are being served with the
	// functions that end them.
	inProgressMu sync.Mutex
	inProgress   map[*request]context.CancelCauseFunc
	vars         counters
	// buffered is the number of bytes of the events that are being buffered.
	buffered atomic.Int64
}

type counters struct {
	all                                              expvar.Map
	calls, served, refused, failed, abandoned        expvar.Int
	sends, retries, prefills, resumes, unusedHandles expvar.Int
	// takeUps counts the requests that take a stream up, takeUpsUnknown those for which the software
	// version of the stream was not known, and takeUpsRefused all that were refused.
	takeUps, takeUpsUnknown, takeUpsRefused expvar.Int
	// departures counts the endpoints that first said to this daemon that they leave.
	departures expvar.Int
	// extraResponses counts the responses that endpoints sent once more for earlier requests.
	extraResponses expvar.Int
	// silencesMoved counts the attempts that were given up because their endpoint was silent for
	// too long and another one had accepted the request, and silencesWaited those that went on because
	// the request could not move. movesFailed counts the moves that no other endpoint accepted, and
	// movesWithdrawn those that ended because the silent endpoint went on.
	silencesMoved, silencesWaited, movesFailed, movesWithdrawn expvar.Int
	// outsideRegions counts the refusals of requests that have no endpoint in their allowed regions.
	outsideRegions expvar.Int
	// overloaded counts the prompts that were judged while their service was overloaded or that
	// yielded before, by place, and overloadedRefused those of them that were refused.
	overloaded, overloadedRefused expvar.Map
	// firstEventLatency is the time from arrival to the first event of a stream,
	// answerLatency the time from arrival to the end of a served answer.
	firstEventLatency, answerLatency *metrics.Latency
	// notServed counts the calls that were not served, by error kind.
	notServed expvar.Map
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.board.Domain = d.Domain
		d.inProgress = make(map[*request]context.CancelCauseFunc)
		if d.Log == nil {
			d.Log = zap.NewNop()
		}
		if d.Answers == nil {
			d.Answers = bodybudget.NewForAnswers(maxBufferedBytes, d.Timer, d.Log)
		}
		c := &d.vars
		c.all.Init()
		for name, v := range map[string]*expvar.Int{
			"calls": &c.calls, "served": &c.served, "refused": &c.refused, "failed": &c.failed,
			"abandoned": &c.abandoned, "sends": &c.sends, "repeats": &c.retries, "prefills": &c.prefills,
			"resumes": &c.resumes, "handlesNotTaken": &c.unusedHandles, "endpointsLeaving": &c.departures,
			"extraResponses": &c.extraResponses,
			"takeUps":        &c.takeUps, "takeUpsUnknown": &c.takeUpsUnknown, "takeUpsRefused": &c.takeUpsRefused,
			"outsideRegions": &c.outsideRegions, "silencesMoved": &c.silencesMoved, "silencesWaited": &c.silencesWaited,
			"movesFailed": &c.movesFailed, "movesWithdrawn": &c.movesWithdrawn,
		} {
			c.all.Set(name, v)
		}
		c.firstEventLatency, c.answerLatency = metrics.NewLatency(), metrics.NewLatency()
		c.all.Set("firstEventSeconds", c.firstEventLatency)
		c.all.Set("wholeSeconds", c.answerLatency)
		c.all.Set("notServed", &c.notServed)
		c.all.Set("overloaded", &c.overloaded)
		c.all.Set("overloadedRefused", &c.overloadedRefused)
	})
}

// Vars returns the counters.
func (d *Dispatcher) Vars() *expvar.Map {
	d.init()
	return &d.vars.all
}

// WithBoard calls f with exclusive access to the board of endpoints.
func (d *Dispatcher) WithBoard(f func(b *steer.Board)) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.board)
}

// Stop ends the calls in progress. Those without a beginning of an answer get an error.
func (d *Dispatcher) Stop() {
	d.init()
	d.inProgressMu.Lock()
	defer d.inProgressMu.Unlock()
	for _, abort := range d.inProgress {
		abort(errStopping)
	}
}

// track adds a request to those that Stop ends, and returns a function that removes it.
func (d *Dispatcher) track(r *request, abort context.CancelCauseFunc) (end func()) {
	d.inProgressMu.Lock()
	defer d.inProgressMu.Unlock()
	d.inProgress[r] = abort
	return func() {
		d.inProgressMu.Lock()
		defer d.inProgressMu.Unlock()
		delete(d.inProgress, r)
	}
}

// Serve answers a call. An error means that the sink did not get a whole answer; its kind
// says why, and NotRun says whether the request may have run. ctx must be canceled when the
// caller leaves.
func (d *Dispatcher) Serve(ctx context.Context, c *Call, s Sink) error {
	d.init()
	d.vars.calls.Add(1)
	r, err := d.newRequest(c, s)
	if err == nil {
		err = r.serve(ctx)
	}
	d.recordOutcome(ctx, r, c, err)
	return err
}

// newRequest looks up the route and the workspace of the call.
func (d *Dispatcher) newRequest(c *Call, s Sink) (*request, error) {
	cat, rt, w, err := d.lookUp(c)
	if err != nil {
		return nil, err
	}
	return d.requestOf(c, s, cat, rt, w), nil
}

// requestOf describes a call on a route. w is nil if the route needs no key.
func (d *Dispatcher) requestOf(c *Call, s Sink, cat *catalog.Catalog, rt *catalog.Route, w *catalog.Workspace) *request {
	r := &request{Dispatcher: d, call: c, sink: s, route: rt, workspace: w, configVersion: cat.Version(), arrived: d.Timer.Now(), parts: c.Prompt.SharedParts()}
	r.urgency, r.regions = rt.Urgency, rt.Regions
	if r.workspace != nil {
		r.regions = r.regions.Intersect(r.workspace.Regions)
	}
	if r.workspace != nil && r.workspace.HasUrgency {
		r.urgency = r.workspace.Urgency
	}
	r.service, r.unlimited = pickShare(rt.Shares), !cat.LimitsRates()
	r.setDeadline()
	r.demand = d.newDemand(r)
	return r
}

// noConfigRetryAfter is the retry delay for callers of a daemon that has just started.
const noConfigRetryAfter = time.Second

// pickShare chooses a service at random, in proportion to the weights.
func pickShare(shares []catalog.Share) string {
	var sum float64
	for _, s := range shares {
		sum += s.Weight
	}
	x := rand.Float64() * sum
	for _, s := range shares {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// newDemand describes the request to the Admitter and to the SuspectTracker.
func (d *Dispatcher) newDemand(r *request) *lagoonhead.Request {
	var w lagoonhead.WorkspaceID
	tokens, output := 1, 0
	if r.workspace != nil {
		w = r.workspace.ID
	}
	switch {
	case r.workspace == nil || !r.workspace.CountsTokens:
	case r.call.HasPrompt:
		tokens, output = r.call.Prompt.Tokens, r.call.Prompt.MaxOutput
	default:
		tokens = r.workspace.DefaultTokens
	}
	q := lagoonhead.NewRequest(r.call.ID, w, r.service, r.arrived)
	q.SetTokens(tokens, output)
	q.SetDeadline(r.deadline)
	h := xxhash.New()
	for _, part := range []string{string(w), r.call.Method, r.call.Host, r.call.URL.RequestURI()} {
		_, _ = h.WriteString(part) // never returns an error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.call.Body)
	q.SetFingerprint(h.Sum64())
	return q
}

// recordOutcome counts the outcome and logs it with the decisions that led to it.
func (d *Dispatcher) recordOutcome(ctx context.Context, r *request, c *Call, err error) {
	if err == nil {
		d.vars.served.Add(1)
		d.vars.answerLatency.Record(d.Timer.Now() - r.arrived)
		d.Log.Info("request served", r.logFields()...)
		return
	}
	switch {
	case ctx.Err() != nil:
		d.vars.abandoned.Add(1)
	case NotRun(err):
		d.vars.refused.Add(1)
		if r != nil && r.takeUp {
			d.vars.takeUpsRefused.Add(1)
		}
	default:
		d.vars.failed.Add(1)
	}
	d.vars.notServed.Add(lagoonhead.KindOf(err).String(), 1)
	fields := []zap.Field{zap.String("request", string(c.ID))}
	if r != nil {
		fields = r.logFields()
	}
	fields = append(fields, zap.String("kind", lagoonhead.KindOf(err).String()), zap.Bool("notRun", NotRun(err)),
		zap.Duration("retryAfter", RetryAfter(err)), zap.Bool("callerLeft", ctx.Err() != nil), zap.Bool("cut", r != nil && r.started), zap.Error(err))
	d.Log.Warn("request not served", fields...)
}

// logFields returns the log fields of a request: its identifiers, the version of the
// configuration it was served with, the software version of its stream, and each decision with its
// inputs.
func (r *request) logFields() []zap.Field {
	f := []zap.Field{
		zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name), zap.Int64("configVersion", r.configVersion),
		zap.String("service", r.service), zap.Duration("took", r.Timer.Now()-r.arrived), zap.Int("sends", r.sends), zap.Int("runs", r.runs),
		zap.String("fingerprint", strconv.FormatUint(r.demand.Fingerprint(), 16)), zap.Strings("steps", r.steps),
	}
	if r.sends > 0 {
		f = append(f, zap.Dict("view", zap.Duration("age", r.view.Age), zap.Int64("revision", lagoonhead.NumberOf(r.view.Revision)), zap.String("peer", string(r.view.Peer))))
	}
	if software, ok := r.version.Version(); ok {
		f = append(f, zap.String("software", software))
	}
	if r.takeUp {
		f = append(f, zap.String("resumes", string(r.call.Resumes)))
	}
	if r.workspace != nil {
		f = append(f, zap.String("workspace", string(r.workspace.ID)), zap.Int64("tokens", r.demand.Charge()))
	}
	return f
}

// NotRun reports whether an error of Serve means that the request has not run.
func NotRun(err error) bool {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindUnavailable, lagoonhead.KindExhausted, lagoonhead.KindTimeout,
		lagoonhead.KindNotFound, lagoonhead.KindUnauthenticated, lagoonhead.KindInvalid, lagoonhead.KindForbidden:
		return true
	default:
		return false
	}
}

// RetryAfter returns after what time the caller may retry, or 0 when it is unknown.
func RetryAfter(err error) time.Duration {
	var a lagoonhead.RetryAfterer
	if errors.As(err, &a) {
		return a.RetryAfter()
	}
	return 0
}

package dispatch

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/metrics"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Call is a request of a caller.
type Call struct {
	ID     lagoonhead.RequestID
	Method string
	Host   string
	URL    *url.URL
	// Header holds what may go to an endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's key, or empty.
	Key string
	// Patience is how long the caller waits; 0 means that it did not say.
	Patience time.Duration
	// Declared tells that the caller has declared the prompt.
	Declared bool
	Prompt   steer.Prompt
	// After is the identifier of the last event that the caller has, or empty.
	After string
}

// Sink takes the answer. Start is called at most once, before the other methods.
type Sink interface {
	Start(status int, header http.Header)
	Write(p []byte) error
	// Flush sends what was written.
	Flush() error
}

// Catalogs gives the configuration in force.
type Catalogs interface {
	// Catalog returns the newest one, or nil before the first.
	Catalog() *catalog.Catalog
}

// Counter counts the requests that endpoints began to run.
type Counter interface {
	Began(w lagoonhead.WorkspaceID)
}

// Retries bounds the sends beyond the first of each request, by service.
type Retries interface {
	// Earn counts a request.
	Earn(service string)
	// Take pays for one more send and reports whether there was room for it.
	Take(service string) bool
}

// Dispatcher serves calls. The exported fields are set before the first one.
type Dispatcher struct {
	Catalogs Catalogs
	Admitter lagoonhead.Admitter
	Suspects lagoonhead.SuspectWatch
	Sender   lagoonhead.Sender
	Usage    Counter
	Retries  Retries
	Timer    timer.Timer
	Log      *zap.Logger
	// Domain is the failure domain of this daemon.
	Domain lagoonhead.FailureDomain

	mu    sync.Mutex
	board steer.Board
	once  sync.Once
	vars  counters
}

type counters struct {
	all                                             expvar.Map
	calls, served, refused, failed, abandoned       expvar.Int
	sends, repeats, prefills, resumes, wastedHandle expvar.Int
	// firstEvent is the time from arrival to the first event of a stream, whole to the end
	// of a served answer.
	firstEvent, whole *metrics.Latency
	// refusals counts the calls that were not served, by kind.
	refusals expvar.Map
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.board.Domain = d.Domain
		if d.Log == nil {
			d.Log = zap.NewNop()
		}
		c := &d.vars
		c.all.Init()
		for name, v := range map[string]*expvar.Int{
			"calls": &c.calls, "served": &c.served, "refused": &c.refused, "failed": &c.failed,
			"abandoned": &c.abandoned, "sends": &c.sends, "repeats": &c.repeats, "prefills": &c.prefills,
			"resumes": &c.resumes, "handlesNotTaken": &c.wastedHandle,
		} {
			c.all.Set(name, v)
		}
		c.firstEvent, c.whole = metrics.NewLatency(), metrics.NewLatency()
		c.all.Set("firstEventSeconds", c.firstEvent)
		c.all.Set("wholeSeconds", c.whole)
		c.all.Set("notServed", &c.refusals)
	})
}

// Vars returns the counters.
func (d *Dispatcher) Vars() *expvar.Map {
	d.init()
	return &d.vars.all
}

// Board calls f with the board of endpoints while nothing else uses it.
func (d *Dispatcher) Board(f func(b *steer.Board)) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.board)
}

// Serve answers a call. An error means that the sink has no whole answer; its kind says
// why, and *Error whether the request may have run. The context ends when the caller
// leaves.
func (d *Dispatcher) Serve(ctx context.Context, c *Call, s Sink) error {
	d.init()
	d.vars.calls.Add(1)
	r, err := d.open(c, s)
	if err == nil {
		err = r.serve(ctx)
	}
	d.conclude(ctx, r, c, err)
	return err
}

// open finds what the configuration says of the call.
func (d *Dispatcher) open(c *Call, s Sink) (*request, error) {
	cat := d.Catalogs.Catalog()
	if cat == nil {
		e := failf("open", lagoonhead.KindUnavailable, "there is no configuration yet")
		e.after = noConfigRetry
		return nil, e
	}
	rt := cat.Route(c.Host, c.URL.EscapedPath())
	if rt == nil {
		return nil, failf("open", lagoonhead.KindNotFound, "no route for %s%s", c.Host, c.URL.EscapedPath())
	}
	r := &request{Dispatcher: d, call: c, sink: s, route: rt, version: cat.Version(), arrived: d.Timer.Now()}
	if !rt.Open {
		if r.holder = cat.Holder(c.Key); r.holder == nil {
			return nil, failf("open", lagoonhead.KindUnauthenticated, "the key is not known")
		}
	}
	r.urgency = rt.Urgency
	if r.holder != nil && r.holder.HasUrgency {
		r.urgency = r.holder.Urgency
	}
	r.service = pickShare(rt.Shares)
	r.setDeadline()
	r.demand = d.demand(r)
	return r, nil
}

// noConfigRetry is when a caller may come back to a daemon that has just started.
const noConfigRetry = time.Second

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

// demand describes the request to the limits and to the watch over requests that crash
// endpoints.
func (d *Dispatcher) demand(r *request) *lagoonhead.Request {
	var w lagoonhead.WorkspaceID
	tokens, output := 1, 0
	if r.holder != nil {
		w = r.holder.ID
	}
	switch {
	case r.holder == nil || !r.holder.CountsTokens:
	case r.call.Declared:
		tokens, output = r.call.Prompt.Tokens, r.call.Prompt.MaxOutput
	default:
		tokens = r.holder.PlainTokens
	}
	q := lagoonhead.NewRequest(r.call.ID, w, r.service, r.arrived)
	q.SetTokens(tokens, output)
	q.SetDeadline(r.deadline)
	h := xxhash.New()
	for _, part := range []string{string(w), r.call.Method, r.call.Host, r.call.URL.RequestURI()} {
		_, _ = h.WriteString(part) // it never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.call.Body)
	q.SetFingerprint(h.Sum64())
	return q
}

// conclude counts the outcome and logs it with the decisions that led to it.
func (d *Dispatcher) conclude(ctx context.Context, r *request, c *Call, err error) {
	if err == nil {
		d.vars.served.Add(1)
		d.vars.whole.Record(d.Timer.Now() - r.arrived)
		d.Log.Info("request served", r.fields()...)
		return
	}
	switch {
	case ctx.Err() != nil:
		d.vars.abandoned.Add(1)
	case NotRun(err):
		d.vars.refused.Add(1)
	default:
		d.vars.failed.Add(1)
	}
	d.vars.refusals.Add(lagoonhead.KindOf(err).String(), 1)
	fields := []zap.Field{zap.String("request", string(c.ID))}
	if r != nil {
		fields = r.fields()
	}
	fields = append(fields, zap.String("kind", lagoonhead.KindOf(err).String()), zap.Bool("notRun", NotRun(err)),
		zap.Duration("retryAfter", RetryAfter(err)), zap.Bool("callerLeft", ctx.Err() != nil), zap.Error(err))
	d.Log.Warn("request not served", fields...)
}

// fields returns what the log says of a request: its identifiers, the version of the
// configuration that it was handled by, and each decision with what it came from.
func (r *request) fields() []zap.Field {
	f := []zap.Field{
		zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name), zap.Int64("configVersion", r.version),
		zap.String("service", r.service), zap.Duration("took", r.Timer.Now()-r.arrived), zap.Int("sends", r.sends), zap.Int("runs", r.runs),
		zap.String("fingerprint", strconv.FormatUint(r.demand.Fingerprint(), 16)), zap.Strings("steps", r.steps),
	}
	if r.holder != nil {
		f = append(f, zap.String("workspace", string(r.holder.ID)), zap.Int64("tokens", r.demand.Charge()))
	}
	return f
}

// NotRun reports whether an error of Serve says that the request has not run.
func NotRun(err error) bool {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindUnavailable, lagoonhead.KindExhausted, lagoonhead.KindTimeout,
		lagoonhead.KindNotFound, lagoonhead.KindUnauthenticated, lagoonhead.KindInvalid, lagoonhead.KindForbidden:
		return true
	default:
		return false
	}
}

// RetryAfter returns when the caller may come back, or 0 when that is not known.
func RetryAfter(err error) time.Duration {
	var a lagoonhead.RetryAfterer
	if errors.As(err, &a) {
		return a.RetryAfter()
	}
	return 0
}

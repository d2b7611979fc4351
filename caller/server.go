package caller

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/httpdrain"
	"github.com/lagoonhead/lagoonhead/httplimit"
	"github.com/lagoonhead/lagoonhead/relay"
	"github.com/lagoonhead/lagoonhead/service"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Limits bounds requests. A field that is 0 gets the default that its comment states.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. The default is 4 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum total size of header names and values. The default is
	// 16 KiB.
	MaxHeaderBytes int
	// HeaderTimeout is the time within which the headers must arrive. The default is
	// 10 s.
	HeaderTimeout time.Duration
	// MaxInFlight is the maximum number of concurrent requests. The default is 20,000.
	MaxInFlight int
	// BodyTimeout is the time within which a request body must arrive. The default is
	// 30 s.
	BodyTimeout time.Duration
	// DefaultDeadline is the deadline, from the arrival of the request, when neither
	// the caller nor the rule of the workspace sets one. It bounds the time to the
	// first token of a completion and the whole call of a service. The default is 30 s.
	DefaultDeadline time.Duration
	// MaxDeadline is the maximum deadline that a caller may set. The default is
	// 12 h, so that deferrable requests may wait overnight.
	MaxDeadline time.Duration
	// DefaultOutputTokens is the output limit, in tokens, when the caller sets none. The
	// default is 1024.
	DefaultOutputTokens int
	// MaxOutputTokens is the maximum output limit, in tokens, that a caller may set. The
	// default is 131072.
	MaxOutputTokens int
	// DrainDelay is how long a draining server goes on accepting requests. It must
	// exceed the time that the load balancer and the VM list need to notice the drain.
	// The default is 10 s.
	DrainDelay time.Duration
	// CancelTimeout bounds the call that tells an engine to cancel a request. The
	// default is 2 s.
	CancelTimeout time.Duration
}

func (l *Limits) setDefaults() {
	setDefault(&l.MaxBodyBytes, 4<<20)
	setDefault(&l.MaxHeaderBytes, 16<<10)
	setDefault(&l.HeaderTimeout, 10*time.Second)
	setDefault(&l.MaxInFlight, 20_000)
	setDefault(&l.BodyTimeout, 30*time.Second)
	setDefault(&l.DefaultDeadline, 30*time.Second)
	setDefault(&l.MaxDeadline, 12*time.Hour)
	setDefault(&l.DefaultOutputTokens, 1024)
	setDefault(&l.MaxOutputTokens, 131072)
	setDefault(&l.DrainDelay, 10*time.Second)
	setDefault(&l.CancelTimeout, 2*time.Second)
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Limits of the connections of callers. There is no write timeout and no read timeout
// for whole requests, because a stream may take any time.
const (
	idleTimeout = 2 * time.Minute
	// headerSlack, in bytes, lets headers larger than Limits.MaxHeaderBytes reach the
	// handler, which responds with an error object; net/http itself cannot.
	headerSlack = 48 << 10
)

// Server is the HTTP server for callers. Its exported fields must be set before the
// first call of Run or Handler and not changed afterwards. Fields marked optional may
// be nil.
type Server struct {
	// Listener accepts the connections of callers in Run.
	Listener    net.Listener
	Directories lagoonhead.DirectorySource
	Gate        lagoonhead.Gate
	Admitter    lagoonhead.Admitter
	Placer      lagoonhead.Placer
	Engines     lagoonhead.EngineStreamer
	Suspects    lagoonhead.SuspectTracker
	Parts       lagoonhead.PartTracker
	Usage       lagoonhead.UsageRecorder
	Decisions   lagoonhead.DecisionRecorder
	Services    lagoonhead.ServiceCaller
	Claims      lagoonhead.ClaimKeeper
	Relay       *relay.Relay
	Sealer      *relay.Sealer
	Timer       timer.Timer
	// Bodies bounds the memory of request bodies. Optional.
	Bodies *bodybudget.Budget
	// Connections bounds the connections that Listener accepts. Optional.
	Connections *httplimit.Connections
	// Budget bounds retries. It is shared with the client of services. Optional.
	Budget *service.Budget
	// Log receives log lines. Optional.
	Log *zap.Logger
	// Tracer starts the spans of requests and attempts. Optional.
	Tracer trace.Tracer
	Limits Limits

	once             sync.Once
	http             *http.Server
	listener         httpdrain.Listener
	acceptEnded      chan struct{} // closed when Run accepts no more connections
	drained          chan struct{} // closed by endDrain when Drain has finished
	endDrain         func()
	vars             counters
	tracker          tracker
	inFlight         endpointCounts
	suspectEndpoints suspectEndpoints
}

func (s *Server) setUp() {
	s.Limits.setDefaults()
	if s.Budget == nil {
		s.Budget = new(service.Budget)
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Tracer == nil {
		s.Tracer = noop.NewTracerProvider().Tracer("")
	}
	s.listener.Listener, s.listener.Log = s.Listener, s.Log
	s.listener.Socket, _ = s.Listener.(syscall.Conn)
	if s.Connections != nil {
		s.Connections.Bound(s.listener.Socket, s.Log)
		s.listener.Listener, s.listener.Pending = s.Connections.Listen(s.Listener), s.Connections.Waiting
	}
	s.acceptEnded, s.drained = make(chan struct{}), make(chan struct{})
	s.endDrain = sync.OnceFunc(func() { close(s.drained) })
	// It never fails for this level.
	errorLog, _ := zap.NewStdLogAt(s.Log.Named("http"), zap.WarnLevel)
	s.http = &http.Server{
		Handler:           s.mux(),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes + headerSlack,
		ConnState:         s.listener.StateChanged,
		ErrorLog:          errorLog,
	}
}

// closesConnections reports whether callers are told to close their connections after the response.
func (s *Server) closesConnections() bool {
	return s.tracker.draining() || s.Connections != nil && s.Connections.Crowded()
}

// Handler returns the handler for all routes.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.setUp)
	return s.http.Handler
}

// Run serves Listener until ctx ends or Drain has finished. The end of ctx aborts the
// requests in flight, so call Drain first.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.setUp)
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	err := s.http.Serve(&s.listener)
	close(s.acceptEnded)
	if errors.Is(err, http.ErrServerClosed) {
		select {
		case <-s.drained:
		case <-ctx.Done():
		}
		return nil
	}
	return fault("caller.serve", lagoonhead.KindUnavailable, err)
}

// abort closes all connections.
func (s *Server) abort() {
	if n := s.listener.Unanswered(); n > 0 {
		s.vars.aborted.Add(int64(n))
		s.Log.Warn("connections closed with requests that are not answered", zap.Int("count", n))
	}
	_ = s.http.Close()
}

func (s *Server) mux() http.Handler {
	m := http.NewServeMux()
	m.Handle("/v1/chat/completions", s.endpoint(http.MethodPost, (*exchange).completion))
	m.Handle("/v1/models", s.endpoint(http.MethodGet, (*exchange).listModels))
	m.Handle("/v1/models/{model...}", s.endpoint(http.MethodGet, (*exchange).getModel))
	m.Handle("/services/{name}/", s.endpoint("", (*exchange).serviceCall))
	m.HandleFunc("/healthz", s.healthz)
	m.HandleFunc("/readyz", s.readyz)
	m.Handle("/", s.endpoint("", (*exchange).unknownRoute))
	badPath := s.endpoint("", (*exchange).badPath)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !cleanPath(r.URL) {
			// The mux would respond with a redirect to the cleaned path.
			badPath.ServeHTTP(w, r)
			return
		}
		m.ServeHTTP(w, r)
	})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, health{Status: "ok"})
}

type health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, health{Status: "notReady", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, health{Status: "ready"})
}

func (s *Server) ready() error {
	if s.tracker.draining() {
		return fault("caller.ready", lagoonhead.KindUnavailable, errors.New("the daemon is draining"))
	}
	if s.Directories.Directory() == nil {
		return fault("caller.ready", lagoonhead.KindUnavailable, errors.New("there is no configuration yet"))
	}
	return s.Gate.Fresh()
}

// InFlight returns the number of requests that this daemon has in flight on an
// endpoint.
func (s *Server) InFlight(id lagoonhead.EndpointID) int { return s.inFlight.count(id) }

// Vars returns the metrics of the server.
func (s *Server) Vars() *expvar.Map { return s.vars.export(&s.tracker) }

package caller

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/relay"
	"github.com/lagoonhead/lagoonhead/service"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Limits bounds requests. A field that is 0 has the default named with it.
type Limits struct {
	// BodyBytes is the largest body: 4 MiB.
	BodyBytes int64
	// HeaderBytes is the largest total of header names and values: 16 KiB.
	HeaderBytes int
	// HeaderTimeout bounds the time in which the headers must arrive: 10 s.
	HeaderTimeout time.Duration
	// InFlight is the largest number of requests at once: 20,000.
	InFlight int
	// BodyTimeout bounds the time in which a body must arrive: 30 s.
	BodyTimeout time.Duration
	// DefaultDeadline is the time to the first token when neither the caller nor the
	// rule names one: 30 s.
	DefaultDeadline time.Duration
	// LongestDeadline is the longest one that a caller may name: 12 h, so that
	// deferrable work may wait overnight.
	LongestDeadline time.Duration
	// DefaultMaxTokens is the output limit when the caller names none: 1024.
	DefaultMaxTokens int
	// MostMaxTokens is the largest output limit that a caller may name: 131072.
	MostMaxTokens int
	// DrainDelay is the time for which a draining server still accepts requests; it
	// must be longer than the balancer and the VM list lag: 10 s.
	DrainDelay time.Duration
	// CancelTimeout bounds an order to an engine to stop a request: 2 s.
	CancelTimeout time.Duration
}

func (l *Limits) setDefaults() {
	setDefault(&l.BodyBytes, 4<<20)
	setDefault(&l.HeaderBytes, 16<<10)
	setDefault(&l.HeaderTimeout, 10*time.Second)
	setDefault(&l.InFlight, 20_000)
	setDefault(&l.BodyTimeout, 30*time.Second)
	setDefault(&l.DefaultDeadline, 30*time.Second)
	setDefault(&l.LongestDeadline, 12*time.Hour)
	setDefault(&l.DefaultMaxTokens, 1024)
	setDefault(&l.MostMaxTokens, 131072)
	setDefault(&l.DrainDelay, 10*time.Second)
	setDefault(&l.CancelTimeout, 2*time.Second)
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Timeouts of the connections of callers. A stream may take any time, so there is
// no write timeout and no read timeout for whole requests.
const (
	idleTimeout = 2 * time.Minute
	// headerSlack lets headers that are over Limits.HeaderBytes reach the handler,
	// which answers them with an error object; net/http itself cannot.
	headerSlack = 48 << 10
)

// Server is the front towards callers. Its exported fields are set before Run or
// Handler and not changed after. Fields marked optional may be nil.
type Server struct {
	// Listener is where Run accepts callers.
	Listener    net.Listener
	Directories lagoonhead.DirectorySource
	Gate        lagoonhead.Gate
	Admitter    lagoonhead.Admitter
	Placer      lagoonhead.Placer
	Engines     lagoonhead.EngineStreamer
	Suspects    lagoonhead.SuspectWatch
	Usage       lagoonhead.UsageRecorder
	Decisions   lagoonhead.DecisionRecorder
	Services    lagoonhead.ServiceCaller
	Claims      lagoonhead.ClaimKeeper
	Relay       *relay.Relay
	Sealer      *relay.Sealer
	Timer       timer.Timer
	// Budget bounds retries. Optional; it is shared with the service client.
	Budget *service.Budget
	// Log is optional.
	Log *zap.Logger
	// Tracer is optional.
	Tracer trace.Tracer
	Limits Limits

	once     sync.Once
	http     *http.Server
	vars     counters
	tracker  tracker
	running  inFlight
	suspects suspectPlaces
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
	s.http = &http.Server{
		Handler:           s.mux(),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes + headerSlack,
		ErrorLog:          zap.NewStdLog(s.Log.Named("http")),
	}
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.setUp)
	return s.http.Handler
}

// Run serves Listener until ctx ends or Drain has finished. The end of ctx cuts
// off what is running; call Drain before.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.setUp)
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return fault("caller.serve", lagoonhead.KindUnavailable, err)
	}
	return nil
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
			// The mux would redirect to the clean path.
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

// InFlight returns the number of requests that run on an endpoint through this
// daemon.
func (s *Server) InFlight(id lagoonhead.EndpointID) int { return s.running.count(id) }

// Vars returns the counters of the server.
func (s *Server) Vars() *expvar.Map { return s.vars.export(&s.tracker) }

package caller

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
)

// exchange is one request of a caller with its answer.
type exchange struct {
	server *Server
	w      *answerWriter
	r      *http.Request
	id     lagoonhead.RequestID
	// arrived is the time since boot.
	arrived   time.Duration
	auth      []string // values of the key header
	key       string
	workspace lagoonhead.WorkspaceID
	directory lagoonhead.Directory
	span      trace.Span
	// run tells whether an endpoint can have run the request. It is set to unknown
	// before a byte of it may be sent.
	run runState
	// streaming is true once the relay has the answer of a stream.
	streaming bool
	// notes are the figures for the record of the decision.
	notes []string
}

var propagator = propagation.TraceContext{}

// endpoint returns a handler for one method; an empty one means any.
func (s *Server) endpoint(method string, f func(*exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.tracker.enter(s.Limits.InFlight); err != nil {
			w.Header().Set("Connection", "close")
			s.vars.notAccepted.Add(1)
			writeError(w, fault("caller.accept", lagoonhead.KindUnavailable, err), runNo)
			return
		}
		defer s.tracker.leave()
		x := s.open(w, r)
		defer x.close()
		err := x.check(method)
		if err == nil {
			err = f(x)
		}
		if err != nil {
			x.fail(err)
		}
	})
}

// open begins an exchange. From here on the key header is gone from the request.
func (s *Server) open(w http.ResponseWriter, r *http.Request) *exchange {
	s.vars.requests.Add(1)
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	x := &exchange{
		server: s, id: lagoonhead.RequestID(uuid.NewString()), arrived: s.Timer.Now(),
		auth: r.Header.Values(headerAuth), run: runNo, w: &answerWriter{ResponseWriter: w},
	}
	r.Header.Del(headerAuth)
	ctx, x.span = s.Tracer.Start(ctx, "caller.request", trace.WithSpanKind(trace.SpanKindServer))
	x.span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.String("lagoonhead.request", string(x.id)))
	x.r = r.WithContext(ctx)
	w.Header().Set(headerRequestID, string(x.id))
	if s.tracker.draining() {
		// The balancer opens its next connection to another daemon.
		w.Header().Set("Connection", "close")
	}
	return x
}

// close ends the exchange. A panic of a handler becomes an error of KindInternal,
// so that its run state is told as well.
func (x *exchange) close() {
	p := recover()
	if p == nil {
		x.span.End()
		return
	}
	defer x.span.End()
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	x.server.vars.panics.Add(1)
	x.server.Log.Error("panic in a handler", zap.Any("panic", p), zap.String("request", string(x.id)), zap.ByteString("stack", debug.Stack()))
	x.fail(fault("caller.handle", lagoonhead.KindInternal, errors.Newf("panic: %v", p)))
}

// check does what all routes need before they read the body.
func (x *exchange) check(method string) error {
	if n := headerBytes(x.r.Header); n > x.server.Limits.HeaderBytes {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, lagoonhead.KindInvalid, "headers_too_large",
			"headers have %d bytes, more than %d", n, x.server.Limits.HeaderBytes)
	}
	if method != "" && x.r.Method != method {
		x.w.Header().Set("Allow", method)
		return refusal(http.StatusMethodNotAllowed, lagoonhead.KindInvalid, "method_not_allowed", "use method %s", method)
	}
	return nil
}

func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// begin checks that the daemon is fresh and takes the directory in force.
func (x *exchange) begin() error {
	if err := x.server.Gate.Fresh(); err != nil {
		return fault("caller.fresh", lagoonhead.KindStale, err)
	}
	x.directory = x.server.Directories.Directory()
	if x.directory == nil {
		return fault("caller.fresh", lagoonhead.KindStale, errors.New("there is no configuration yet"))
	}
	return nil
}

// maxKeyBytes bounds a key; issued ones have less than 100 bytes.
const maxKeyBytes = 512

// authenticate finds the workspace of the key that came with this request.
func (x *exchange) authenticate() error {
	key, ok := bearer(x.auth)
	if !ok {
		return fault("caller.authenticate", lagoonhead.KindUnauthenticated, errors.New("no single bearer key"))
	}
	w, err := x.directory.Authenticate(key)
	if err != nil {
		return fault("caller.authenticate", lagoonhead.KindUnauthenticated, err)
	}
	x.key, x.workspace = key, w
	return nil
}

func bearer(values []string) (string, bool) {
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	return key, !strings.ContainsAny(key, " \t,")
}

// stillAllowed repeats the checks of begin and authenticate. It is called right
// before an attempt, since the request may have waited for long and the VM may
// have been frozen.
func (x *exchange) stillAllowed() error {
	if err := x.begin(); err != nil {
		return err
	}
	if x.key == "" {
		return nil
	}
	w, err := x.directory.Authenticate(x.key)
	if err != nil || w != x.workspace {
		return fault("caller.authenticate", lagoonhead.KindUnauthenticated, errors.New("the key was withdrawn while the request waited"))
	}
	return nil
}

// fail answers with an error, or cuts off an answer that has begun.
func (x *exchange) fail(err error) {
	s := x.server
	k := lagoonhead.KindOf(err)
	s.vars.failed(k)
	x.span.SetStatus(codes.Error, k.String())
	result := "failed"
	if x.run == runNo {
		result = "refused"
	}
	x.decide(result, "%s run=%s: %v", k, x.run, err)
	if x.r.Context().Err() != nil {
		s.vars.callersGone.Add(1)
	}
	if !x.w.started {
		writeError(x.w, err, x.run)
		return
	}
	if x.streaming {
		return // the relay has told the caller by an event
	}
	// The caller must not take a part for the whole.
	panic(http.ErrAbortHandler)
}

// note adds a figure to the record of the decision.
func (x *exchange) note(format string, args ...any) {
	x.notes = append(x.notes, fmt.Sprintf(format, args...))
}

// decide records what became of the request and why.
func (x *exchange) decide(result, format string, args ...any) {
	x.note(format, args...)
	x.server.Decisions.RecordDecision(lagoonhead.Decision{
		At: x.server.Timer.Now(), Topic: "request", Subject: string(x.id), Result: result,
		Reason: strings.Join(x.notes, "; "),
	})
}

// detached returns the context of the request without its end, for what must be
// finished after the caller has left.
func (x *exchange) detached() context.Context { return context.WithoutCancel(x.r.Context()) }

func (x *exchange) unknownRoute() error {
	return refusal(http.StatusNotFound, lagoonhead.KindNotFound, "unknown_route", "there is no such route")
}

func (x *exchange) badPath() error {
	return invalid("invalid_path", "the path has empty, relative or encoded segments")
}

// answerWriter remembers whether the answer has begun.
type answerWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader begins the answer.
func (w *answerWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if nothing has.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

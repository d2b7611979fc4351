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
	"github.com/lagoonhead/lagoonhead/bodybudget"
)

// exchange is one request of a caller with its response.
type exchange struct {
	server      *Server
	writer      *responseWriter
	httpRequest *http.Request
	id          lagoonhead.RequestID
	// arrived is the time of arrival, since boot.
	arrived   time.Duration
	auth      []string // values of the Authorization header
	key       string   // API key of the workspace, or empty
	workspace lagoonhead.WorkspaceID
	directory lagoonhead.Directory
	span      trace.Span
	// runState says whether an endpoint can have run the request. It is set to runUnknown
	// before any byte of the request may be sent.
	runState runState
	// bodyRead is true once the body is being read, and body holds it once it has arrived.
	bodyRead bool
	body     *bodybudget.Body
	// streaming is true once the relay writes a streamed response.
	streaming bool
	// notes are the parts of the reason in the decision record of the request.
	notes []string
}

var propagator = propagation.TraceContext{}

// endpoint returns a handler for one HTTP method; "" accepts any method.
func (s *Server) endpoint(method string, f func(*exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.tracker.enter(s.Limits.MaxInFlight); err != nil {
			w.Header().Set("Connection", "close")
			s.vars.notAccepted.Add(1)
			respondBeforeBody(w, r, s.Limits.MaxBodyBytes, func() {
				writeError(w, fault("caller.accept", lagoonhead.KindUnavailable, err), runNo)
			})
			return
		}
		defer s.tracker.leave()
		x := s.newExchange(w, r)
		defer x.finish()
		defer func() { x.body.End() }()
		err := x.checkRequest(method)
		if err == nil {
			err = f(x)
		}
		if err != nil {
			x.fail(err)
		}
	})
}

// newExchange begins an exchange. It removes the Authorization header from the request,
// so that the key is not forwarded.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	s.vars.requests.Add(1)
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	x := &exchange{
		server: s, id: lagoonhead.RequestID(uuid.NewString()), arrived: s.Timer.Now(),
		auth: r.Header.Values(headerAuth), runState: runNo, writer: &responseWriter{ResponseWriter: w, closing: s.closesConnections},
	}
	r.Header.Del(headerAuth)
	ctx, x.span = s.Tracer.Start(ctx, "caller.request", trace.WithSpanKind(trace.SpanKindServer))
	x.span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.String("lagoonhead.request", string(x.id)))
	x.httpRequest = r.WithContext(ctx)
	w.Header().Set(headerRequestID, string(x.id))
	return x
}

// finish ends the exchange. A panic of the handler becomes an error of KindInternal,
// so that its response has the run state as well.
func (x *exchange) finish() {
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

// checkRequest checks the size of the headers and the method.
func (x *exchange) checkRequest(method string) error {
	if n := headerBytes(x.httpRequest.Header); n > x.server.Limits.MaxHeaderBytes {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, lagoonhead.KindInvalid, "headers_too_large",
			"headers have %d bytes, more than %d", n, x.server.Limits.MaxHeaderBytes)
	}
	if method != "" && x.httpRequest.Method != method {
		x.writer.Header().Set("Allow", method)
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

// loadDirectory checks that the daemon's configuration is recent enough to start
// requests, and sets the directory to the revision in force.
func (x *exchange) loadDirectory() error {
	if err := x.server.Gate.Fresh(); err != nil {
		return fault("caller.fresh", lagoonhead.KindStale, err)
	}
	x.directory = x.server.Directories.Directory()
	if x.directory == nil {
		return fault("caller.fresh", lagoonhead.KindStale, errors.New("there is no configuration yet"))
	}
	return nil
}

// maxKeyBytes is the maximum length of an API key. Issued keys have less than 100 bytes.
const maxKeyBytes = 512

// authenticate sets the workspace to that of the request's API key.
func (x *exchange) authenticate() error {
	key, ok := bearer(x.auth)
	if !ok {
		return fault("caller.authenticate", lagoonhead.KindUnauthenticated, errors.New("the request needs exactly one bearer key"))
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

// recheck repeats the checks of loadDirectory and authenticate right before an attempt,
// because the request may have waited for long and the VM may have been frozen.
func (x *exchange) recheck() error {
	if err := x.loadDirectory(); err != nil {
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

// fail responds with an error, or aborts a response that has begun.
func (x *exchange) fail(err error) {
	s := x.server
	k := lagoonhead.KindOf(err)
	s.vars.countError(k)
	x.span.SetStatus(codes.Error, k.String())
	result := "failed"
	if x.runState == runNo {
		result = "refused"
	}
	x.recordDecision(result, "%s run=%s: %v", k, x.runState, err)
	if x.httpRequest.Context().Err() != nil {
		s.vars.callersGone.Add(1)
	}
	if !x.writer.started {
		x.writeError(err)
		return
	}
	if x.streaming {
		return // the relay has sent the error as an event
	}
	s.vars.cutOff.Add(1)
	s.Log.Warn("response cut off", zap.String("request", string(x.id)), zap.Error(err))
	// The caller gets the status and the run state, also when they are still buffered.
	_ = http.NewResponseController(x.writer).Flush()
	// Closing the connection shows the caller that the response is incomplete.
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeError(err error) {
	write := func() { writeError(x.writer, err, x.runState) }
	if x.bodyRead {
		write()
		return
	}
	respondBeforeBody(x.writer, x.httpRequest, x.server.Limits.MaxBodyBytes, write)
}

// note adds a part to the reason in the decision record of the request.
func (x *exchange) note(format string, args ...any) {
	x.notes = append(x.notes, fmt.Sprintf(format, args...))
}

// recordDecision records the result of the request, with the notes as its reason.
func (x *exchange) recordDecision(result, format string, args ...any) {
	x.note(format, args...)
	x.server.Decisions.RecordDecision(lagoonhead.Decision{
		At: x.server.Timer.Now(), Topic: "request", Subject: string(x.id), Result: result,
		Reason: strings.Join(x.notes, "; "),
	})
}

// detached returns the context of the request without its cancellation, for work that
// must finish even if the caller disconnects.
func (x *exchange) detached() context.Context { return context.WithoutCancel(x.httpRequest.Context()) }

func (x *exchange) unknownRoute() error {
	return refusal(http.StatusNotFound, lagoonhead.KindNotFound, "unknown_route", "there is no such route")
}

func (x *exchange) badPath() error {
	return invalid("invalid_path", "the path has empty, relative or encoded segments")
}

// responseWriter records whether the response has begun.
type responseWriter struct {
	http.ResponseWriter
	// closing reports whether the connection shall be closed after the response.
	closing func() bool
	started bool
}

func (w *responseWriter) start() {
	if !w.started && w.closing() {
		// The load balancer then opens its next connection to another daemon.
		w.Header().Set("Connection", "close")
	}
	w.started = true
}

// WriteHeader begins the response.
func (w *responseWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and begins the response if it has not begun.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

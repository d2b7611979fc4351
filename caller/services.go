package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lagoonhead/lagoonhead"
)

// headerRepeated marks the recorded response to an earlier request with the same
// idempotency key.
const headerRepeated = "Lagoonhead-Repeated"

// maxIdempotencyBytes is the maximum length of an idempotency key.
const maxIdempotencyBytes = 255

// cleanPath reports whether the path is unambiguous, so that the service sees the same
// route that was checked here. Encoded slashes are allowed in the names of models, which
// are not forwarded to an endpoint.
func cleanPath(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") || strings.ContainsAny(u.Path, "\\\x00\r\n") {
		return false
	}
	raw := strings.ToLower(u.EscapedPath())
	if strings.Contains(raw, "%2f") && !strings.HasPrefix(raw, "/v1/models/") {
		return false
	}
	for _, seg := range strings.Split(strings.TrimSuffix(u.Path[1:], "/"), "/") {
		if seg == "." || seg == ".." || (seg == "" && u.Path != "/") {
			return false
		}
	}
	return true
}

// serviceCall serves /services/{name}/...
func (x *exchange) serviceCall() error {
	x.server.vars.serviceCalls.Add(1)
	if err := x.loadDirectory(); err != nil {
		return err
	}
	name := x.httpRequest.PathValue("name")
	path := strings.TrimPrefix(x.httpRequest.URL.Path, "/services/"+name)
	route, ok := x.directory.ServiceRoute(name, x.httpRequest.Method, path)
	if !ok {
		return refusal(http.StatusNotFound, lagoonhead.KindNotFound, "unknown_route", "service %q has no route %s %s", name, x.httpRequest.Method, path)
	}
	if err := x.authenticateRoute(route); err != nil {
		return err
	}
	key, err := x.idempotencyKey(route)
	if err != nil {
		return err
	}
	body, err := x.readBody(0)
	if err != nil {
		return err
	}
	req, err := x.newRequest(name)
	if err != nil {
		return err
	}
	call := lagoonhead.ServiceCall{
		Request: req, Method: x.httpRequest.Method, Path: path, RawQuery: x.httpRequest.URL.RawQuery,
		Header: x.httpRequest.Header, Body: body, Idempotent: route.Idempotent, IdempotencyKey: key,
	}
	hash := callHash(name, call)
	req.SetFingerprint(xxhash.Sum64(hash[:]))
	if route.Idempotent || key == "" {
		return x.unclaimedCall(call)
	}
	return x.claimedCall(call, lagoonhead.ClaimRequest{Workspace: x.workspace, Key: key, BodyHash: hash})
}

// authenticateRoute checks the API key. On an open route the caller may send none.
func (x *exchange) authenticateRoute(r lagoonhead.Route) error {
	if r.NoAPIKey && len(x.auth) == 0 {
		return nil
	}
	return x.authenticate()
}

func (x *exchange) idempotencyKey(r lagoonhead.Route) (string, error) {
	key, err := parseHeader(x.httpRequest.Header, headerIdempotency, "", parseIdempotencyKey)
	if err != nil {
		return "", err
	}
	if key == "" && r.IdempotencyKeyRequired && !r.Idempotent {
		return "", invalid("idempotency_key_required", "the route needs the header %s", headerIdempotency)
	}
	if key != "" && x.workspace == "" && !r.Idempotent {
		// Claims are stored by workspace, so callers without one would share their
		// idempotency keys.
		return "", invalid("idempotency_key_without_workspace", "%s needs the API key of a workspace", headerIdempotency)
	}
	return key, nil
}

func parseIdempotencyKey(v string) (string, error) {
	printable := func(r rune) bool { return r > ' ' && r < 0x7f }
	if v == "" || len(v) > maxIdempotencyBytes || strings.ContainsFunc(v, func(r rune) bool { return !printable(r) }) {
		return "", invalid("invalid_header", "%s must have 1 to %d visible ASCII characters", headerIdempotency, maxIdempotencyBytes)
	}
	return v, nil
}

// callHash returns a hash of all parts of the call that identify it. Each part is
// preceded by its length, so that different calls never give the same hash input.
func callHash(name string, c lagoonhead.ServiceCall) [32]byte {
	h := sha256.New()
	var n [8]byte
	for _, part := range [][]byte{[]byte(name), []byte(c.Method), []byte(c.Path), []byte(c.RawQuery), []byte(c.Header.Get(contentType)), c.Body} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// unclaimedCall makes a call that needs no claim on an idempotency key. Unlike that of a
// completion, its deadline bounds the whole response, so that no service can stall a
// call forever.
func (x *exchange) unclaimedCall(call lagoonhead.ServiceCall) error {
	parent := x.httpRequest.Context()
	if !call.Idempotent {
		// A caller that disconnects must not cancel the call, because its outcome would
		// then be unknown.
		parent = x.detached()
	}
	ctx, d := x.withDeadline(parent, call.Request)
	defer d.close()
	ans, err := x.callService(ctx, guardedPlacer{x}, call)
	if err != nil {
		return err
	}
	defer ans.Body.Close()
	x.runState = runYes
	x.copyHeader(ans.Header)
	x.writer.WriteHeader(ans.Status)
	if _, err := io.Copy(x.writer, ans.Body); err != nil {
		return fault("caller.copy", lagoonhead.KindUnknown, deadlineError(ctx, err))
	}
	x.recordServed(call, ans.Status, "endpoint %s, attempts %d", ans.Endpoint, ans.Attempts)
	return nil
}

// callService makes the call in its own span. When the call has provably not run, it
// sets the run state to runNo.
func (x *exchange) callService(ctx context.Context, p lagoonhead.Placer, call lagoonhead.ServiceCall) (*lagoonhead.ServiceAnswer, error) {
	ctx, span := x.server.Tracer.Start(ctx, "caller.service", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	call.Header = call.Header.Clone()
	call.Header.Del("Traceparent")
	call.Header.Del("Tracestate")
	propagator.Inject(ctx, propagation.HeaderCarrier(call.Header))
	ans, err := x.server.Services.Call(ctx, p, call)
	if err == nil {
		return ans, nil
	}
	if lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
		x.runState = runNo
	}
	if x.runState == runNo {
		return nil, err
	}
	return nil, deadlineError(ctx, err)
}

func (x *exchange) copyHeader(h http.Header) {
	maps.Copy(x.writer.Header(), h)
	x.writer.Header().Set(headerRun, string(x.runState))
}

func (x *exchange) recordServed(call lagoonhead.ServiceCall, status int, format string, args ...any) {
	x.server.Suspects.Finished(call.Request.Fingerprint())
	x.note("status %d", status)
	x.recordDecision("completed", format, args...)
}

// claimedCall makes a non-idempotent call under a claim on its idempotency key. The
// endpoint is chosen before the claim is created, to keep the claim short: when a daemon
// crashes while it holds a claim, the outcome of the call remains unknown.
func (x *exchange) claimedCall(call lagoonhead.ServiceCall, claim lagoonhead.ClaimRequest) error {
	ctx, d := x.withDeadline(x.detached(), call.Request)
	defer d.close()
	p, err := guardedPlacer{x}.Place(ctx, call.Request, nil)
	x.runState = runNo
	if err != nil {
		return x.serveRecorded(ctx, claim, err)
	}
	attempted := false
	ans, err := x.server.Claims.Once(ctx, claim, func(ctx context.Context) (lagoonhead.RecordedAnswer, error) {
		attempted, x.runState = true, runUnknown
		return x.claimedAttempt(ctx, p, call)
	})
	if !attempted {
		p.Done(neutralOutcome)
	}
	if err != nil {
		return x.claimError(err, attempted)
	}
	return x.writeRecorded(call, ans)
}

// serveRecorded responds to a call that was not placed, because of placeErr, with the
// recorded response to an earlier request with the same idempotency key. It returns
// placeErr when there is none.
func (x *exchange) serveRecorded(ctx context.Context, claim lagoonhead.ClaimRequest, placeErr error) error {
	if k := lagoonhead.KindOf(placeErr); k != lagoonhead.KindUnavailable && k != lagoonhead.KindTimeout {
		return placeErr
	}
	ans, err := x.server.Claims.Lookup(ctx, claim)
	switch {
	case err == nil:
		return x.writeRecorded(lagoonhead.ServiceCall{}, ans)
	case lagoonhead.IsKind(err, lagoonhead.KindInvalid), lagoonhead.IsKind(err, lagoonhead.KindUnknown):
		return x.claimError(err, false)
	}
	return placeErr
}

// claimedAttempt makes the only attempt of a claimed call and reads the whole response,
// so that it can be recorded before the caller gets it.
func (x *exchange) claimedAttempt(ctx context.Context, p lagoonhead.Placement, call lagoonhead.ServiceCall) (lagoonhead.RecordedAnswer, error) {
	ans, err := x.callService(ctx, fixedPlacer{p}, call)
	if err != nil {
		return lagoonhead.RecordedAnswer{}, err
	}
	defer ans.Body.Close()
	b, err := io.ReadAll(ans.Body)
	if err != nil {
		return lagoonhead.RecordedAnswer{}, fault("caller.readAnswer", lagoonhead.KindUnknown, deadlineError(ctx, err))
	}
	return lagoonhead.RecordedAnswer{Status: ans.Status, Header: ans.Header, Body: b}, nil
}

// claimError maps an error of a claim to the error for the caller and sets the run
// state, as section 10 of docs/design.md specifies. A reused idempotency key is invalid,
// an unavailable claim has not run, and any other outcome is unknown.
func (x *exchange) claimError(err error, attempted bool) error {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindInvalid:
		return refusal(http.StatusUnprocessableEntity, lagoonhead.KindInvalid, "idempotency_key_reused", "the idempotency key was used with another call")
	case lagoonhead.KindUnavailable:
		x.runState = runNo
		return err
	}
	x.runState = runUnknown
	if attempted {
		return err
	}
	return refusal(http.StatusConflict, lagoonhead.KindUnknown, "outcome_unknown", "an earlier request with this idempotency key is running, or its outcome is not known")
}

func (x *exchange) writeRecorded(call lagoonhead.ServiceCall, ans lagoonhead.RecordedAnswer) error {
	x.runState = runYes
	if ans.Replayed && ans.Omitted {
		return refusal(http.StatusConflict, lagoonhead.KindConflict, "answer_not_kept", "the call ran with status %d; its answer was too large to be kept", ans.Status)
	}
	x.copyHeader(ans.Header)
	if ans.Replayed {
		x.writer.Header().Set(headerRepeated, "true")
	}
	x.writer.WriteHeader(ans.Status)
	_, _ = x.writer.Write(ans.Body) // the response is recorded, so the caller may retry
	if ans.Replayed {
		x.recordDecision("repeated", "recorded status %d", ans.Status)
		return nil
	}
	x.recordServed(call, ans.Status, "claimed call")
	return nil
}

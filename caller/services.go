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

// headerRepeated marks the recorded answer of an earlier arrival.
const headerRepeated = "Lagoonhead-Repeated"

// maxIdempotencyBytes bounds an idempotency key.
const maxIdempotencyBytes = 255

// cleanPath reports whether all parsers read the path alike, so that the route that
// was checked is the route that the service sees. Names of models may have encoded
// slashes; they go on to no endpoint.
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
	if err := x.begin(); err != nil {
		return err
	}
	name := x.r.PathValue("name")
	path := strings.TrimPrefix(x.r.URL.Path, "/services/"+name)
	route, ok := x.directory.ServiceRoute(name, x.r.Method, path)
	if !ok {
		return refusal(http.StatusNotFound, lagoonhead.KindNotFound, "unknown_route", "service %q has no route %s %s", name, x.r.Method, path)
	}
	if err := x.authenticateRoute(route); err != nil {
		return err
	}
	key, err := x.idempotencyKey(route)
	if err != nil {
		return err
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	req, err := x.newRequest(name)
	if err != nil {
		return err
	}
	call := lagoonhead.ServiceCall{
		Request: req, Method: x.r.Method, Path: path, RawQuery: x.r.URL.RawQuery,
		Header: x.r.Header, Body: body, Idempotent: route.Idempotent, IdempotencyKey: key,
	}
	hash := callHash(name, call)
	req.SetFingerprint(xxhash.Sum64(hash[:]))
	if route.Idempotent || key == "" {
		return x.plainCall(call)
	}
	return x.claimedCall(call, lagoonhead.ClaimRequest{Workspace: x.workspace, Key: key, BodyHash: hash})
}

// authenticateRoute checks the key. On a route open to all a caller may come
// without one.
func (x *exchange) authenticateRoute(r lagoonhead.Route) error {
	if r.Open && len(x.auth) == 0 {
		return nil
	}
	return x.authenticate()
}

func (x *exchange) idempotencyKey(r lagoonhead.Route) (string, error) {
	key, err := headerOf(x.r.Header, headerIdempotency, "", parseIdempotencyKey)
	if err != nil {
		return "", err
	}
	if key == "" && r.KeyRequired && !r.Idempotent {
		return "", invalid("idempotency_key_required", "the route needs the header %s", headerIdempotency)
	}
	if key != "" && x.workspace == "" && !r.Idempotent {
		// Claims are kept by workspace; callers without one would share their keys.
		return "", invalid("idempotency_key_without_workspace", "%s needs a workspace key", headerIdempotency)
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

// callHash covers everything that makes the call what it is. Each part is preceded
// by its length, so that no two calls have the same input.
func callHash(name string, c lagoonhead.ServiceCall) [32]byte {
	h := sha256.New()
	var n [8]byte
	for _, part := range []string{name, c.Method, c.Path, c.RawQuery, c.Header.Get(contentType), string(c.Body)} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return [32]byte(h.Sum(nil))
}

// plainCall makes a call that needs no claim. Its deadline bounds the whole answer,
// unlike that of a completion, so that no service can stall a call for good.
func (x *exchange) plainCall(call lagoonhead.ServiceCall) error {
	parent := x.r.Context()
	if !call.Idempotent {
		// The caller shall not leave the outcome open by leaving early.
		parent = x.detached()
	}
	ctx, d := x.within(parent, call.Request)
	defer d.close()
	ans, err := x.callService(ctx, guardedPlacer{x}, call)
	if err != nil {
		return err
	}
	defer ans.Body.Close()
	x.run = runYes
	x.copyHeader(ans.Header)
	x.w.WriteHeader(ans.Status)
	if _, err := io.Copy(x.w, ans.Body); err != nil {
		return fault("caller.copy", lagoonhead.KindUnknown, deadlineError(ctx, err))
	}
	x.served(call, ans.Status, "endpoint %s, attempts %d", ans.Endpoint, ans.Attempts)
	return nil
}

// callService makes the call in a span of its own and keeps the run state true.
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
		x.run = runNo
	}
	if x.run == runNo {
		return nil, err
	}
	return nil, deadlineError(ctx, err)
}

func (x *exchange) copyHeader(h http.Header) {
	maps.Copy(x.w.Header(), h)
	x.w.Header().Set(headerRun, string(x.run))
}

func (x *exchange) served(call lagoonhead.ServiceCall, status int, format string, args ...any) {
	x.server.Suspects.Finished(call.Request.Fingerprint())
	x.note("status %d", status)
	x.decide("completed", format, args...)
}

// claimedCall makes a non-idempotent call under a claim. An endpoint is chosen
// before the claim is created, so that no claim waits for one: a daemon that dies
// while it holds a claim leaves its outcome unknown.
func (x *exchange) claimedCall(call lagoonhead.ServiceCall, claim lagoonhead.ClaimRequest) error {
	ctx, d := x.within(x.detached(), call.Request)
	defer d.close()
	p, err := guardedPlacer{x}.Place(ctx, call.Request, nil)
	x.run = runNo
	if err != nil {
		return x.lookUp(ctx, claim, err)
	}
	attempted := false
	ans, err := x.server.Claims.Once(ctx, claim, func(ctx context.Context) (lagoonhead.RecordedAnswer, error) {
		attempted, x.run = true, runUnknown
		return x.claimedAttempt(ctx, p, call)
	})
	if !attempted {
		p.Done(neutral)
	}
	if err != nil {
		return x.claimError(err, attempted)
	}
	return x.writeRecorded(call, ans)
}

// lookUp serves a repeat when no endpoint is free for a new call.
func (x *exchange) lookUp(ctx context.Context, claim lagoonhead.ClaimRequest, placeErr error) error {
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

// claimedAttempt makes the one attempt and reads the whole answer, so that it can
// be recorded before the caller gets it.
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

// claimError turns an error of a claim into the answer that section 10 of the
// design asks for.
func (x *exchange) claimError(err error, attempted bool) error {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindInvalid:
		return refusal(http.StatusUnprocessableEntity, lagoonhead.KindInvalid, "idempotency_key_reused", "the idempotency key was used with another call")
	case lagoonhead.KindUnavailable:
		x.run = runNo
		return err
	}
	x.run = runUnknown
	if attempted {
		return err
	}
	return refusal(http.StatusConflict, lagoonhead.KindUnknown, "outcome_unknown", "an earlier arrival with this idempotency key is running, or its outcome is not known")
}

func (x *exchange) writeRecorded(call lagoonhead.ServiceCall, ans lagoonhead.RecordedAnswer) error {
	x.run = runYes
	if ans.Repeated && ans.Omitted {
		return refusal(http.StatusConflict, lagoonhead.KindConflict, "answer_not_kept", "the call ran with status %d; its answer was too large to be kept", ans.Status)
	}
	x.copyHeader(ans.Header)
	if ans.Repeated {
		x.w.Header().Set(headerRepeated, "true")
	}
	x.w.WriteHeader(ans.Status)
	_, _ = x.w.Write(ans.Body) // the outcome is recorded; the caller may ask again
	if ans.Repeated {
		x.decide("repeated", "recorded status %d", ans.Status)
		return nil
	}
	x.served(call, ans.Status, "claimed call")
	return nil
}

package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/bodybudget"
)

// readBody reads the whole body, whose memory is counted until the end of the exchange. copies is the
// number of its copies that serving the request takes besides. It fails when reading takes longer than
// Limits.BodyTimeout.
func (x *exchange) readBody(copies int64) ([]byte, error) {
	l, ctx := x.server.Limits, x.httpRequest.Context()
	if x.httpRequest.ContentLength > l.MaxBodyBytes {
		return nil, tooLarge(l.MaxBodyBytes)
	}
	x.bodyRead = true
	body, err := x.server.Bodies.Read(ctx, bodybudget.Source{
		Reader: x.httpRequest.Body, Length: x.httpRequest.ContentLength, Limit: l.MaxBodyBytes, Group: string(x.workspace), Timeout: l.BodyTimeout,
		SetDeadline: http.NewResponseController(x.writer).SetReadDeadline,
	})
	if err != nil {
		x.writer.Header().Set("Connection", "close") // a part of the body is unread
		// A caller that is still sending gets the refusal only if the rest is read.
		x.bodyRead = !bodybudget.IsTooLarge(err) && !lagoonhead.IsKind(err, lagoonhead.KindUnavailable)
		return nil, bodyError(err, l.MaxBodyBytes)
	}
	x.body = body
	if err := body.Reserve(ctx, copies*int64(len(body.Bytes()))); err != nil {
		return nil, bodyError(err, l.MaxBodyBytes)
	}
	return body.Bytes(), nil
}

// bodyError returns the error of a request whose body was not read, or of which no copies can be made.
func bodyError(err error, maxBodyBytes int64) error {
	switch {
	case bodybudget.IsTooLarge(err):
		return tooLarge(maxBodyBytes)
	case lagoonhead.IsKind(err, lagoonhead.KindUnavailable):
		return fault("caller.readBody", lagoonhead.KindUnavailable, err)
	default:
		return invalid("truncated_body", "the body ended early or did not arrive in time")
	}
}

func tooLarge(n int64) error {
	return refusal(http.StatusRequestEntityTooLarge, lagoonhead.KindInvalid, "body_too_large", "the body has more than %d bytes", n)
}

// newRequest returns the request as admission and placement see it; serves is the name
// of the model or service. Its priority and deadline come from the caller's headers, or
// else from the rule of the workspace.
func (x *exchange) newRequest(serves string) (*lagoonhead.Request, error) {
	rule := x.directory.Rule(x.workspace, serves)
	r := lagoonhead.NewRequest(x.id, x.workspace, serves, x.arrived)
	priority, err := parseHeader(x.httpRequest.Header, headerPriority, rule.Priority, parsePriority)
	if err != nil {
		return nil, err
	}
	d := rule.Deadline
	if d == 0 {
		d = x.server.Limits.DefaultDeadline
	}
	d, err = parseHeader(x.httpRequest.Header, headerDeadline, d, x.parseDeadline)
	if err != nil {
		return nil, err
	}
	r.SetPriority(priority)
	r.SetDeadline(x.arrived + d)
	x.note("workspace %s rule %s priority %s deadline %s", x.workspace, rule.Name, priority, d)
	return r, nil
}

// parseHeader parses a header that may occur at most once, and returns defaultValue
// when it is absent.
func parseHeader[T any](h http.Header, name string, defaultValue T, parse func(string) (T, error)) (T, error) {
	vs := h.Values(name)
	if len(vs) == 0 {
		return defaultValue, nil
	}
	if len(vs) > 1 {
		return defaultValue, invalid("invalid_header", "header %s occurs %d times; it may occur once", name, len(vs))
	}
	return parse(vs[0])
}

func parsePriority(v string) (lagoonhead.Priority, error) {
	p, ok := lagoonhead.ParsePriority(v)
	if !ok {
		return p, invalid("invalid_header", "%s must be interactive, normal or deferrable", headerPriority)
	}
	return p, nil
}

func (x *exchange) parseDeadline(v string) (time.Duration, error) {
	maxAllowed := x.server.Limits.MaxDeadline.Milliseconds()
	n, err := strconv.ParseUint(v, 10, 63)
	if err != nil || n == 0 || n > math.MaxInt64/uint64(time.Millisecond) || int64(n) > maxAllowed {
		return 0, invalid("invalid_header", "%s must be a whole number from 1 to %d", headerDeadline, maxAllowed)
	}
	return time.Duration(n) * time.Millisecond, nil
}

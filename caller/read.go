package caller

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"context"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// pastTime is a read deadline in the past, which aborts a blocked read at once.
var pastTime = time.Unix(1, 0)

// readBody reads the whole body. It fails when that takes longer than
// Limits.BodyTimeout.
func (x *exchange) readBody() ([]byte, error) {
	l := x.server.Limits
	if x.httpRequest.ContentLength > l.MaxBodyBytes {
		return nil, tooLarge(l.MaxBodyBytes)
	}
	x.bodyRead = true
	stop := x.limitReadTime(l.BodyTimeout)
	defer stop()
	b, err := io.ReadAll(http.MaxBytesReader(x.writer, x.httpRequest.Body, l.MaxBodyBytes))
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return nil, tooLarge(l.MaxBodyBytes)
	}
	if err != nil {
		return nil, invalid("truncated_body", "the body ended early or did not arrive in time")
	}
	return b, nil
}

func tooLarge(n int64) error {
	return refusal(http.StatusRequestEntityTooLarge, lagoonhead.KindInvalid, "body_too_large", "the body has more than %d bytes", n)
}

// limitReadTime aborts reads from the caller's connection after d, unless stop is
// called before.
func (x *exchange) limitReadTime(d time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(x.httpRequest.Context())
	var decided atomic.Bool // set by expiry or by stop, whichever comes first
	go func() {
		if x.server.Timer.Sleep(ctx, d) == nil && decided.CompareAndSwap(false, true) {
			_ = http.NewResponseController(x.writer).SetReadDeadline(pastTime)
		}
	}()
	return func() {
		decided.Store(true)
		cancel()
	}
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

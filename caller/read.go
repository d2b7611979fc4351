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

// longAgo is a deadline in the past; it ends a read that is waiting.
var longAgo = time.Unix(1, 0)

// readBody reads the whole body within Limits.BodyTimeout.
func (x *exchange) readBody() ([]byte, error) {
	l := x.server.Limits
	if x.r.ContentLength > l.BodyBytes {
		return nil, tooLarge(l.BodyBytes)
	}
	stop := x.guardRead(l.BodyTimeout)
	defer stop()
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, l.BodyBytes))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(l.BodyBytes)
	}
	if err != nil {
		return nil, invalid("truncated_body", "the body ended early")
	}
	return b, nil
}

func tooLarge(n int64) error {
	return refusal(http.StatusRequestEntityTooLarge, lagoonhead.KindInvalid, "body_too_large", "the body has more than %d bytes", n)
}

// guardRead ends reads from the caller after d, until stop is called.
func (x *exchange) guardRead(d time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(x.r.Context())
	var decided atomic.Bool
	go func() {
		if x.server.Timer.Sleep(ctx, d) == nil && decided.CompareAndSwap(false, true) {
			_ = http.NewResponseController(x.w).SetReadDeadline(longAgo)
		}
	}()
	return func() {
		decided.Store(true)
		cancel()
	}
}

// newRequest returns what the decisions know of the request, from the rule of the
// workspace and the caller's headers.
func (x *exchange) newRequest(serves string) (*lagoonhead.Request, error) {
	rule := x.directory.Rule(x.workspace, serves)
	r := lagoonhead.NewRequest(x.id, x.workspace, serves, x.arrived)
	priority, err := headerOf(x.r.Header, headerPriority, rule.Priority, parsePriority)
	if err != nil {
		return nil, err
	}
	d := rule.Deadline
	if d == 0 {
		d = x.server.Limits.DefaultDeadline
	}
	d, err = headerOf(x.r.Header, headerDeadline, d, x.parseDeadline)
	if err != nil {
		return nil, err
	}
	r.SetPriority(priority)
	r.SetDeadline(x.arrived + d)
	x.note("workspace %s rule %s priority %s deadline %s", x.workspace, rule.Name, priority, d)
	return r, nil
}

// headerOf parses a header that may come at most once.
func headerOf[T any](h http.Header, name string, absent T, parse func(string) (T, error)) (T, error) {
	vs := h.Values(name)
	if len(vs) == 0 {
		return absent, nil
	}
	if len(vs) > 1 {
		return absent, invalid("invalid_header", "header %s came %d times", name, len(vs))
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
	most := x.server.Limits.LongestDeadline.Milliseconds()
	n, err := strconv.ParseUint(v, 10, 63)
	if err != nil || n == 0 || n > math.MaxInt64/uint64(time.Millisecond) || int64(n) > most {
		return 0, invalid("invalid_header", "%s must be a whole number from 1 to %d", headerDeadline, most)
	}
	return time.Duration(n) * time.Millisecond, nil
}

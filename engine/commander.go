package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const opOrder = "engine.order"

// Commander sends orders to engines. Each order goes out once, on a connection of
// its own, and is never repeated here: a repeat is the decision of the order's
// ledger. The exported fields are set before the first use.
type Commander struct {
	// Timer must be set.
	Timer timer.Timer
	// Authority returns an error when this process may no longer give orders. It is
	// asked after the dial and right before the write, so that a process that was
	// paused before the check sends nothing, and one paused after it finds that the
	// engine has closed the silent connection. It must be set.
	Authority func() error
	// Timeout bounds the whole exchange; 0 means 2 s, the time that a new holder of
	// the duty waits before its first order.
	Timeout time.Duration
	// DialTimeout bounds the opening of the connection; 0 means 1 s.
	DialTimeout time.Duration

	once     sync.Once
	all      expvar.Map
	sent     expvar.Int
	withheld expvar.Int
	unknown  expvar.Int
}

var _ lagoonhead.EngineCommander = (*Commander)(nil)

// Vars returns the counters.
func (c *Commander) Vars() *expvar.Map {
	c.once.Do(func() {
		c.all.Set("ordersSent", &c.sent)
		c.all.Set("ordersWithheld", &c.withheld)
		c.all.Set("ordersUnknown", &c.unknown)
	})
	return &c.all
}

// SendOrder sends the order once. KindUnavailable means that nothing was sent or
// that the engine did not take the order, KindStale that the authority was lost
// or that the engine refused, KindUnknown that the engine may have taken it.
func (c *Commander) SendOrder(ctx context.Context, e lagoonhead.Endpoint, o lagoonhead.EngineOrder) error {
	ctx, span := startSpan(ctx, opOrder, e)
	err := c.send(ctx, e, o)
	endSpan(span, err)
	return err
}

func (c *Commander) send(ctx context.Context, e lagoonhead.Endpoint, o lagoonhead.EngineOrder) error {
	r, text, err := orderRequest(ctx, e, o)
	if err != nil {
		return fail(opOrder, lagoonhead.KindInvalid, err)
	}
	limit := c.Timeout
	if limit <= 0 {
		limit = defaultCallTimeout
	}
	ctx, stop := withLimit(ctx, c.Timer, limit)
	defer stop()
	conn, err := dialer(c.DialTimeout, limit).DialContext(ctx, "tcp", hostPort(r))
	if err != nil {
		return fail(opOrder, lagoonhead.KindUnavailable, err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	if err := c.write(conn, text); err != nil {
		return err
	}
	return c.answer(conn, r)
}

// orderRequest returns the request and its bytes on the wire.
func orderRequest(ctx context.Context, e lagoonhead.Endpoint, o lagoonhead.EngineOrder) (*http.Request, []byte, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return nil, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address()+pathOrders, bytes.NewReader(b))
	if err != nil {
		return nil, nil, err
	}
	if r.URL.Scheme != "http" {
		return nil, nil, errors.Newf("scheme %q is not supported for orders", r.URL.Scheme)
	}
	r.Header.Set("Content-Type", contentJSON)
	passSpan(ctx, r.Header)
	r.Close = true
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return nil, nil, err
	}
	return r, text.Bytes(), nil
}

func hostPort(r *http.Request) string {
	if r.URL.Port() != "" {
		return r.URL.Host
	}
	return net.JoinHostPort(r.URL.Hostname(), "80")
}

// write checks the authority and writes the order at once.
func (c *Commander) write(conn net.Conn, text []byte) error {
	if err := c.Authority(); err != nil {
		c.withheld.Add(1)
		return fail(opOrder, lagoonhead.KindStale, err)
	}
	n, err := conn.Write(text)
	if err == nil {
		c.sent.Add(1)
		return nil
	}
	if n == 0 {
		return fail(opOrder, lagoonhead.KindUnavailable, err)
	}
	c.unknown.Add(1)
	return fail(opOrder, lagoonhead.KindUnknown, err)
}

func (c *Commander) answer(conn net.Conn, r *http.Request) error {
	res, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxAnswerBytes)), r)
	if err != nil {
		c.unknown.Add(1)
		return fail(opOrder, lagoonhead.KindUnknown, err)
	}
	defer res.Body.Close()
	if res.StatusCode/100 == 2 {
		return nil
	}
	if res.StatusCode == http.StatusConflict {
		return fail(opOrder, lagoonhead.KindStale, statusError(opOrder, res))
	}
	err = statusError(opOrder, res)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		c.unknown.Add(1)
	}
	return err
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httponce"
	"github.com/lagoonhead/lagoonhead/timer"
)

const opOrder = "engine.order"

// Commander sends orders to engines. It sends each order at most once, on a new
// connection, and never retries; package order decides on retries. Set the exported
// fields before the first use.
type Commander struct {
	// Timer must be set.
	Timer timer.Timer
	// Authority returns an error when this process may no longer send orders. It is
	// called after the dial and right before the write. A process that was paused before
	// the call sends nothing. If a process is paused after it, the engine closes the idle
	// connection meanwhile and does not get the order. It must be set.
	Authority func() error
	// Timeout bounds the whole call; 0 means 2 s, the time that a daemon waits between
	// gaining the lease for sending orders and its first order.
	Timeout time.Duration
	// DialTimeout bounds the dial; 0 means 1 s.
	DialTimeout time.Duration

	once     sync.Once
	vars     expvar.Map
	sent     expvar.Int
	withheld expvar.Int
	unknown  expvar.Int
}

var _ lagoonhead.EngineCommander = (*Commander)(nil)

// Vars returns the counters.
func (c *Commander) Vars() *expvar.Map {
	c.once.Do(func() {
		c.vars.Set("ordersSent", &c.sent)
		c.vars.Set("ordersWithheld", &c.withheld)
		c.vars.Set("ordersUnknown", &c.unknown)
	})
	return &c.vars
}

// SendOrder sends the order at most once. KindUnavailable means that nothing was sent
// or that the engine did not apply the order, KindStale that Authority returned an
// error or that the engine rejected the order as outdated, and KindUnknown that the
// engine may have applied it.
func (c *Commander) SendOrder(ctx context.Context, e lagoonhead.Endpoint, o lagoonhead.EngineOrder) error {
	ctx, span := startSpan(ctx, opOrder, e)
	err := c.send(ctx, e, o)
	endSpan(span, err)
	return err
}

func (c *Commander) send(ctx context.Context, e lagoonhead.Endpoint, o lagoonhead.EngineOrder) error {
	r, err := orderRequest(ctx, e, o)
	if err != nil {
		return fail(opOrder, lagoonhead.KindInvalid, err)
	}
	limit := c.Timeout
	if limit <= 0 {
		limit = defaultCallTimeout
	}
	ctx, stop := withTimeout(ctx, c.Timer, limit)
	defer stop()
	client := httponce.Client{Dialer: *dialer(c.DialTimeout, limit)}
	res, err := client.Do(ctx, r, c.Authority)
	if err != nil {
		return c.sendError(err)
	}
	defer res.Body.Close()
	c.sent.Add(1)
	return c.checkResponse(res)
}

// sendError counts an order that got no response and returns its error.
func (c *Commander) sendError(err error) error {
	k := lagoonhead.KindOf(err)
	switch k {
	case lagoonhead.KindStale:
		c.withheld.Add(1)
	case lagoonhead.KindUnknown:
		c.unknown.Add(1)
	}
	return fail(opOrder, k, err)
}

func orderRequest(ctx context.Context, e lagoonhead.Endpoint, o lagoonhead.EngineOrder) (*http.Request, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address()+pathOrders, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", contentJSON)
	injectSpan(ctx, r.Header)
	return r, nil
}

// checkResponse returns the error for a response that does not accept the order.
func (c *Commander) checkResponse(res *http.Response) error {
	if res.StatusCode/100 == 2 {
		return nil
	}
	if res.StatusCode == http.StatusConflict {
		return fail(opOrder, lagoonhead.KindStale, statusError(opOrder, res))
	}
	err := statusError(opOrder, res)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		c.unknown.Add(1)
	}
	return err
}

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
	r, err := orderRequest(ctx, e, o)
	if err != nil {
		return fail(opOrder, lagoonhead.KindInvalid, err)
	}
	limit := c.Timeout
	if limit <= 0 {
		limit = defaultCallTimeout
	}
	ctx, stop := withLimit(ctx, c.Timer, limit)
	defer stop()
	client := httponce.Client{Dialer: *dialer(c.DialTimeout, limit)}
	res, err := client.Do(ctx, r, c.Authority)
	if err != nil {
		return c.notSent(err)
	}
	defer res.Body.Close()
	c.sent.Add(1)
	return c.answer(res)
}

// notSent counts an order without an answer and returns its error.
func (c *Commander) notSent(err error) error {
	k := lagoonhead.KindOf(err)
	switch k {
	case lagoonhead.KindStale:
		c.withheld.Add(1)
	case lagoonhead.KindUnknown:
		c.unknown.Add(1)
	}
	return fail(opOrder, k, err)
}

// orderRequest returns the request of an order.
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
	passSpan(ctx, r.Header)
	return r, nil
}

func (c *Commander) answer(res *http.Response) error {
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

package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httppool"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Querier reads load reports and KV cache events from engines. Set the exported fields
// before the first use.
type Querier struct {
	// Timer must be set.
	Timer timer.Timer
	// Timeout bounds one query; 0 means 2 s.
	Timeout time.Duration
	// DialTimeout bounds the dial; 0 means 1 s.
	DialTimeout time.Duration

	once  sync.Once
	pools httppool.Pools
}

var _ lagoonhead.EngineQuerier = (*Querier)(nil)

// Load returns the engine's current load report.
func (q *Querier) Load(ctx context.Context, e lagoonhead.Endpoint) (lagoonhead.LoadReport, error) {
	var l lagoonhead.LoadReport
	if err := q.get(ctx, "engine.load", e, pathLoad, &l); err != nil {
		return lagoonhead.LoadReport{}, err
	}
	l.Endpoint = e.ID()
	return l, nil
}

// CacheEvents returns the KV cache events whose number is greater than after.
func (q *Querier) CacheEvents(ctx context.Context, e lagoonhead.Endpoint, after int64) ([]lagoonhead.CacheEvent, error) {
	var v []lagoonhead.CacheEvent
	path := pathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	if err := q.get(ctx, "engine.cacheEvents", e, path, &v); err != nil {
		return nil, err
	}
	return v, nil
}

// get decodes the JSON response to a GET request into v.
func (q *Querier) get(ctx context.Context, op string, e lagoonhead.Endpoint, path string, v any) error {
	q.once.Do(func() { q.pools.Dialer, q.pools.IdleTimeout = dialer(q.DialTimeout, 0), idleConnTimeout })
	limit := q.Timeout
	if limit <= 0 {
		limit = defaultCallTimeout
	}
	ctx, stop := withTimeout(ctx, q.Timer, limit)
	defer stop()
	var x httppool.Exchange
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Address()+path, nil)
	if err != nil {
		return fail(op, lagoonhead.KindInvalid, err)
	}
	t := q.pools.Get(e.Address())
	res, err := t.Do(r, &x)
	if err != nil {
		q.pools.Drop(e.Address(), t)
		return fail(op, kindOfFailure(ctx, err, x.Written()), err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return statusError(op, res)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		q.pools.Drop(e.Address(), t)
		return fail(op, kindOfFailure(ctx, err, true), err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fail(op, lagoonhead.KindUnknown, err)
	}
	return nil
}

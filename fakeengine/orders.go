package fakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 64 << 10

// orderState is what an engine remembers of its orders.
type orderState struct {
	applied int64
	last    lagoonhead.EngineOrder
}

// OrderRecord is an order that reached the engine.
type OrderRecord struct {
	Order lagoonhead.EngineOrder `json:"order"`
	// Applied is false when the engine refused it.
	Applied bool `json:"applied"`
	// Cut is how many running requests the change cut off.
	Cut int `json:"cut"`
	// At is the time since boot.
	At time.Duration `json:"at"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o lagoonhead.EngineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	status, err := e.takeOrder(o)
	e.mu.Lock()
	drop := take(&e.faults.DropOrderAnswers)
	e.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		refuse(w, status, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// takeOrder checks and applies an order. An order that repeats the last one
// changes nothing.
func (e *Engine) takeOrder(o lagoonhead.EngineOrder) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := OrderRecord{Order: o, At: e.Timer.Now()}
	defer func() { e.taken = append(e.taken, rec) }()
	switch o.Verb {
	case lagoonhead.OrderRole, lagoonhead.OrderModel, lagoonhead.OrderAdapter:
	default:
		return http.StatusBadRequest, errors.Newf("verb %q is not known", o.Verb)
	}
	if e.Fenced {
		if err := e.checkFence(o); err != nil {
			return http.StatusConflict, err
		}
	}
	rec.Applied = true
	if o == e.orders.last {
		return 0, nil
	}
	e.orders = orderState{applied: max(e.orders.applied, o.Sequence), last: o}
	rec.Cut = e.apply(o)
	return 0, nil
}

func (e *Engine) checkFence(o lagoonhead.EngineOrder) error {
	if o.Incarnation != e.identity {
		return errors.Newf("the order is for incarnation %q", o.Incarnation)
	}
	if o.Sequence < e.orders.applied {
		return errors.Newf("sequence %d is older than %d", o.Sequence, e.orders.applied)
	}
	if o.Sequence == e.orders.applied && e.orders.last != o {
		return errors.Newf("sequence %d was used for another order", o.Sequence)
	}
	return nil
}

// apply begins the change and returns how many requests it cut off. The caller
// holds the lock.
func (e *Engine) apply(o lagoonhead.EngineOrder) int {
	cut := 0
	var d time.Duration
	switch o.Verb {
	case lagoonhead.OrderAdapter:
		d = e.RoleTime
	case lagoonhead.OrderRole:
		d = e.RoleTime
		cut = e.cutOff()
	case lagoonhead.OrderModel:
		d = e.loadTime()
		cut = e.cutOff()
	}
	e.changing++
	if d <= 0 {
		e.finishChange(o)
		return cut
	}
	life, due := e.life, e.Timer.Now()+d
	go func() {
		if e.Timer.Sleep(life, due-e.Timer.Now()) != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if life.Err() == nil {
			e.finishChange(o)
		}
	}()
	return cut
}

func (e *Engine) loadTime() time.Duration {
	if e.LoadRate <= 0 {
		return 0
	}
	return time.Duration(e.ModelBytes / e.LoadRate * float64(time.Second))
}

// cutOff ends all requests, as a real change of role or model would. An engine
// must be drained first; the count in the record shows when it was not.
func (e *Engine) cutOff() int {
	n := e.slots.running + len(e.slots.waiting)
	e.changed(errChange)
	e.change, e.changed = context.WithCancelCause(e.life)
	return n
}

func (e *Engine) finishChange(o lagoonhead.EngineOrder) {
	e.changing--
	switch o.Verb {
	case lagoonhead.OrderRole:
		e.role = lagoonhead.Role(o.Value)
	case lagoonhead.OrderModel:
		e.model = o.Value
		e.blocks = newCache(e.CacheBlocks, e.CacheLag, e.CacheGapEvery)
	case lagoonhead.OrderAdapter:
		e.adapters[o.Value] = true
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

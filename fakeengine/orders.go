package fakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// maxOrderBytes is the size limit of an order or of a request to set faults.
const maxOrderBytes = 64 << 10

// orderState is what the process needs to check the sequence numbers of orders.
type orderState struct {
	appliedSequence int64 // highest one applied
	lastOrder       lagoonhead.EngineOrder
}

// OrderRecord is an order that the engine received.
type OrderRecord struct {
	Order lagoonhead.EngineOrder `json:"order"`
	// Applied is false when the engine refused the order.
	Applied bool `json:"applied"`
	// AbortedRequests is how many running and waiting requests the order aborted.
	AbortedRequests int `json:"cut"`
	// At is the time of receipt since boot, by Engine.Timer.
	At time.Duration `json:"at"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o lagoonhead.EngineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	status, err := e.handleOrder(o)
	e.mu.Lock()
	drop := consume(&e.faults.DropOrderAnswers)
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

// handleOrder checks, applies and records an order. A duplicate of the last order
// succeeds and changes nothing. With an error it returns the HTTP status.
func (e *Engine) handleOrder(o lagoonhead.EngineOrder) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := OrderRecord{Order: o, At: e.Timer.Now()}
	defer func() { e.orderRecords = append(e.orderRecords, rec) }()
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
	if o == e.orders.lastOrder {
		return 0, nil
	}
	e.orders = orderState{appliedSequence: max(e.orders.appliedSequence, o.Sequence), lastOrder: o}
	rec.AbortedRequests = e.apply(o)
	return 0, nil
}

// checkFence returns an error for an order for another incarnation and for one
// with a sequence number that is outdated or belongs to another order.
func (e *Engine) checkFence(o lagoonhead.EngineOrder) error {
	if o.Incarnation != e.incarnation {
		return errors.Newf("the order is for incarnation %q", o.Incarnation)
	}
	if o.Sequence < e.orders.appliedSequence {
		return errors.Newf("sequence %d is older than %d", o.Sequence, e.orders.appliedSequence)
	}
	if o.Sequence == e.orders.appliedSequence && e.orders.lastOrder != o {
		return errors.Newf("sequence %d was used for another order", o.Sequence)
	}
	return nil
}

// apply begins the change and returns how many requests it aborted. The caller
// holds e.mu.
func (e *Engine) apply(o lagoonhead.EngineOrder) int {
	aborted := 0
	var d time.Duration
	switch o.Verb {
	case lagoonhead.OrderAdapter:
		d = e.ChangeDuration
	case lagoonhead.OrderRole:
		d = e.ChangeDuration
		aborted = e.abortRequests()
	case lagoonhead.OrderModel:
		d = e.modelLoadTime()
		aborted = e.abortRequests()
	}
	e.pendingChanges++
	if d <= 0 {
		e.finishChange(o)
		return aborted
	}
	processCtx, due := e.processCtx, e.Timer.Now()+d
	go func() {
		if e.Timer.Sleep(processCtx, due-e.Timer.Now()) != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if processCtx.Err() == nil {
			e.finishChange(o)
		}
	}()
	return aborted
}

// modelLoadTime returns how long loading a model takes.
func (e *Engine) modelLoadTime() time.Duration {
	if e.ModelLoadRate <= 0 {
		return 0
	}
	return time.Duration(e.ModelBytes / e.ModelLoadRate * float64(time.Second))
}

// abortRequests cancels all running and waiting requests, as a change of role or
// model does in a real engine, and returns their number. An engine must be drained
// before such a change; the number in the record shows when it was not.
func (e *Engine) abortRequests() int {
	n := e.slots.running + len(e.slots.waiting)
	e.cancelRuns(errChange)
	e.runsCtx, e.cancelRuns = context.WithCancelCause(e.processCtx)
	return n
}

// finishChange applies the result of an order and ends the change. The caller holds
// e.mu.
func (e *Engine) finishChange(o lagoonhead.EngineOrder) {
	e.pendingChanges--
	switch o.Verb {
	case lagoonhead.OrderRole:
		e.role = lagoonhead.Role(o.Value)
	case lagoonhead.OrderModel:
		e.model = o.Value
		e.cache = newCache(e.CacheBlocks, e.CacheEventDelay, e.CacheEventLossInterval)
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

package billing

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// OpenKey is where the holder of the duty keeps the counts of the windows that are not
	// sealed. Without it they are lost when all VMs lose power.
	OpenKey = "usage/open"
	// openWindows is the number of windows that are kept: the open one, and the one that
	// has ended and may not be sealed.
	openWindows = 2
	// openInterval is the time between two writes of them. Each write ends the watches of
	// all daemons, which last a second at most.
	openInterval = time.Second
	// openTimeout bounds a call of the store for them, so that a slow store does not keep
	// the reports back.
	openTimeout = 400 * time.Millisecond
)

// processCounts are the counts of one daemon process in one window, in the stored form.
type processCounts struct {
	Incarnation lagoonhead.Incarnation           `json:"incarnation"`
	Window      int64                            `json:"window"`
	Requests    map[lagoonhead.WorkspaceID]int64 `json:"requests"`
}

// open returns the counts of all processes in the newest windows, in a fixed order.
func (t *Tally) open() []processCounts {
	oldest := t.Current() - openWindows + 1
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []processCounts
	index := make(map[countKey]int) // of a process and window, without workspace
	for k, n := range t.counts {
		if k.window < oldest {
			continue
		}
		process := countKey{incarnation: k.incarnation, window: k.window}
		i, ok := index[process]
		if !ok {
			i = len(list)
			index[process] = i
			list = append(list, processCounts{k.incarnation, k.window, make(map[lagoonhead.WorkspaceID]int64)})
		}
		list[i].Requests[k.workspace] = n
	}
	slices.SortFunc(list, func(a, b processCounts) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// restore takes counts that an earlier holder has kept. Peers hear of those whose process
// is gone with the next heartbeats.
func (t *Tally) restore(list []processCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, p := range list {
		for w, n := range p.Requests {
			k := countKey{p.Incarnation, p.Window, w}
			t.counts[k] = max(t.counts[k], n)
		}
	}
}

// loadOpen takes in what the former holder has kept. It reports whether the store has
// answered.
func (r *WindowReporter) loadOpen(ctx context.Context) bool {
	if r.loaded {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, OpenKey)
	switch {
	case lagoonhead.IsKind(err, lagoonhead.KindNotFound):
	case err != nil:
		r.Log.Debug("counts of open usage windows not read", zap.Error(err))
		return false
	default:
		var list []processCounts
		if err := decode("billing.open", e.Value, &list); err != nil {
			// They would have been lost without this key as well.
			r.Log.Error("counts of open usage windows cannot be read", zap.Error(err))
			break
		}
		r.Tally.restore(list)
	}
	r.loaded = true
	return true
}

// saveOpen keeps the counts for the next holder. A write that fails or comes late is made
// up for by the next one.
func (r *WindowReporter) saveOpen(ctx context.Context) {
	now := r.Timer.Now()
	if now < r.saveNext {
		return
	}
	r.saveNext = now + openInterval
	list := r.Tally.open()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	if _, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: OpenKey, Value: encode(list), IfRevision: lagoonhead.AnyRevision}); err != nil {
		r.vars.Add("openNotSaved", 1)
		r.Log.Debug("counts of open usage windows not saved", zap.Error(err))
	}
}

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
	// OpenCountsKey is the key under which the holder of the duty stores the counts of the
	// windows that are not sealed. Without it they would be lost if all VMs lost power.
	OpenCountsKey = "usage/open"
	// openWindows is the number of windows whose counts are stored: the open one, and the
	// last one, which may not be sealed yet.
	openWindows = 2
	// openInterval is the time between two writes of OpenCountsKey, and between two requests
	// for the counts of other daemons. What was counted since is lost if all VMs lose power.
	openInterval = time.Second
	// openTimeout bounds a call of the store for OpenCountsKey, so that a slow store does not
	// delay the reports.
	openTimeout = 400 * time.Millisecond
)

// processCounts holds the counts of one daemon process in one window, as stored under
// OpenCountsKey.
type processCounts struct {
	Incarnation lagoonhead.Incarnation           `json:"incarnation"`
	Window      int64                            `json:"window"`
	Requests    map[lagoonhead.WorkspaceID]int64 `json:"requests"`
}

// openCounts returns the counts of all processes in the newest openWindows windows, ordered by
// window and incarnation.
func (t *Tally) openCounts() []processCounts {
	oldest := t.Current() - openWindows + 1
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []processCounts
	index := make(map[countKey]int) // index in list by process and window; the workspace is empty
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

// restore merges the counts that an earlier holder has stored. Peers receive the counts of
// processes that no longer run with the next heartbeats.
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

// loadOpen restores the counts that the former holder has stored. It reports whether the
// store has answered.
func (r *WindowReporter) loadOpen(ctx context.Context) bool {
	if r.restored {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, OpenCountsKey)
	switch {
	case lagoonhead.IsKind(err, lagoonhead.KindNotFound):
	case err != nil:
		r.Log.Debug("counts of open usage windows not loaded", zap.Error(err))
		return false
	default:
		var list []processCounts
		if err := decode("billing.open", e.Value, &list); err != nil {
			// Reporting goes on without them, as if the key were absent.
			r.Log.Error("counts of open usage windows cannot be decoded", zap.Error(err))
			break
		}
		r.Tally.restore(list)
	}
	r.restored = true
	return true
}

// saveOpen stores the counts for the next holder. A failed or late write needs no retry:
// the next one, after openInterval, replaces the stored counts by newer ones.
func (r *WindowReporter) saveOpen(ctx context.Context) {
	now := r.Timer.Now()
	if now < r.nextSave {
		return
	}
	r.nextSave = now + openInterval
	list := r.Tally.openCounts()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	if _, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: OpenCountsKey, Value: encode(list), IfRevision: lagoonhead.AnyRevision}); err != nil {
		r.vars.Add("openNotSaved", 1)
		r.Log.Debug("counts of open usage windows not saved", zap.Error(err))
	}
}

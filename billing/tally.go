package billing

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// tallyWindows is the number of windows that a Tally keeps. It covers the time until a
// window is reported, including a change of the duty's holder.
const tallyWindows = 6

// sentWindows is the number of windows whose counts an attached daemon sends to its hub: the
// open one, and one that may not be sealed yet.
const sentWindows = 2

// A daemon counts as silent, so that its peers pass on its counts, after minSilence and
// minSilentGaps times the usual time between two heartbeats of a peer, whichever is
// longer. With less, every daemon of a large fleet would pass on the counts of most others.
const (
	minSilence    = time.Second
	minSilentGaps = 4
)

// Count is the number of requests of a workspace that started at one daemon process in a
// window.
type Count struct {
	Incarnation lagoonhead.Incarnation
	Window      int64
	Workspace   lagoonhead.WorkspaceID
	Requests    int64
}

type countKey struct {
	incarnation lagoonhead.Incarnation
	window      int64
	workspace   lagoonhead.WorkspaceID
}

// Tally counts the requests that start, by window of the wall clock, and keeps the counts
// of peers. A count only grows, so the larger one of two is the newer. The exported fields
// are set before use; the methods are safe for concurrent use.
type Tally struct {
	Incarnation lagoonhead.Incarnation
	Timer       timer.Timer
	// Window is the length of a window.
	Window time.Duration
	// PeerInterval returns the usual time between two heartbeats of one peer.
	// Optional.
	PeerInterval func() time.Duration

	mu           sync.Mutex
	counts       map[countKey]int64
	lastHeard    map[lagoonhead.Incarnation]time.Duration
	newestWindow int64
	// sealed holds the figures of the windows that this process has sealed, or has found sealed.
	sealed map[int64][]lagoonhead.WorkspaceUsage
}

// Current returns the number of the open window. Windows are numbered from the start of
// 1970.
func (t *Tally) Current() int64 { return t.Timer.Wall().UnixNano() / int64(t.Window) }

// End returns the end of a window.
func (t *Tally) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.Window)) }

// CountRequest counts a request that starts now.
func (t *Tally) CountRequest(w lagoonhead.WorkspaceID) {
	window := t.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.counts[countKey{t.Incarnation, window, w}]++
	t.dropOldWindows(window)
}

func (t *Tally) init() {
	if t.counts == nil {
		t.counts = make(map[countKey]int64)
		t.lastHeard = make(map[lagoonhead.Incarnation]time.Duration)
	}
}

// dropOldWindows drops the counts of old windows when a new one begins.
func (t *Tally) dropOldWindows(window int64) {
	if window <= t.newestWindow {
		return
	}
	t.newestWindow = window
	for k := range t.counts {
		if k.window <= window-tallyWindows {
			delete(t.counts, k)
		}
	}
	maps.DeleteFunc(t.sealed, func(n int64, _ []lagoonhead.WorkspaceUsage) bool { return n <= window-tallyWindows })
}

// setSealed records the figures of a sealed window. They outlast a restore of the store that
// loses the seal.
func (t *Tally) setSealed(n int64, usage []lagoonhead.WorkspaceUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed == nil {
		t.sealed = make(map[int64][]lagoonhead.WorkspaceUsage)
	}
	t.sealed[n] = usage
}

// sealedFigures returns the figures of a sealed window if this process knows them.
func (t *Tally) sealedFigures(n int64) (usage []lagoonhead.WorkspaceUsage, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage, ok = t.sealed[n]
	return usage, ok
}

// MergePeer merges the counts that a peer process has sent.
func (t *Tally) MergePeer(from lagoonhead.Incarnation, counts []Count) {
	now := t.Timer.Now()
	t.mu.Lock()
	t.init()
	t.lastHeard[from] = now
	t.mu.Unlock()
	t.Merge(counts)
}

// Merge merges counts of other processes.
func (t *Tally) Merge(counts []Count) {
	current := t.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, c := range counts {
		if c.Incarnation == t.Incarnation || c.Window <= current-tallyWindows || c.Window > current+tallyWindows {
			continue
		}
		k := countKey{c.Incarnation, c.Window, c.Workspace}
		t.counts[k] = max(t.counts[k], c.Requests)
	}
}

// OwnCounts returns the counts of this process in the windows that may still be open or not
// sealed.
func (t *Tally) OwnCounts() []Count {
	oldest := t.Current() - sentWindows + 1
	return t.collect(func(k countKey) bool { return k.window >= oldest && k.incarnation == t.Incarnation })
}

// CountsToSend returns the counts to send to peers when each daemon exchanges heartbeats
// with all others: those of this process, and those of silent processes.
func (t *Tally) CountsToSend() []Count {
	now := t.Timer.Now()
	silence := t.silence()
	oldest := t.Current() - tallyWindows + 1
	return t.collect(func(k countKey) bool {
		return k.window >= oldest && (k.incarnation == t.Incarnation || now-t.lastHeard[k.incarnation] > silence)
	})
}

// Counts returns the counts of all processes in the windows from oldest on.
func (t *Tally) Counts(oldest int64) []Count {
	return t.collect(func(k countKey) bool { return k.window >= oldest })
}

// collect returns the counts that want selects. want is called while mu is held.
func (t *Tally) collect(want func(countKey) bool) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	var list []Count
	for k, n := range t.counts {
		if want(k) {
			list = append(list, Count{k.incarnation, k.window, k.workspace, n})
		}
	}
	return list
}

// silence returns how long nothing must have been received from a process before its counts
// are passed on.
func (t *Tally) silence() time.Duration {
	if t.PeerInterval == nil {
		return minSilence
	}
	return max(minSilence, minSilentGaps*t.PeerInterval())
}

// Sum returns the number of requests at all processes in a window, ordered by workspace.
func (t *Tally) Sum(window int64) []lagoonhead.WorkspaceUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[lagoonhead.WorkspaceID]int64)
	for k, n := range t.counts {
		if k.window == window {
			sums[k.workspace] += n
		}
	}
	list := make([]lagoonhead.WorkspaceUsage, 0, len(sums))
	for w, n := range sums {
		list = append(list, lagoonhead.WorkspaceUsage{Workspace: w, Requests: n})
	}
	slices.SortFunc(list, func(a, b lagoonhead.WorkspaceUsage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}

package billing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// tallyWindows is how many windows a Tally remembers. It covers the time in which a
// report is due and a change of the duty's holder in it.
const tallyWindows = 6

// leastSilence is how long a daemon must be silent at least before its peers pass on its
// counts, and silentGaps the same in times of the usual gap between two words of a peer. With
// less, in a large fleet every daemon would pass on the counts of most others.
const (
	leastSilence = time.Second
	silentGaps   = 4
)

// Count is the number of requests of a workspace that one daemon process saw begin in a
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

// Tally counts the requests that begin, by window of the wall clock, and keeps what
// peers have counted. A count only grows, so the larger one of two is the newer. The
// exported fields are set before use; the methods are safe for concurrent use.
type Tally struct {
	Incarnation lagoonhead.Incarnation
	Timer       timer.Timer
	// Window is the length of a window.
	Window time.Duration
	// Gap returns the usual time between two words of one peer. Optional.
	Gap func() time.Duration

	mu     sync.Mutex
	counts map[countKey]int64
	heard  map[lagoonhead.Incarnation]time.Duration
	newest int64
}

// Current returns the number of the window that is open: windows are counted from the
// start of 1970.
func (t *Tally) Current() int64 { return t.Timer.Wall().UnixNano() / int64(t.Window) }

// End returns the end of a window.
func (t *Tally) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.Window)) }

// Began counts a request.
func (t *Tally) Began(w lagoonhead.WorkspaceID) {
	window := t.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.counts[countKey{t.Incarnation, window, w}]++
	t.forget(window)
}

func (t *Tally) init() {
	if t.counts == nil {
		t.counts = make(map[countKey]int64)
		t.heard = make(map[lagoonhead.Incarnation]time.Duration)
	}
}

// forget drops the counts of old windows when a new one begins.
func (t *Tally) forget(window int64) {
	if window <= t.newest {
		return
	}
	t.newest = window
	for k := range t.counts {
		if k.window <= window-tallyWindows {
			delete(t.counts, k)
		}
	}
}

// Peer takes the counts that a peer process tells.
func (t *Tally) Peer(from lagoonhead.Incarnation, counts []Count) {
	current := t.Current()
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.heard[from] = now
	for _, c := range counts {
		if c.Incarnation == t.Incarnation || c.Window <= current-tallyWindows || c.Window > current+tallyWindows {
			continue
		}
		k := countKey{c.Incarnation, c.Window, c.Workspace}
		t.counts[k] = max(t.counts[k], c.Requests)
	}
}

// Told returns what peers have to know: the own counts, and those of processes that are
// silent.
func (t *Tally) Told() []Count {
	current := t.Current()
	now := t.Timer.Now()
	silence := t.silence()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	var list []Count
	for k, n := range t.counts {
		if k.window <= current-tallyWindows {
			continue
		}
		if k.incarnation == t.Incarnation || now-t.heard[k.incarnation] > silence {
			list = append(list, Count{k.incarnation, k.window, k.workspace, n})
		}
	}
	return list
}

// silence returns for how long a process must have said nothing for its counts to be passed
// on.
func (t *Tally) silence() time.Duration {
	if t.Gap == nil {
		return leastSilence
	}
	return max(leastSilence, silentGaps*t.Gap())
}

// Sum returns the requests of all processes in a window, ordered by workspace.
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

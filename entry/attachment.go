package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// hubRetryTime is how long a hub that did not respond, or has lost the store, comes
	// last.
	hubRetryTime = 2 * time.Second
	// maxUpdateAge is the maximum age of the entries in an update that counts, and the age of
	// the copy from which on a daemon that is no reader reads the store itself. A reader's
	// watch that returns nothing takes WatchTimeout, and an update passes two hubs at most.
	// Where there are attached daemons a change must be in force within 3 s.
	maxUpdateAge = WatchTimeout + 1200*time.Millisecond
	// maxHubPause is the longest pause between calls to a store that serves neither this hub
	// nor, as far as it has heard, another VM. Others wait for what it reads, and a change must
	// be in force within 2 s from 3 s after the end of an outage.
	maxHubPause = 700 * time.Millisecond
	// maxInformedPause is the same at other VMs, which hear of changes from a hub or of whose
	// calls no other VM depends. A VM that the store has begun to serve again must read it
	// itself, where its peers cannot, within 3 s.
	maxInformedPause = 2500 * time.Millisecond
	// maxAttachedPause is the same at an attached VM that hears of changes from its hub. It
	// needs the store only for its presence entry.
	maxAttachedPause = 6 * time.Second
)

// attachment chooses the peers that this daemon exchanges heartbeats with: all hubs if it is
// one itself, else one hub. It is safe for concurrent use.
type attachment struct {
	members *members
	timer   timer.Timer
	// prefixes are those whose changes must be in force soon.
	prefixes []string
	// refused reports that the store does not serve this daemon. It may be nil.
	refused func() bool

	mu sync.Mutex
	// failed holds the hubs that did not respond or have lost the store, with the time.
	failed map[lagoonhead.VMID]time.Duration
	// updated is true once a hub has sent a fresh update, and current the latest time since
	// boot at which the store had what the updates brought.
	updated bool
	current time.Duration
}

// peers returns the VMs to exchange heartbeats with.
func (a *attachment) peers() []lagoonhead.VM {
	l := a.members.layout()
	if l == nil {
		return a.members.seeds
	}
	if l.isHub {
		return l.Hubs()
	}
	now := a.timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, v := range l.order {
		if at, ok := a.failed[v.ID()]; !ok || now-at > hubRetryTime {
			return l.order[i : i+1]
		}
	}
	return l.order[:min(1, len(l.order))]
}

// fail records that a peer did not respond or has lost the store.
func (a *attachment) fail(id lagoonhead.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failed == nil {
		a.failed = make(map[lagoonhead.VMID]time.Duration)
	}
	now := a.timer.Now()
	for k, at := range a.failed {
		if now-at > hubRetryTime {
			delete(a.failed, k)
		}
	}
	a.failed[id] = now
}

// merged records an update of a peer that was requested at the given time.
func (a *attachment) merged(id lagoonhead.VMID, u mirror.Update, sent time.Duration) {
	fresh := a.isFresh(u.Prefixes)
	if !fresh && !a.members.isHub() {
		a.fail(id)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if fresh {
		a.updated, a.current = true, max(a.current, sent-a.age(u.Prefixes))
	}
}

// age returns the age of the oldest of the prefixes whose changes must be in force soon.
func (a *attachment) age(list []mirror.PrefixState) (oldest time.Duration) {
	for _, s := range list {
		if slices.Contains(a.prefixes, s.Prefix) {
			oldest = max(oldest, s.Age)
		}
	}
	return oldest
}

// isFresh reports whether a copy shows what the store had lately.
func (a *attachment) isFresh(list []mirror.PrefixState) bool {
	fresh := 0
	for _, s := range list {
		if slices.Contains(a.prefixes, s.Prefix) && !s.Lost && s.Age >= 0 && s.Age <= maxUpdateAge {
			fresh++
		}
	}
	return fresh == len(a.prefixes)
}

// needsUpdates reports whether this daemon's copy is kept up to date by peers: a reader
// needs none while it reaches the store.
func (a *attachment) needsUpdates(p mirror.Position) bool {
	return !a.members.isReader() || a.refused != nil && a.refused() || !a.isFresh(p.Prefixes)
}

// maxStorePause returns the longest pause between calls to a store that does not serve this
// daemon.
func (a *attachment) maxStorePause() time.Duration {
	hub, informed := a.members.isHub(), a.isInformed()
	switch {
	case hub && !informed:
		return maxHubPause
	case !hub && informed:
		return maxAttachedPause
	default:
		return maxInformedPause
	}
}

// idle reports whether peers keep this daemon's copy of the store up to date.
func (a *attachment) idle() bool {
	return !a.members.isReader() && a.isInformed()
}

// isInformed reports whether what peers have sent shows what the store had lately.
func (a *attachment) isInformed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.updated && a.timer.Now()-a.current <= maxUpdateAge
}

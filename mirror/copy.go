package mirror

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// maxHistory is the number of newest changes that a Copy keeps for the updates of peers. A
// peer that is further behind gets a complete update.
const maxHistory = 512

// peerGrace is how long after the last update of a peer that reaches the store a failed call
// of this daemon does not count as an outage. Updates come several times a second.
const peerGrace = time.Second

// Follower receives the entries under one prefix and their changes. Its methods are called
// one at a time and must not call the Copy.
type Follower interface {
	// Restored reports that the store has come back from a copy and begun an era, at the given
	// time since boot or before. The entries of the copy follow: they may be older than those
	// that were reported before.
	Restored(era int64, at time.Duration)
	// Put reports an entry that is new or changed.
	Put(e lagoonhead.Entry, o Origin)
	// Removed reports that an entry is gone.
	Removed(key string, o Origin)
	// Applied reports the end of a series of Put and Removed calls.
	Applied()
	// Synced reports that the entries reported so far matched the store at the given
	// time since boot or later. It follows the Applied call of that state.
	Synced(at time.Duration)
	// StoreLost reports that a call to the store had failed at the given time since boot. err
	// is nil if it was a call of the peer that keeps the copy up to date.
	StoreLost(at time.Duration, err error)
}

// Origin says where a copy has a change from.
type Origin struct {
	// Peer is the process whose update brought the change, or empty if an answer of the store did.
	Peer lagoonhead.Incarnation
	// Revision numbers the change. State is the revision of the prefix at this copy before it.
	Revision, State int64
}

// View says how current the entries under a prefix are.
type View struct {
	// Peer is the process whose update the entries last matched, or empty if that was an answer of
	// the store.
	Peer lagoonhead.Incarnation
	// Revision is 0 before the first list.
	Revision int64
	// Age is the time since the entries matched those of the store. It is negative if they never did.
	Age time.Duration
}

// Change is a new state of one key. Entry.Value is empty when the key was removed.
type Change struct {
	Entry   lagoonhead.Entry
	Removed bool
}

// PrefixState says up to which revision of the store a Copy has the entries under a prefix.
type PrefixState struct {
	Prefix string
	// Revision is 0 before the first list.
	Revision int64
	// Age is the time since the entries matched those of the store. It is negative if
	// they never did.
	Age time.Duration
	// Lost reports that the last call to the store failed.
	Lost bool
}

// Position says what the Copy of a peer has: how far it has followed this Copy, and the
// state of its prefixes.
type Position struct {
	// Source is the incarnation of the daemon whose updates were merged, and Sequence the
	// number of its last change among them.
	Source   lagoonhead.Incarnation
	Sequence int64
	Prefixes []PrefixState
}

// Update holds what a Copy has and a peer at some Position lacks.
type Update struct {
	// Source and Sequence are those of the peer's next Position.
	Source   lagoonhead.Incarnation
	Sequence int64
	Changes  []Change
	// Complete means that Keys lists all keys, so that the peer can tell which of its own
	// are gone.
	Complete bool
	Keys     []string
	Prefixes []PrefixState
}

// numbered is a Change with its number in the sequence of a Copy.
type numbered struct {
	Change
	sequence int64
}

type prefixState struct {
	follower Follower
	changed  bool // since the last call of Applied
	revision int64
	// era is the newest era of the store that the entries have come from, once known is set.
	era   int64
	known bool
	// syncedAt is the newest time at which the entries matched those of the store once synced is set,
	// and syncedFrom the peer that told so, or empty if the store did.
	synced     bool
	syncedAt   time.Duration
	syncedFrom lagoonhead.Incarnation
	lost       bool
	// mergedAt is the time of the last merge of an update from a peer that reached the
	// store, and mergedFrom that peer.
	merged     bool
	mergedAt   time.Duration
	mergedFrom lagoonhead.Incarnation
}

// isKeptUp reports whether a peer that reaches the store has brought an update lately. If so,
// the store rejects only the daemon whose call has failed.
func (p *prefixState) isKeptUp(at time.Duration) bool { return p.merged && at-p.mergedAt <= peerGrace }

// age returns the time since the entries matched those of the store. It is negative if they never
// did.
func (p *prefixState) age(now time.Duration) time.Duration {
	if !p.synced {
		return -time.Millisecond
	}
	return now - p.syncedAt
}

// enter reports a restore of the store if a revision is of a newer era than those before.
func (p *prefixState) enter(revision int64, at time.Duration) {
	era := lagoonhead.EraOf(revision)
	if p.known && era <= p.era {
		return
	}
	restored := p.known
	p.era, p.known = era, true
	if restored {
		p.follower.Restored(era, at)
	}
}

// Copy is a daemon's copy of the followed entries. It is safe for concurrent use. Create it
// with NewCopy.
type Copy struct {
	source lagoonhead.Incarnation

	mu       sync.Mutex
	prefixes map[string]*prefixState
	entries  map[string]lagoonhead.Entry
	// removed holds the revisions of removals that are newer than the states of their prefixes,
	// by key.
	removed  map[string]int64
	sequence int64
	history  []numbered // newest last
	// merging is the peer whose update is being merged, or empty.
	merging lagoonhead.Incarnation
	// followed says up to which change of a peer this copy has all that the peer has. It
	// is zero if the copy may have entries that the peer's next changes do not remove.
	followed cursor
}

// cursor is a number in the sequence of changes of a peer's Copy.
type cursor struct {
	source   lagoonhead.Incarnation
	sequence int64
}

// NewCopy returns an empty copy for a process. followers are by prefix; none of the
// prefixes may be the beginning of another one.
func NewCopy(in lagoonhead.Incarnation, followers map[string]Follower) *Copy {
	c := &Copy{source: in, prefixes: make(map[string]*prefixState), entries: make(map[string]lagoonhead.Entry), removed: make(map[string]int64)}
	for p, f := range followers {
		c.prefixes[p] = &prefixState{follower: f}
	}
	return c
}

// prefix returns the prefix that a key is under, with its state, or nil. The caller holds mu.
func (c *Copy) prefix(key string) (string, *prefixState) {
	for p, s := range c.prefixes {
		if strings.HasPrefix(key, p) {
			return p, s
		}
	}
	return "", nil
}

// Revision returns the revision up to which the entries under a prefix are known, or 0.
func (c *Copy) Revision(prefix string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prefixes[prefix].revision
}

// Age returns the time since the entries under a prefix matched those of the store, and
// false if they never did.
func (c *Copy) Age(now time.Duration, prefix string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.prefixes[prefix]
	return now - p.syncedAt, p.synced
}

// View returns how current the entries under a prefix are.
func (c *Copy) View(now time.Duration, prefix string) View {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.prefixes[prefix]
	return View{Peer: p.syncedFrom, Revision: p.revision, Age: p.age(now)}
}

// Get returns the entry of a key and whether it is present.
func (c *Copy) Get(key string) (lagoonhead.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[key]
	return e, ok
}

// Listed applies a list of the entries under a prefix, which the store had at a revision
// and at the given time or later. A list that is older than the state of the prefix, since it
// arrives late, brings no removed entry back; any other one has all entries.
func (c *Copy) Listed(prefix string, list []lagoonhead.Entry, revision int64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.prefixes[prefix]
	p.enter(revision, at)
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.Key] = true
		if revision >= p.revision {
			c.replace(p, e)
		} else {
			c.put(e)
		}
	}
	c.removeAbsent(prefix, present, revision)
	c.endRead()
	c.sync(prefix, revision, at)
}

// endRead ends a series of changes that were read from the store.
func (c *Copy) endRead() {
	if c.endChanges() {
		c.followed = cursor{}
	}
}

// endChanges reports the end of a series of changes to the followers concerned. It returns
// whether there were any changes.
func (c *Copy) endChanges() bool {
	any := false
	for _, p := range c.prefixes {
		if p.changed {
			any, p.changed = true, false
			p.follower.Applied()
		}
	}
	return any
}

// Watched applies the changes of a watch of a prefix, which the store had made up to a
// revision and at the given time or later.
func (c *Copy) Watched(prefix string, events []lagoonhead.Event, revision int64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes[prefix].enter(revision, at)
	for _, e := range events {
		c.apply(Change{Entry: e.Entry, Removed: e.Deleted})
	}
	c.endRead()
	c.sync(prefix, revision, at)
}

// Written applies an entry that this daemon has written or read.
func (c *Copy) Written(e lagoonhead.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(e)
	c.endRead()
}

// Reached reports to the follower of a prefix that the store responded to a call sent at the
// given time.
func (c *Copy) Reached(prefix string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.prefixes[prefix]
	p.lost = false
	p.follower.Synced(at)
}

// Failed reports to the follower of a prefix that the store did not respond, unless a peer
// keeps the copy up to date.
func (c *Copy) Failed(prefix string, at time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.prefixes[prefix]
	p.lost = true
	if !p.isKeptUp(at) {
		p.follower.StoreLost(at, err)
	}
}

// apply applies one change unless a newer revision of its key is known.
func (c *Copy) apply(v Change) {
	if !v.Removed {
		c.put(v.Entry)
		return
	}
	if e, ok := c.entries[v.Entry.Key]; ok && v.Entry.Revision >= e.Revision {
		c.remove(v.Entry.Key, v.Entry.Revision)
	}
}

// put applies an entry that may be older than the state of its prefix: if it is and its key is
// unknown, it was removed.
func (c *Copy) put(e lagoonhead.Entry) {
	_, p := c.prefix(e.Key)
	if p == nil {
		return
	}
	if _, known := c.entries[e.Key]; known || e.Revision > p.revision {
		c.replace(p, e)
	}
}

// replace applies an entry unless a newer revision of its key, or a removal after it, is known.
func (c *Copy) replace(p *prefixState, e lagoonhead.Entry) {
	if e.Revision <= max(c.entries[e.Key].Revision, c.removed[e.Key]) {
		return
	}
	delete(c.removed, e.Key)
	c.entries[e.Key] = e
	c.record(Change{Entry: e})
	p.changed = true
	p.follower.Put(e, c.origin(p, e.Revision))
}

// origin returns the origin of a change of a prefix.
func (c *Copy) origin(p *prefixState, revision int64) Origin {
	return Origin{Peer: c.merging, Revision: revision, State: p.revision}
}

func (c *Copy) remove(key string, revision int64) {
	delete(c.entries, key)
	c.removed[key] = revision
	c.record(Change{Entry: lagoonhead.Entry{Key: key, Revision: revision}, Removed: true})
	_, p := c.prefix(key)
	p.changed = true
	p.follower.Removed(key, c.origin(p, revision))
}

// removeAbsent removes the entries under a prefix that are not present at a revision.
func (c *Copy) removeAbsent(prefix string, present map[string]bool, revision int64) {
	for k, e := range c.entries {
		if strings.HasPrefix(k, prefix) && !present[k] && e.Revision <= revision {
			c.remove(k, revision)
		}
	}
}

func (c *Copy) record(v Change) {
	c.sequence++
	c.history = append(c.history, numbered{v, c.sequence})
	if len(c.history) > maxHistory {
		c.history = slices.Clone(c.history[len(c.history)-maxHistory/2:])
	}
}

func (c *Copy) sync(prefix string, revision int64, at time.Duration) {
	p := c.prefixes[prefix]
	p.revision = max(p.revision, revision)
	maps.DeleteFunc(c.removed, func(key string, r int64) bool { return strings.HasPrefix(key, prefix) && r <= p.revision })
	if !p.synced || at > p.syncedAt {
		p.synced, p.syncedAt, p.syncedFrom = true, at, c.merging
	}
	p.lost = false
	p.follower.Synced(p.syncedAt)
}

// Position returns what this copy has, for a request to a peer.
func (c *Copy) Position(now time.Duration) Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Position{Source: c.followed.source, Sequence: c.followed.sequence, Prefixes: c.states(now)}
}

// states returns the states of the prefixes, ordered by prefix.
func (c *Copy) states(now time.Duration) []PrefixState {
	list := make([]PrefixState, 0, len(c.prefixes))
	for _, p := range slices.Sorted(maps.Keys(c.prefixes)) {
		s := c.prefixes[p]
		list = append(list, PrefixState{Prefix: p, Revision: s.revision, Age: s.age(now), Lost: s.lost})
	}
	return list
}

// UpdateFor returns what a peer at a position lacks.
func (c *Copy) UpdateFor(now time.Duration, p Position) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Source: c.source, Sequence: c.sequence, Prefixes: c.states(now)}
	known := make(map[string]int64, len(p.Prefixes))
	for _, s := range p.Prefixes {
		known[s.Prefix] = s.Revision
	}
	lacks := func(v Change) bool {
		prefix, s := c.prefix(v.Entry.Key)
		return s != nil && v.Entry.Revision > known[prefix]
	}
	if p.Source == c.source && p.Sequence <= c.sequence && p.Sequence >= c.oldestSequence() {
		for _, v := range c.history {
			// The number of a removal that was found by an absent key may be too low: a list is as old as its
			// first page.
			if v.sequence > p.Sequence && (v.Removed || lacks(v.Change)) {
				u.Changes = append(u.Changes, v.Change)
			}
		}
		return u
	}
	u.Complete = true
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		u.Keys = append(u.Keys, k)
		if v := (Change{Entry: c.entries[k]}); lacks(v) {
			u.Changes = append(u.Changes, v)
		}
	}
	// That a key is absent says only that it was gone by the revision of the prefix, and these removals
	// are newer.
	for _, k := range slices.Sorted(maps.Keys(c.removed)) {
		if v := (Change{Entry: lagoonhead.Entry{Key: k, Revision: c.removed[k]}, Removed: true}); lacks(v) {
			u.Changes = append(u.Changes, v)
		}
	}
	return u
}

// oldestSequence returns the lowest number of a change after which the history has all.
func (c *Copy) oldestSequence() int64 {
	if len(c.history) == 0 {
		return c.sequence
	}
	return c.history[0].sequence - 1
}

// Merge merges an update that a peer made at the given time or later. The prefixes whose
// state at the peer is at most maxAge old count as synced. A peer that is behind brings no
// removed entry back.
func (c *Copy) Merge(u Update, at, maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merging = u.Source
	defer func() { c.merging = "" }()
	for _, s := range u.Prefixes {
		if p := c.prefixes[s.Prefix]; p != nil && s.Revision > 0 {
			p.enter(s.Revision, at)
		}
	}
	for _, v := range u.Changes {
		c.apply(v)
	}
	// Changes alone do not tell of the removal of an entry that came by another way after the peer
	// was asked.
	synced := u.Complete || u.Source == c.followed.source
	if u.Complete {
		c.mergeKeys(u)
	} else if synced {
		c.followed.sequence = max(c.followed.sequence, u.Sequence)
	}
	c.endChanges()
	if !synced {
		return
	}
	for _, s := range u.Prefixes {
		if p := c.prefixes[s.Prefix]; p != nil && s.Revision > 0 {
			c.mergeState(p, s, u.Source, at, maxAge)
		}
	}
}

// mergeKeys removes the entries that a peer does not have and that are no newer than its
// state.
func (c *Copy) mergeKeys(u Update) {
	present := make(map[string]bool, len(u.Keys))
	for _, k := range u.Keys {
		present[k] = true
	}
	for _, s := range u.Prefixes {
		if c.prefixes[s.Prefix] != nil && s.Revision > 0 {
			c.removeAbsent(s.Prefix, present, s.Revision)
		}
	}
	states := make(map[string]int64, len(u.Prefixes))
	for _, s := range u.Prefixes {
		states[s.Prefix] = s.Revision
	}
	c.followed = cursor{u.Source, u.Sequence}
	for k, e := range c.entries {
		if prefix, _ := c.prefix(k); !present[k] || e.Revision > states[prefix] {
			// The peer may never see this entry, so it may never report its removal.
			c.followed = cursor{}
		}
	}
}

// mergeState applies the state of a prefix at a peer, as of the given time. That the peer has
// lost the store is an outage if this copy relies on the peer.
func (c *Copy) mergeState(p *prefixState, s PrefixState, from lagoonhead.Incarnation, at, maxAge time.Duration) {
	switch {
	case s.Age >= 0 && s.Age <= maxAge && !s.Lost:
		p.merged, p.mergedAt, p.mergedFrom = true, at, from
		c.sync(s.Prefix, s.Revision, at-s.Age)
	case s.Lost && p.merged && !p.lost && (from == p.mergedFrom || !p.isKeptUp(at)):
		p.lost = true
		p.follower.StoreLost(at, nil)
	}
}

package mirror

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	start  = time.Hour
	maxAge = 2 * time.Second
)

// TestMain sets a fixed seed and a number of checks for the property tests unless the command line sets
// them, so that runs in CI are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// newCopy returns a copy of the prefixes p/ and q/ with their followers.
func newCopy(in lagoonhead.Incarnation) (c *Copy, p, q *recorder) {
	p, q = newRecorder(), newRecorder()
	return NewCopy(in, map[string]Follower{"p/": p, "q/": q}), p, q
}

func entry(key, value string, revision int64) lagoonhead.Entry {
	return lagoonhead.Entry{Key: key, Value: []byte(value), Revision: revision}
}

// pull merges what from has and to lacks.
func pull(to, from *Copy, now time.Duration) Update {
	u := from.UpdateFor(now, to.Position(now))
	to.Merge(u, now, maxAge)
	return u
}

// Guards against an entry that is passed to the follower of another prefix.
func TestEntriesGoToTheFollowerOfTheirPrefix(t *testing.T) {
	c, p, q := newCopy("a")
	c.Listed("p/", []lagoonhead.Entry{entry("p/1", "x", 3)}, 3, start)
	c.Watched("q/", []lagoonhead.Event{{Entry: entry("q/1", "y", 4)}, {Entry: entry("r/1", "z", 5)}}, 5, start)
	require.Equal(t, map[string]string{"p/1": "x"}, p.entries)
	require.Equal(t, map[string]string{"q/1": "y"}, q.entries)
	c.Failed("p/", start, nil)
	require.Equal(t, 1, p.losses)
	require.Zero(t, q.losses)
}

// Guards against changes that an attached daemon misses, and against sending it what it
// has.
func TestUpdatesBringWhatIsMissing(t *testing.T) {
	hub, _, _ := newCopy("hub")
	c, p, q := newCopy("a")
	hub.Listed("p/", []lagoonhead.Entry{entry("p/1", "x", 1), entry("p/2", "x", 2)}, 2, start)
	hub.Listed("q/", nil, 2, start)
	u := pull(c, hub, start)
	require.True(t, u.Complete)
	require.Equal(t, map[string]string{"p/1": "x", "p/2": "x"}, p.entries)
	hub.Watched("p/", []lagoonhead.Event{{Entry: entry("p/1", "y", 3)}, {Entry: lagoonhead.Entry{Key: "p/2", Revision: 4}, Deleted: true}}, 4, start)
	u = pull(c, hub, start)
	require.False(t, u.Complete)
	require.Len(t, u.Changes, 2)
	require.Equal(t, map[string]string{"p/1": "y"}, p.entries)
	require.Empty(t, pull(c, hub, start).Changes)
	// c reads a change from the store before the hub does.
	c.Watched("q/", []lagoonhead.Event{{Entry: entry("q/1", "x", 5)}}, 5, start)
	hub.Watched("q/", []lagoonhead.Event{{Entry: entry("q/1", "x", 5)}}, 5, start)
	require.Empty(t, pull(c, hub, start).Changes)
	require.Equal(t, map[string]string{"q/1": "x"}, q.entries)
}

// Guards against a log that does not tell whether a change came from the store or from a peer, or how
// current the entries were when they were used.
func TestChangesNameTheirOrigin(t *testing.T) {
	hub, seen, _ := newCopy("hub")
	require.Equal(t, View{Age: -time.Millisecond}, hub.View(start, "p/"))
	hub.Listed("p/", []lagoonhead.Entry{entry("p/1", "x", 1)}, 2, start)
	require.Equal(t, Origin{Revision: 1}, seen.origins["p/1"])
	c, seen, _ := newCopy("a")
	pull(c, hub, start)
	require.Equal(t, Origin{Peer: "hub", Revision: 1}, seen.origins["p/1"])
	hub.Watched("p/", []lagoonhead.Event{{Entry: lagoonhead.Entry{Key: "p/1", Revision: 3}, Deleted: true}}, 4, start+time.Second)
	pull(c, hub, start+time.Second)
	require.Equal(t, Origin{Peer: "hub", Revision: 3, State: 2}, seen.origins["p/1"])
	require.Equal(t, View{Peer: "hub", Revision: 4, Age: time.Second}, c.View(start+2*time.Second, "p/"))
	c.Listed("p/", nil, 4, start+2*time.Second)
	require.Equal(t, View{Revision: 4}, c.View(start+2*time.Second, "p/"))
}

// Guards against a peer that is behind: it must bring back neither a removed entry nor an
// old value, and must not remove an entry that it does not know yet.
func TestAPeerThatIsBehindChangesNothing(t *testing.T) {
	old, _, _ := newCopy("old")
	c, p, _ := newCopy("a")
	old.Listed("p/", []lagoonhead.Entry{entry("p/gone", "x", 1), entry("p/changed", "x", 2)}, 2, start)
	c.Listed("p/", []lagoonhead.Entry{entry("p/changed", "y", 4), entry("p/new", "x", 5)}, 5, start)
	pull(c, old, start)
	require.Equal(t, map[string]string{"p/changed": "y", "p/new": "x"}, p.entries)
	require.EqualValues(t, 5, c.Revision("p/"))
}

// Guards against an answer of the store that arrives late and brings a removed entry back, for good,
// since the next watch begins behind the removal. A peer has told of the removal meanwhile.
func TestALateAnswerBringsNothingBack(t *testing.T) {
	gone := entry("p/gone", "x", 1)
	kept := map[string]string{"p/kept": "y"}
	for name, arrive := range map[string]func(c *Copy){
		"list":        func(c *Copy) { c.Listed("p/", []lagoonhead.Entry{gone, entry("p/kept", "x", 2)}, 2, start) },
		"watch":       func(c *Copy) { c.Watched("p/", []lagoonhead.Event{{Entry: gone}}, 2, start) },
		"read":        func(c *Copy) { c.Written(gone) },
		"earlier era": func(c *Copy) { c.Listed("p/", []lagoonhead.Entry{gone}, lagoonhead.NewRevision(0, 90), start) },
		"another peer": func(c *Copy) {
			old, _, _ := newCopy("old")
			old.Listed("p/", []lagoonhead.Entry{gone}, 2, start)
			pull(c, old, start)
		},
	} {
		for _, era := range []int64{0, 1} {
			if name == "earlier era" && era == 0 {
				continue
			}
			t.Run(fmt.Sprint(name, " in era ", era), func(t *testing.T) {
				c, p, _ := newCopy("a")
				c.Listed("p/", []lagoonhead.Entry{gone, entry("p/kept", "x", 2)}, 2, start)
				hub, _, _ := newCopy("hub")
				now := lagoonhead.NewRevision(era, 4)
				hub.Listed("p/", []lagoonhead.Entry{entry("p/kept", "y", now)}, now, start)
				pull(c, hub, start)
				require.Equal(t, kept, p.entries)
				arrive(c)
				require.Equal(t, kept, p.entries)
				require.Equal(t, now, c.Revision("p/"))
			})
		}
	}
}

// Guards against a removed entry that comes back because the peer that told of the removal does not
// reach the store, so that its state does not count.
func TestARemovalOutlastsAPeerWithoutTheStore(t *testing.T) {
	c, p, _ := newCopy("a")
	hub, _, _ := newCopy("hub")
	list := []lagoonhead.Entry{entry("p/gone", "x", 1)}
	c.Listed("p/", list, 1, start)
	hub.Listed("p/", list, 1, start)
	hub.Watched("p/", []lagoonhead.Event{{Entry: entry("p/gone", "", 3), Deleted: true}}, 3, start)
	hub.Failed("p/", start, nil)
	pull(c, hub, start)
	require.Empty(t, p.entries)
	c.Listed("p/", list, 2, start)
	require.Empty(t, p.entries)
	c.Watched("p/", []lagoonhead.Event{{Entry: entry("p/gone", "y", 5)}}, 5, start)
	require.Equal(t, map[string]string{"p/gone": "y"}, p.entries, "written again")
	require.Empty(t, c.removed)
}

// Guards against an entry that this copy has missed and never learns of: a list that is as new as the
// copy shows it, and so does one after a restore of the store, whose revisions are given out again.
func TestACompleteListShowsWhatWasMissed(t *testing.T) {
	for _, revision := range []int64{4, 5, lagoonhead.NewRevision(1, 3)} {
		c, p, _ := newCopy("a")
		c.Listed("p/", nil, 4, start)
		old := lagoonhead.NewRevision(lagoonhead.EraOf(revision), 2)
		c.Listed("p/", []lagoonhead.Entry{entry("p/missed", "x", old)}, revision, start)
		require.Equal(t, map[string]string{"p/missed": "x"}, p.entries, "list of revision %d", revision)
	}
}

// Guards against removals that are missed when the history of the peer does not reach back.
func TestACompleteUpdateRemoves(t *testing.T) {
	hub, _, _ := newCopy("hub")
	c, p, _ := newCopy("a")
	hub.Listed("p/", []lagoonhead.Entry{entry("p/1", "x", 1)}, 1, start)
	pull(c, hub, start)
	for i := range int64(2 * maxHistory) {
		hub.Watched("p/", []lagoonhead.Event{{Entry: entry("p/2", strconv.FormatInt(i, 10), i+2)}}, i+2, start)
	}
	last := int64(2*maxHistory + 2)
	hub.Watched("p/", []lagoonhead.Event{{Entry: lagoonhead.Entry{Key: "p/1", Revision: last}, Deleted: true}}, last, start)
	require.True(t, pull(c, hub, start).Complete)
	require.Equal(t, map[string]string{"p/2": strconv.Itoa(2*maxHistory - 1)}, p.entries)
	require.LessOrEqual(t, len(hub.history), maxHistory)
}

// Guards against a restore of the store that followers do not hear of before the entries of the
// copy, from the store and from a peer, and against one that is reported twice.
func TestRestoresAreReportedFirst(t *testing.T) {
	before := map[string]string{"p/1": "x", "p/2": "y"}
	after := map[string]string{"p/1": "older"}
	hub, p, _ := newCopy("hub")
	c, q, _ := newCopy("a")
	old := lagoonhead.NewRevision(4, 9)
	hub.Listed("p/", []lagoonhead.Entry{entry("p/1", "x", old), entry("p/2", "y", old)}, old, start)
	pull(c, hub, start)
	require.Zero(t, p.restores+q.restores, "the first list")
	restored := lagoonhead.NewRevision(5, 3)
	for range 2 {
		hub.Listed("p/", []lagoonhead.Entry{entry("p/1", "older", restored)}, restored, start+time.Second)
		pull(c, hub, start+time.Second)
		for _, f := range []*recorder{p, q} {
			require.Equal(t, 1, f.restores)
			require.Equal(t, before, f.beforeRestore)
			require.Equal(t, after, f.entries)
		}
	}
	behind, _, _ := newCopy("behind")
	behind.Listed("p/", []lagoonhead.Entry{entry("p/2", "y", old)}, old, start)
	pull(hub, behind, start+time.Second)
	require.Equal(t, after, p.entries, "a peer that has not heard of the restore changes nothing")
}

// Guards against an outage that an attached daemon does not hear of, so that it would drop
// the endpoints whose entries lapse in it, and against one that counts although a peer
// reaches the store.
func TestOutagesAreTold(t *testing.T) {
	hub, _, _ := newCopy("hub")
	c, p, _ := newCopy("a")
	hub.Listed("p/", nil, 1, start)
	pull(c, hub, start)
	require.Equal(t, 1, p.syncs)
	c.Failed("p/", start+peerGrace, nil)
	require.Zero(t, p.losses, "the store rejects only this daemon")
	hub.Failed("p/", start, nil)
	pull(c, hub, start)
	require.Zero(t, p.losses, "reported once, by the call of this daemon")
	c.Failed("p/", start+peerGrace+1, nil)
	require.Equal(t, 1, p.losses)
	hub.Reached("p/", start+time.Second)
	pull(c, hub, start+time.Second)
	require.Equal(t, 2, p.syncs)
	hub.Failed("p/", start+2*time.Second, nil)
	pull(c, hub, start+2*time.Second)
	require.Equal(t, 2, p.losses)
}

// Guards against an attached VM that never hears of a removal, since its hub has it from a peer that had
// heard of it before the rest of its state.
func TestARemovalHeardFromAPeerAheadOfItsStateIsPassedOn(t *testing.T) {
	gone := entry("p/gone", "x", 1)
	for name, tell := range map[string]func(to, reader, other *Copy, remove func()){
		"by a peer that has lost the store": func(to, reader, other *Copy, remove func()) {
			remove()
			pull(other, reader, start)
			other.Failed("p/", start, nil)
			pull(to, other, start)
		},
		"by changes that arrive after the update of another peer": func(to, reader, other *Copy, remove func()) {
			pull(to, reader, start)
			p := to.Position(start)
			remove()
			changes := reader.UpdateFor(start, p)
			require.False(t, changes.Complete)
			pull(to, other, start)
			to.Merge(changes, start, maxAge)
		},
	} {
		t.Run(name, func(t *testing.T) {
			reader, _, _ := newCopy("reader")
			other, _, _ := newCopy("other")
			ahead, _, _ := newCopy("ahead")
			hub, _, _ := newCopy("hub")
			attached, seen, _ := newCopy("attached")
			for _, c := range []*Copy{reader, other, ahead} {
				c.Listed("p/", []lagoonhead.Entry{gone}, 3, start)
			}
			hub.Listed("p/", []lagoonhead.Entry{gone}, 4, start)
			pull(attached, hub, start)
			tell(ahead, reader, other, func() {
				reader.Watched("p/", []lagoonhead.Event{{Entry: lagoonhead.Entry{Key: gone.Key, Revision: 5}, Deleted: true}}, 5, start)
			})
			require.EqualValues(t, 3, ahead.Revision("p/"))
			pull(hub, ahead, start)
			pull(hub, reader, start)
			pull(attached, hub, start)
			require.EqualValues(t, 5, attached.Revision("p/"))
			require.Empty(t, seen.entries)
		})
	}
}

// Guards against an attached VM that never hears of a removal that was made while its hub read a list by
// pages, whose revision is that of the first one.
func TestARemovalBetweenPagesIsPassedOn(t *testing.T) {
	gone := entry("p/gone", "x", 1)
	hub, _, _ := newCopy("hub")
	attached, seen, _ := newCopy("attached")
	hub.Listed("p/", []lagoonhead.Entry{gone}, 4, start)
	pull(attached, hub, start)
	hub.Listed("p/", nil, 4, start)
	hub.Watched("p/", []lagoonhead.Event{{Entry: lagoonhead.Entry{Key: gone.Key, Revision: 5}, Deleted: true}}, 5, start)
	pull(attached, hub, start)
	require.EqualValues(t, 5, attached.Revision("p/"))
	require.Empty(t, seen.entries)
}

// Guards against a VM that never hears of a removal since it follows a hub that was behind it: the hub goes
// from the entry before to the state after the removal, and does not see the entry.
func TestARemovalThatAHubBehindNeverSawIsHeard(t *testing.T) {
	hub, _, _ := newCopy("hub")
	c, seen, _ := newCopy("a")
	hub.Listed("p/", []lagoonhead.Entry{entry("p/gone", "x", 1)}, 2, start)
	c.Listed("p/", []lagoonhead.Entry{entry("p/gone", "y", 4)}, 4, start)
	pull(c, hub, start)
	hub.Watched("p/", []lagoonhead.Event{{Entry: lagoonhead.Entry{Key: "p/gone", Revision: 3}, Deleted: true}}, 3, start)
	pull(c, hub, start)
	require.Equal(t, map[string]string{"p/gone": "y"}, seen.entries)
	hub.Listed("p/", nil, 5, start)
	pull(c, hub, start)
	require.EqualValues(t, 5, c.Revision("p/"))
	require.Empty(t, seen.entries)
}

// Guards against an outage that is reported because one of several peers has lost the store:
// each report keeps endpoints whose entries are gone for a while longer, so that one that
// has left would get work for as long as the peers' reports alternate.
func TestOnePeerThatLostTheStoreIsNoOutage(t *testing.T) {
	cut, _, _ := newCopy("cut")
	hub, _, _ := newCopy("hub")
	c, p, _ := newCopy("a")
	cut.Listed("p/", nil, 1, start)
	cut.Failed("p/", start, nil)
	for i := range 20 {
		now := start + time.Duration(i)*100*time.Millisecond
		hub.Listed("p/", nil, 1, now)
		pull(c, hub, now)
		pull(c, cut, now)
	}
	require.Zero(t, p.losses)
	pull(c, cut, start+time.Minute)
	require.Equal(t, 1, p.losses, "no other peer reaches the store")
}

// Guards against an update of a peer that has not reached the store lately and counts as new.
func TestOldUpdatesAreNotSynced(t *testing.T) {
	hub, _, _ := newCopy("hub")
	c, p, _ := newCopy("a")
	hub.Listed("p/", []lagoonhead.Entry{entry("p/1", "x", 1)}, 1, start)
	pull(c, hub, start+maxAge+1)
	require.Equal(t, map[string]string{"p/1": "x"}, p.entries, "what the peer has is better than nothing")
	require.Zero(t, p.syncs)
}

// Guards against copies that differ in the end, whatever was read from the store, merged
// from peers and missed in between, and against an entry that comes back after this copy
// has seen its removal.
func TestCopiesAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		kv := fakeplatform.NewKV(&timer.System{})
		ctx := context.Background()
		type peer struct {
			copy *Copy
			seen *recorder
		}
		peers := make([]*peer, 3)
		for i := range peers {
			c, p, _ := newCopy(lagoonhead.Incarnation(fmt.Sprint("vm", i)))
			peers[i] = &peer{c, p}
		}
		read := func(p *peer) {
			list, revision, err := kv.List(ctx, "p/")
			require.NoError(r, err)
			p.copy.Listed("p/", list, revision, start)
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += 10 * time.Millisecond
			i := rapid.IntRange(0, len(peers)-1).Draw(r, "peer")
			key := rapid.SampledFrom([]string{"p/1", "p/2", "p/3"}).Draw(r, "key")
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1:
				_, err := kv.Put(ctx, lagoonhead.PutRequest{Key: key, Value: []byte(now.String()), IfRevision: lagoonhead.AnyRevision})
				require.NoError(r, err)
			case 2:
				_ = kv.Delete(ctx, key, lagoonhead.AnyRevision) // the key may be absent
			case 3:
				read(peers[i])
			case 4, 5:
				j := rapid.IntRange(0, len(peers)-1).Draw(r, "from")
				before := maps.Clone(peers[i].seen.entries)
				known := peers[i].copy.Revision("p/")
				pull(peers[i].copy, peers[j].copy, now)
				for k := range peers[i].seen.entries {
					if _, ok := before[k]; !ok {
						e, _ := peers[i].copy.Get(k)
						require.Greater(r, e.Revision, known, "%s was removed", k)
					}
				}
			}
		}
		read(peers[0])
		for i, p := range peers[1:] {
			pull(p.copy, peers[0].copy, now)
			require.Equal(r, peers[0].seen.entries, p.seen.entries, "peer %d", i+1)
		}
	})
}

// pastStore has all states of a store whose changes are numbered from 1. Each change is of one key
// under p/.
type pastStore struct {
	events []lagoonhead.Event
	states []map[string]lagoonhead.Entry // by revision
}

func (s *pastStore) revision() int64 { return int64(len(s.events)) }

func (s *pastStore) now() map[string]lagoonhead.Entry { return s.states[len(s.states)-1] }

// change writes or removes a key.
func (s *pastStore) change(key string, removed bool) {
	e := lagoonhead.Event{Entry: entry(key, fmt.Sprint("value ", s.revision()+1), s.revision()+1), Deleted: removed}
	state := maps.Clone(s.now())
	if removed {
		delete(state, key)
	} else {
		state[key] = e.Entry
	}
	s.events, s.states = append(s.events, e), append(s.states, state)
}

// list returns a list that is read by pages of one entry, and the revision of the first page. The store
// changes between two pages.
func (s *pastStore) list(r *rapid.T) (list []lagoonhead.Entry, revision int64) {
	revision = s.revision()
	for _, k := range pastKeys {
		if e, ok := s.now()[k]; ok {
			list = append(list, e)
		}
		if rapid.IntRange(0, 3).Draw(r, "page") == 0 {
			s.drawChange(r)
		}
	}
	return list, revision
}

// pastKeys are the keys of a pastStore, in order.
var pastKeys = []string{"p/1", "p/2", "p/3"}

// drawChange writes or removes a key.
func (s *pastStore) drawChange(r *rapid.T) {
	key := rapid.SampledFrom(pastKeys).Draw(r, "key")
	_, ok := s.now()[key]
	s.change(key, ok && rapid.Bool().Draw(r, "removed"))
}

// Guards against copies that hold what they know to be removed, or an old value of what they know to have
// changed, whatever the order in which answers of the store and updates of peers arrive, and although peers
// lose the store.
func TestCopiesHoldNothingOlderThanTheirState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &pastStore{states: []map[string]lagoonhead.Entry{{}}}
		copies := make([]*Copy, 6) // the first half are hubs, each of which an attached one follows
		hubs := len(copies) / 2
		seen := make([]*recorder, len(copies))
		for i := range copies {
			copies[i], seen[i], _ = newCopy(lagoonhead.Incarnation(fmt.Sprint("vm", i)))
		}
		var late []func() // answers under way
		arrive := func(answer func()) {
			if rapid.IntRange(0, 3).Draw(r, "late") == 0 {
				late = append(late, answer)
				return
			}
			answer()
		}
		now := start
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += 10 * time.Millisecond
			sent := now
			i := rapid.IntRange(0, hubs-1).Draw(r, "copy")
			c := copies[i]
			switch rapid.SampledFrom([]string{"change", "list", "watch", "watch", "read", "lose", "pull", "pull", "follow", "follow", "arrive"}).Draw(r, "step") {
			case "change":
				s.drawChange(r)
			case "list":
				list, revision := s.list(r)
				arrive(func() { c.Listed("p/", list, revision, sent) })
			case "watch":
				if after := c.Revision("p/"); after > 0 {
					events := s.events[after:]
					arrive(func() { c.Watched("p/", events, after+int64(len(events)), sent) })
				}
			case "read":
				if e, ok := s.now()[rapid.SampledFrom(pastKeys).Draw(r, "key")]; ok {
					arrive(func() { c.Written(e) })
				}
			case "pull":
				u := copies[rapid.IntRange(0, hubs-1).Draw(r, "from")].UpdateFor(now, c.Position(now))
				arrive(func() { c.Merge(u, sent, maxAge) })
			case "follow":
				a := copies[hubs+i]
				u := c.UpdateFor(now, a.Position(now))
				arrive(func() { a.Merge(u, sent, maxAge) })
			case "lose":
				c.Failed("p/", now, errors.New("turned away"))
			case "arrive":
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(r, "answer")
					late[i]()
					late = slices.Delete(late, i, i+1)
				}
			}
			for i, c := range copies {
				revision := c.Revision("p/")
				for k := range seen[i].entries {
					e, _ := c.Get(k)
					known, ok := s.states[revision][k]
					require.True(r, ok || e.Revision > revision, "copy %d at revision %d has %s of revision %d, which was removed", i, revision, k, e.Revision)
					require.GreaterOrEqual(r, e.Revision, known.Revision, "copy %d at revision %d", i, revision)
				}
			}
		}
		for i, c := range copies {
			c.Listed("p/", slices.Collect(maps.Values(s.now())), s.revision(), now)
			want := make(map[string]string)
			for k, e := range s.now() {
				want[k] = string(e.Value)
			}
			require.Equal(r, want, seen[i].entries)
		}
	})
}

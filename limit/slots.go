package limit

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// SlotsKey is the key of the slot table in the store.
	SlotsKey = "limit/slots"

	// cleanWait is how long the new holder of a slot waits before its bucket refills
	// when the former holder gave the slot up: what that one lent can be spent for
	// so long.
	cleanWait = LoanLife + LoanMargin
	// takenWait is the same when the former holder did not give the slot up. That
	// one may still run. It spends only while it is fresh, by word that is at most
	// 3 s old from a daemon that read the slot table at most 3 s before, and the
	// revision of the table travels with that word. The loans that it made until
	// then live for cleanWait. The sum is 7.1 s.
	takenWait = 10 * time.Second
	// listLag is how long a VM must be missing from the platform's list before its
	// slots are free. It is the longest time that the list lags.
	listLag = 15 * time.Second
)

// Slot is one row of the slot table.
type Slot struct {
	// VM and Incarnation name the holder. They are empty while the slot is free.
	VM          lagoonhead.VMID        `json:"vm,omitempty"`
	Incarnation lagoonhead.Incarnation `json:"incarnation,omitempty"`
	// Clean tells that the holder before this one gave the slot up itself.
	Clean bool `json:"clean,omitempty"`
	// Advanced tells that the holder's buckets started with an advance less than a
	// tolerance's window ago.
	Advanced bool `json:"advanced,omitempty"`
}

// Table is the slot table as it is kept in the store.
type Table struct {
	Slots []Slot `json:"slots"`
	// Writer and Nonce identify the last write, so that a writer that lost the
	// answer can see whether the write took effect.
	Writer lagoonhead.Incarnation `json:"writer"`
	Nonce  string                 `json:"nonce"`
}

// NewTable returns a table of n free slots.
func NewTable(n int) Table {
	t := Table{Slots: make([]Slot, n)}
	for i := range t.Slots {
		t.Slots[i].Clean = true
	}
	return t
}

// ParseTable decodes a table. It returns KindInvalid when the value is no table.
func ParseTable(value []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(value, &t); err != nil {
		return Table{}, &Error{lagoonhead.Fault{Op: "limit.parseTable", Kind: lagoonhead.KindInvalid, Err: err}}
	}
	return t, nil
}

// Encode returns the stored form.
func (t Table) Encode() []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic("limit: a slot table cannot be encoded: " + err.Error())
	}
	return b
}

// held is a slot that this daemon may use.
type held struct {
	slot  int
	since time.Duration // when the daemon saw that it holds the slot
	from  time.Duration // when its bucket begins to refill
	// advanced tells that the bucket starts with an advance at since, and not empty at
	// from.
	advanced bool
}

// Start is a slot in use.
type Start struct {
	Slot int
	// Refill is when the bucket begins to refill.
	Refill time.Duration
	// Advanced tells that the bucket is in use before Refill, with an advance.
	Advanced bool
	// Since is the beginning of the use.
	Since time.Duration
}

// Slots decides which slots one daemon holds. It is not safe for concurrent use.
type Slots struct {
	// VM and Incarnation name the daemon. They are set before use.
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// OneProcess tells that an earlier process of this VM cannot run any more. A slot that
	// it held then counts as given up: without this, all buckets of a fleet that lost power
	// stay empty for takenWait.
	OneProcess bool
	// AdvanceWindow is the least time between two advances for one slot. 0 means that
	// there are none. An advance is for a slot whose holder was an earlier process of
	// this VM: without it, a fleet that lost power has no tokens for the first second.
	AdvanceWindow time.Duration

	known    bool // a table was observed; its revision is positive
	table    Table
	revision int64
	heard    int64 // newest revision that a peer has seen
	held     []held
	givingUp bool
	// releasedAt is the revision over which a release was written last. While the
	// table has this revision, the write may still take effect, late.
	releasedAt int64
	listed     []lagoonhead.VM
	missing    map[lagoonhead.VMID]time.Duration // since when a holder is not listed
	// granted are the slots for which this process had its advance.
	granted map[int]bool
}

// Table returns the table observed last and its revision, which is 0 before the
// first one. The caller must not change it.
func (s *Slots) Table() (Table, int64) { return s.table, s.revision }

// Revision returns the newest revision of the table that this daemon has read or
// heard of.
func (s *Slots) Revision() int64 { return max(s.revision, s.heard) }

// Observe takes in the table as read from the store. now must not be earlier than
// the end of the read.
func (s *Slots) Observe(now time.Duration, t Table, revision int64) {
	if s.known && revision < s.revision {
		return
	}
	s.known, s.table, s.revision = true, t, revision
	s.held = slices.DeleteFunc(s.held, func(h held) bool {
		return h.slot >= len(t.Slots) || !s.mine(t.Slots[h.slot])
	})
	for i, slot := range t.Slots {
		if s.mine(slot) && !s.givingUp && !s.holds(i) && revision != s.releasedAt {
			s.held = append(s.held, held{slot: i, since: now, from: now + slotWait(slot), advanced: slot.Advanced && s.grant(i)})
		}
	}
	s.watchMissing(now)
}

// grant reports whether the slot is used for the first time. A slot that is taken up again
// gets no second advance.
func (s *Slots) grant(slot int) bool {
	if s.granted[slot] {
		return false
	}
	if s.granted == nil {
		s.granted = make(map[int]bool)
	}
	s.granted[slot] = true
	return true
}

func slotWait(s Slot) time.Duration {
	if s.Clean {
		return cleanWait
	}
	return takenWait
}

func (s *Slots) mine(slot Slot) bool {
	return slot.VM == s.VM && slot.Incarnation == s.Incarnation
}

func (s *Slots) holds(slot int) bool {
	return slices.ContainsFunc(s.held, func(h held) bool { return h.slot == slot })
}

// Hear takes in a revision of the table that a peer has seen.
func (s *Slots) Hear(revision int64) { s.heard = max(s.heard, revision) }

// Suspended reports whether a peer has seen a newer table. The daemon must not
// spend or lend until it has observed that one, since a slot of its own may have
// changed hands.
func (s *Slots) Suspended() bool { return s.heard > s.revision }

// List takes in the platform's list of VMs.
func (s *Slots) List(now time.Duration, vms []lagoonhead.VM) {
	s.listed = vms
	s.watchMissing(now)
}

func (s *Slots) watchMissing(now time.Duration) {
	if s.listed == nil {
		return
	}
	if s.missing == nil {
		s.missing = make(map[lagoonhead.VMID]time.Duration)
	}
	listed := func(id lagoonhead.VMID) bool {
		return slices.ContainsFunc(s.listed, func(v lagoonhead.VM) bool { return v.ID() == id })
	}
	for id := range s.missing {
		if listed(id) {
			delete(s.missing, id)
		}
	}
	for _, slot := range s.table.Slots {
		if _, ok := s.missing[slot.VM]; !ok && slot.VM != "" && !listed(slot.VM) {
			s.missing[slot.VM] = now
		}
	}
}

// Starts calls f for each slot that may be used now, in the order of the beginning of
// their use.
func (s *Slots) Starts(now time.Duration, f func(Start)) {
	slices.SortFunc(s.held, func(a, b held) int { return cmp.Compare(a.start(), b.start()) })
	for _, h := range s.held {
		if h.start() <= now {
			f(Start{Slot: h.slot, Refill: h.from, Advanced: h.advanced, Since: h.start()})
		}
	}
}

func (h held) start() time.Duration {
	if h.advanced {
		return h.since
	}
	return h.from
}

// Postpone starts the waits again that have not ended. It is called while the
// daemon is not fresh, since its peers may not have heard that it took a slot.
func (s *Slots) Postpone(now time.Duration) {
	for i, h := range s.held {
		if h.from > now {
			s.held[i].from = now + slotWait(s.table.Slots[h.slot])
		}
	}
}

// Drop stops the use of all slots at once. A slot that the table still names for
// this daemon is taken up again by the next Observe, empty and after the wait.
func (s *Slots) Drop() { s.held = s.held[:0] }

// GiveUp stops the use of all slots for good.
func (s *Slots) GiveUp() {
	s.givingUp = true
	s.Drop()
}

// Next returns the table that this daemon wants to write over the one that it
// observed last, and whether it wants any. A slot that is given up is out of use
// as soon as Next returns. The caller sets Writer and Nonce.
func (s *Slots) Next(now time.Duration) (Table, bool) {
	if !s.known {
		return Table{}, false
	}
	t := s.table
	t.Slots = slices.Clone(t.Slots)
	if s.givingUp {
		return t, s.release(t, len(t.Slots)) > 0
	}
	mine, want := s.count(s.VM, s.Incarnation), s.want()
	othersFirst := mine > 0 && s.someoneHasNone()
	if mine < want && !othersFirst {
		return t, s.take(now, t)
	}
	if mine > want || mine > 1 && othersFirst && !s.anyFree(now) {
		return t, s.release(t, 1) > 0
	}
	// A slot whose release is no longer wanted comes back with a new revision, which
	// makes the release conflict.
	again := s.releasedAt == s.revision && mine > len(s.held)
	return t, s.endAdvances(now, t) || again
}

// endAdvances unmarks the slots whose advance lies a window back, so that the next process
// of this VM may have one. It reports whether there are any.
func (s *Slots) endAdvances(now time.Duration, t Table) bool {
	ended := false
	for _, h := range s.held {
		if slot := &t.Slots[h.slot]; slot.Advanced && now-h.since > s.AdvanceWindow {
			slot.Advanced, ended = false, true
		}
	}
	return ended
}

// want returns the slots that each listed VM may hold. Before the first list a
// daemon takes one only: the first daemon of a fleet would otherwise take all of
// them, and the others would have none if it stopped before it gave some up.
func (s *Slots) want() int {
	if len(s.listed) == 0 {
		return 1
	}
	n := 0
	for _, v := range s.listed {
		if !v.Leaving() || v.ID() == s.VM {
			n++
		}
	}
	n = max(1, n)
	return (len(s.table.Slots) + n - 1) / n
}

func (s *Slots) count(vm lagoonhead.VMID, in lagoonhead.Incarnation) int {
	n := 0
	for _, slot := range s.table.Slots {
		if slot.VM == vm && (in == "" || slot.Incarnation == in) {
			n++
		}
	}
	return n
}

// someoneHasNone reports whether a listed VM that stays holds no slot.
func (s *Slots) someoneHasNone() bool {
	return slices.ContainsFunc(s.listed, func(v lagoonhead.VM) bool {
		return !v.Leaving() && v.ID() != s.VM && s.count(v.ID(), "") == 0
	})
}

func (s *Slots) anyFree(now time.Duration) bool {
	return slices.ContainsFunc(s.table.Slots, func(slot Slot) bool { return s.free(now, slot) })
}

func (s *Slots) free(now time.Duration, slot Slot) bool {
	if slot.VM == "" {
		return true
	}
	if slot.VM == s.VM {
		return slot.Incarnation != s.Incarnation
	}
	since, ok := s.missing[slot.VM]
	return ok && now-since > listLag
}

func (s *Slots) take(now time.Duration, t Table) bool {
	for i, slot := range t.Slots {
		if s.free(now, slot) {
			t.Slots[i] = Slot{VM: s.VM, Incarnation: s.Incarnation, Clean: s.clean(slot), Advanced: s.mayAdvance(slot)}
			return true
		}
	}
	return false
}

// clean reports whether the former holder of a free slot spends nothing any more.
func (s *Slots) clean(slot Slot) bool {
	if slot.VM == s.VM {
		return s.OneProcess
	}
	return slot.VM == "" && slot.Clean
}

// mayAdvance reports whether the buckets of a free slot may start with an advance. If the
// former holder had one a short time ago, both together may exceed the tolerance.
func (s *Slots) mayAdvance(slot Slot) bool {
	return s.AdvanceWindow > 0 && s.OneProcess && slot.VM == s.VM && !slot.Advanced
}

// release frees up to n slots of this daemon, in use or not.
func (s *Slots) release(t Table, n int) int {
	released := 0
	for i := len(t.Slots) - 1; i >= 0 && released < n; i-- {
		if !s.mine(t.Slots[i]) {
			continue
		}
		s.held = slices.DeleteFunc(s.held, func(h held) bool { return h.slot == i })
		t.Slots[i] = Slot{Clean: true}
		s.releasedAt = s.revision
		released++
	}
	return released
}

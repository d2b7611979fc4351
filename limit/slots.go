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

	// releasedWait is how long the new holder of a slot waits before its bucket refills
	// if the former holder released the slot: loans granted by the former holder can
	// be spent for this long.
	releasedWait = LoanTTL + LoanMargin
	// unreleasedWait is the wait if the former holder did not release the slot and may
	// still run. The former holder spends only while it is fresh: it has a message at
	// most 3 s old from a daemon that had read the slot table at most 3 s before, and
	// that message carries the revision of the table. Loans that it granted until then
	// can be spent for releasedWait. The sum is 7.1 s.
	unreleasedWait = 10 * time.Second
	// listLag is how long a VM must be missing from the platform's list of VMs before
	// its slots are free. It is the maximum staleness of the list.
	listLag = 15 * time.Second
)

// Slot is one row of the slot table.
type Slot struct {
	// VM and Incarnation identify the holder. They are empty while the slot is free.
	VM          lagoonhead.VMID        `json:"vm,omitempty"`
	Incarnation lagoonhead.Incarnation `json:"incarnation,omitempty"`
	// Clean reports whether the former holder is known to spend nothing any more,
	// usually because it released the slot itself.
	Clean bool `json:"clean,omitempty"`
	// Advanced reports whether the holder's buckets started with an advance less than
	// Slots.AdvanceWindow ago.
	Advanced bool `json:"advanced,omitempty"`
}

// Table is the slot table as stored.
type Table struct {
	Slots []Slot `json:"slots"`
	// Writer and Nonce identify the last write, so that a writer that got no response
	// can see whether the write took effect.
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

// ParseTable decodes a stored table. The error has KindInvalid when the value is not a
// table.
func ParseTable(value []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(value, &t); err != nil {
		return Table{}, &Error{lagoonhead.Fault{Op: "limit.parseTable", Kind: lagoonhead.KindInvalid, Err: err}}
	}
	return t, nil
}

// Encode returns the JSON form that is stored.
func (t Table) Encode() []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic("limit: a slot table cannot be encoded: " + err.Error())
	}
	return b
}

// heldSlot is a slot that this daemon may use.
type heldSlot struct {
	slot       int
	since      time.Duration // when the daemon observed that it holds the slot
	refillFrom time.Duration // when its bucket starts to refill
	// advanced reports whether the bucket starts at since with an advance, and not empty
	// at refillFrom.
	advanced bool
}

// ActiveSlot describes a slot in use and when its use started.
type ActiveSlot struct {
	Slot int
	// Refill is the time when the bucket starts to refill.
	Refill time.Duration
	// Advanced reports whether the bucket is in use before Refill, with an advance.
	Advanced bool
	// Since is the time when the use started.
	Since time.Duration
}

// Slots decides which slots one daemon holds. It is not safe for concurrent use.
type Slots struct {
	// VM and Incarnation identify the daemon. They must be set before use.
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// NoEarlierProcess asserts that no earlier process of this VM is still running. A slot
	// that such a process held then counts as released. Otherwise all buckets of a fleet
	// would stay empty for unreleasedWait after a power loss.
	NoEarlierProcess bool
	// OnlyListed means that the daemon holds slots only while the list of VMs has its VM.
	OnlyListed bool
	// AdvanceWindow is the minimum time between two advances for one slot. 0 disables
	// advances. An advance is granted only for a slot whose last holder was an earlier
	// process of this VM. Without advances, a fleet would have no tokens for the first
	// second after a power loss.
	AdvanceWindow time.Duration

	observed     bool // whether a table was observed; its revision is positive
	table        Table
	revision     int64
	peerRevision int64 // newest revision reported by a peer
	held         []heldSlot
	retired      bool
	// releasedRevision is the table revision that the last release was based on. While the
	// table has this revision, the write of the release may still take effect.
	releasedRevision int64
	listed           []lagoonhead.VM
	missingSince     map[lagoonhead.VMID]time.Duration // when a holder was first found missing from the list
	// advanceGranted holds the slots for which this process got its advance.
	advanceGranted map[int]bool
}

// Table returns the last observed table and its revision, which is 0 before the
// first observation. The caller must not modify the table.
func (s *Slots) Table() (Table, int64) { return s.table, s.revision }

// Revision returns the newest revision of the table that this daemon has read or that a
// peer has reported.
func (s *Slots) Revision() int64 { return max(s.revision, s.peerRevision) }

// Observe processes the table as read from the store. now must not be earlier than
// the end of the read.
func (s *Slots) Observe(now time.Duration, t Table, revision int64) {
	if s.observed && revision < s.revision {
		return
	}
	s.observed, s.table, s.revision = true, t, revision
	s.held = slices.DeleteFunc(s.held, func(h heldSlot) bool {
		return h.slot >= len(t.Slots) || !s.isOwn(t.Slots[h.slot])
	})
	for i, slot := range t.Slots {
		if s.isOwn(slot) && !s.retired && !s.holds(i) && revision != s.releasedRevision {
			s.held = append(s.held, heldSlot{slot: i, since: now, refillFrom: now + refillWait(slot), advanced: slot.Advanced && s.grantAdvance(i)})
		}
	}
	s.updateMissing(now)
}

// grantAdvance reports whether the slot may get its advance in this process, and records the
// advance. A slot that the process stops using and resumes gets no second one.
func (s *Slots) grantAdvance(slot int) bool {
	if s.advanceGranted[slot] {
		return false
	}
	if s.advanceGranted == nil {
		s.advanceGranted = make(map[int]bool)
	}
	s.advanceGranted[slot] = true
	return true
}

func refillWait(s Slot) time.Duration {
	if s.Clean {
		return releasedWait
	}
	return unreleasedWait
}

func (s *Slots) isOwn(slot Slot) bool {
	return slot.VM == s.VM && slot.Incarnation == s.Incarnation
}

func (s *Slots) holds(slot int) bool {
	return slices.ContainsFunc(s.held, func(h heldSlot) bool { return h.slot == slot })
}

// ObserveRevision processes a revision of the table that a peer has reported.
func (s *Slots) ObserveRevision(revision int64) { s.peerRevision = max(s.peerRevision, revision) }

// Suspended reports whether a peer has reported a newer table. The daemon must not
// spend or lend until it has observed that table, since one of its slots may have
// passed to another holder.
func (s *Slots) Suspended() bool { return s.peerRevision > s.revision }

// ObserveVMs processes the platform's current list of VMs.
func (s *Slots) ObserveVMs(now time.Duration, vms []lagoonhead.VM) {
	s.listed = vms
	s.updateMissing(now)
}

func (s *Slots) updateMissing(now time.Duration) {
	if s.listed == nil {
		return
	}
	if s.missingSince == nil {
		s.missingSince = make(map[lagoonhead.VMID]time.Duration)
	}
	listed := func(id lagoonhead.VMID) bool {
		return slices.ContainsFunc(s.listed, func(v lagoonhead.VM) bool { return v.ID() == id })
	}
	for id := range s.missingSince {
		if listed(id) {
			delete(s.missingSince, id)
		}
	}
	for _, slot := range s.table.Slots {
		if _, ok := s.missingSince[slot.VM]; !ok && slot.VM != "" && !listed(slot.VM) {
			s.missingSince[slot.VM] = now
		}
	}
}

// EachActiveSlot calls f for each slot that may be used now, in order of the time when its
// use started.
func (s *Slots) EachActiveSlot(now time.Duration, f func(ActiveSlot)) {
	slices.SortFunc(s.held, func(a, b heldSlot) int { return cmp.Compare(a.usableFrom(), b.usableFrom()) })
	for _, h := range s.held {
		if h.usableFrom() <= now {
			f(ActiveSlot{Slot: h.slot, Refill: h.refillFrom, Advanced: h.advanced, Since: h.usableFrom()})
		}
	}
}

func (h heldSlot) usableFrom() time.Duration {
	if h.advanced {
		return h.since
	}
	return h.refillFrom
}

// Postpone restarts the waits that have not ended. It must be called while the daemon is
// not fresh (see config.View.Fresh), since its peers may not know yet that it claimed a slot.
func (s *Slots) Postpone(now time.Duration) {
	for i, h := range s.held {
		if h.refillFrom > now {
			s.held[i].refillFrom = now + refillWait(s.table.Slots[h.slot])
		}
	}
}

// StopUse stops the use of all slots at once. A slot that the table still assigns to
// this daemon is used again after the next Observe, starting empty and after the wait.
func (s *Slots) StopUse() { s.held = s.held[:0] }

// Retire permanently stops the use of all slots. NextTable then releases them in the table.
func (s *Slots) Retire() {
	s.retired = true
	s.StopUse()
}

// NextTable returns the table that this daemon wants to write in place of the last observed
// one, and whether there is anything to write. A slot that the new table releases is no
// longer used once NextTable returns. The caller sets Writer and Nonce.
func (s *Slots) NextTable(now time.Duration) (Table, bool) {
	if !s.observed {
		return Table{}, false
	}
	t := s.table
	t.Slots = slices.Clone(t.Slots)
	if s.retired {
		return t, s.release(t, len(t.Slots)) > 0
	}
	owned, allowed := s.count(s.VM, s.Incarnation), s.maxPerVM()
	othersFirst := owned > 0 && s.anyVMWithoutSlot()
	if owned < allowed && !othersFirst {
		return t, s.claimFree(now, t)
	}
	if owned > allowed || owned > 1 && othersFirst && !s.anyFreeSlot(now) {
		return t, s.release(t, 1) > 0
	}
	// To cancel a release that is no longer wanted, the table is written unchanged: the
	// new revision makes the pending release conflict, and the slot can be used again.
	cancelRelease := s.releasedRevision == s.revision && owned > len(s.held)
	return t, s.clearAdvances(now, t) || cancelRelease
}

// clearAdvances clears Advanced in the slots whose advance is older than AdvanceWindow, so
// that the next process of this VM may get one. It reports whether there are any.
func (s *Slots) clearAdvances(now time.Duration, t Table) bool {
	cleared := false
	for _, h := range s.held {
		if slot := &t.Slots[h.slot]; slot.Advanced && now-h.since > s.AdvanceWindow {
			slot.Advanced, cleared = false, true
		}
	}
	return cleared
}

// MayHold reports whether this VM may hold a slot.
func (s *Slots) MayHold() bool { return !s.OnlyListed || s.isListed() }

func (s *Slots) isListed() bool {
	return slices.ContainsFunc(s.listed, func(v lagoonhead.VM) bool { return v.ID() == s.VM })
}

// maxPerVM returns the maximum number of slots that this VM may hold. Before the first list
// it is 1: otherwise the first daemon of a fleet would claim all slots, and the
// others would have none if it stopped before releasing some.
func (s *Slots) maxPerVM() int {
	if !s.MayHold() {
		return 0
	}
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

// count returns the number of slots that the given process of a VM holds in the last
// observed table. An empty incarnation stands for all processes of the VM.
func (s *Slots) count(vm lagoonhead.VMID, in lagoonhead.Incarnation) int {
	n := 0
	for _, slot := range s.table.Slots {
		if slot.VM == vm && (in == "" || slot.Incarnation == in) {
			n++
		}
	}
	return n
}

// anyVMWithoutSlot reports whether another listed VM that is not leaving holds no slot.
func (s *Slots) anyVMWithoutSlot() bool {
	return slices.ContainsFunc(s.listed, func(v lagoonhead.VM) bool {
		return !v.Leaving() && v.ID() != s.VM && s.count(v.ID(), "") == 0
	})
}

func (s *Slots) anyFreeSlot(now time.Duration) bool {
	return slices.ContainsFunc(s.table.Slots, func(slot Slot) bool { return s.isFree(now, slot) })
}

func (s *Slots) isFree(now time.Duration, slot Slot) bool {
	if slot.VM == "" {
		return true
	}
	if slot.VM == s.VM {
		return slot.Incarnation != s.Incarnation
	}
	since, ok := s.missingSince[slot.VM]
	return ok && now-since > listLag
}

func (s *Slots) claimFree(now time.Duration, t Table) bool {
	for i, slot := range t.Slots {
		if s.isFree(now, slot) {
			t.Slots[i] = Slot{VM: s.VM, Incarnation: s.Incarnation, Clean: s.isClean(slot), Advanced: s.mayAdvance(slot)}
			return true
		}
	}
	return false
}

// isClean reports whether the former holder of a free slot is known to spend nothing any
// more.
func (s *Slots) isClean(slot Slot) bool {
	if slot.VM == s.VM {
		return s.NoEarlierProcess
	}
	return slot.VM == "" && slot.Clean
}

// mayAdvance reports whether the buckets of a free slot may start with an advance. They
// may not if the former holder got one less than AdvanceWindow ago, since both together
// may exceed the tolerance.
func (s *Slots) mayAdvance(slot Slot) bool {
	return s.AdvanceWindow > 0 && s.NoEarlierProcess && slot.VM == s.VM && !slot.Advanced
}

// release frees up to n slots of this daemon in t, whether in use or still waiting, and
// returns how many it freed.
func (s *Slots) release(t Table, n int) int {
	released := 0
	for i := len(t.Slots) - 1; i >= 0 && released < n; i-- {
		if !s.isOwn(t.Slots[i]) {
			continue
		}
		s.held = slices.DeleteFunc(s.held, func(h heldSlot) bool { return h.slot == i })
		t.Slots[i] = Slot{Clean: true}
		s.releasedRevision = s.revision
		released++
	}
	return released
}

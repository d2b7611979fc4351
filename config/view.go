package config

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// FreshnessWindow is how long a confirmation that there is no newer revision keeps a daemon
// fresh, and how long the reported state of a peer counts. An accepted revision must be
// in force everywhere within 4 s, so a daemon without a new confirmation stops starting
// work before that.
const FreshnessWindow = 3 * time.Second

// maxConfirmations bounds the stored confirmations, which include those of revisions
// that are not in force yet.
const maxConfirmations = 16

// noConfirmation is the age that a heartbeat carries if its sender has no confirmation
// by the store.
const noConfirmation time.Duration = -1

// forever is a time after all others.
const forever time.Duration = math.MaxInt64

// confirmation states that no revision newer than revision was in the store at the
// time at.
type confirmation struct {
	at       time.Duration
	revision int64
}

// peerState is the revision that a peer is known to have had in force at some moment
// at or after the time at.
type peerState struct {
	at          time.Duration
	revision    int64
	incarnation lagoonhead.Incarnation
}

// Report is the part of a heartbeat that concerns the configuration.
type Report struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// Revision is the revision in force at the sender, or 0 if there is none.
	Revision int64
	// ConfirmationAge is the age of the sender's newest confirmation that the store has no
	// revision above Revision; it is negative if there is none.
	ConfirmationAge time.Duration
	// Peers is the state of other daemons as the sender knows it.
	Peers []PeerReport
}

// PeerReport is the state of another daemon as the sender of a heartbeat knows it.
type PeerReport struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// Revision is the revision in force at VM, or 0 if there is none.
	Revision int64
	// Age is an upper bound of the time since VM had Revision in force.
	Age time.Duration
}

// View holds what one daemon knows about revisions, and decides which revision is in
// force and whether the daemon is fresh. It does no I/O and reads no clock: times are
// arguments, as durations since boot. It is not safe for concurrent use.
//
// Only facts that were true at or after the start of this process count. The previous
// process of this VM may have confirmed a revision that was accepted because of that
// confirmation, and this process does not know of it. Facts from after the start are
// later than any such confirmation.
type View struct {
	self   lagoonhead.VMID
	start  time.Duration
	listed []lagoonhead.VMID
	peers  map[lagoonhead.VMID]peerState
	// confirmations are ordered by time and by revision.
	confirmations []confirmation
	// local is the newest revision that this daemon has all parts of.
	local   int64
	inForce int64
	// known is the newest revision that is known to exist, and knownAt the time at
	// which the daemon learned of it.
	known        int64
	knownAt      time.Duration
	staleAnswers int64
}

// NewView returns the view of a daemon that started at the given time and has no
// configuration.
func NewView(self lagoonhead.VMID, start time.Duration) *View {
	return &View{self: self, start: start, peers: make(map[lagoonhead.VMID]peerState)}
}

// SetListed sets the platform's list of VMs, which includes those that are leaving.
func (v *View) SetListed(vms []lagoonhead.VMID) {
	v.listed = slices.Clone(vms)
	slices.Sort(v.listed)
	v.listed = slices.Compact(v.listed)
	for vm := range v.peers {
		if !v.isListed(vm) {
			delete(v.peers, vm)
		}
	}
}

func (v *View) isListed(vm lagoonhead.VMID) bool {
	_, ok := slices.BinarySearch(v.listed, vm)
	return ok
}

// RecordStoreAnswer records the revision of the manifest that the store returned to a read
// sent at the time sent; 0 means that the store has no manifest. It returns false, and
// ignores the answer, if the daemon already knew of a newer revision at that time.
func (v *View) RecordStoreAnswer(now, sent time.Duration, revision int64) bool {
	if v.contradicted(sent, revision) {
		v.staleAnswers++
		return false
	}
	v.RecordExistence(now, revision)
	v.addConfirmation(confirmation{at: sent, revision: revision})
	return true
}

// contradicted reports whether at the time at the daemon already knew of a revision
// newer than newest.
func (v *View) contradicted(at time.Duration, newest int64) bool {
	return newest < v.known && at >= v.knownAt
}

// RecordExistence records that a revision exists, since some daemon has it. It confirms no
// revision, so it never extends the time until which the daemon is fresh.
func (v *View) RecordExistence(now time.Duration, revision int64) {
	if revision > v.known {
		v.known, v.knownAt = revision, now
	}
}

// RecordHeartbeat records a heartbeat that answers a request of this daemon, sent at the
// time sent. The sender's revision was in force at that time or later; the other facts may
// be older by the ages that the heartbeat carries.
func (v *View) RecordHeartbeat(now, sent time.Duration, r Report) {
	v.RecordExistence(now, r.Revision)
	v.addPeerState(r.VM, peerState{at: sent, revision: r.Revision, incarnation: r.Incarnation})
	for _, h := range r.Peers {
		v.RecordExistence(now, h.Revision)
		if h.Age >= 0 {
			v.addPeerState(h.VM, peerState{at: sent - h.Age, revision: h.Revision, incarnation: h.Incarnation})
		}
	}
	if r.ConfirmationAge >= 0 && r.Revision > 0 {
		v.addConfirmation(confirmation{at: sent - r.ConfirmationAge, revision: r.Revision})
	}
}

// addPeerState keeps the latest state of each listed peer.
func (v *View) addPeerState(vm lagoonhead.VMID, s peerState) {
	if vm == v.self || s.at < v.start || !v.isListed(vm) {
		return
	}
	if old, ok := v.peers[vm]; ok && old.at >= s.at {
		return
	}
	v.peers[vm] = s
}

// addConfirmation keeps the confirmations ordered by time and by revision: one that is
// older than another and has a higher revision is redundant and dropped.
func (v *View) addConfirmation(c confirmation) {
	if c.at < v.start || v.contradicted(c.at, c.revision) {
		return
	}
	for _, o := range v.confirmations {
		if o.at >= c.at && o.revision <= c.revision {
			return
		}
	}
	v.confirmations = slices.DeleteFunc(v.confirmations, func(o confirmation) bool { return c.at >= o.at && c.revision <= o.revision })
	i, _ := slices.BinarySearchFunc(v.confirmations, c, func(a, b confirmation) int { return cmp.Compare(a.at, b.at) })
	v.confirmations = slices.Insert(v.confirmations, i, c)
	if len(v.confirmations) > maxConfirmations {
		// Keep the oldest one, since it has the lowest revision and so is most likely to
		// apply to the revision in force.
		v.confirmations = slices.Delete(v.confirmations, 1, 2)
	}
}

// confirmationTime returns the latest time at which the store is known to have had no
// revision newer than r. The second result is false if there is no such time.
func (v *View) confirmationTime(r int64) (time.Duration, bool) {
	for i := len(v.confirmations) - 1; i >= 0; i-- {
		if v.confirmations[i].revision <= r {
			return v.confirmations[i].at, true
		}
	}
	return 0, false
}

// SetLocal records that this daemon has all parts of a revision.
func (v *View) SetLocal(revision int64) { v.local = max(v.local, revision) }

// Local returns the newest revision that this daemon has all parts of.
func (v *View) Local() int64 { return v.local }

// Adopt puts the local revision in force if it is newer than the one in force, and
// reports whether it did. Before the first revision of a process is put in force, the
// store or a majority of the listed VMs must confirm that no newer one has been
// accepted.
func (v *View) Adopt(now time.Duration) bool {
	if v.local <= v.inForce {
		return false
	}
	if v.inForce == 0 && !v.localConfirmed(now) {
		return false
	}
	v.inForce = v.local
	v.RecordExistence(now, v.inForce)
	return true
}

// localConfirmed reports whether the store or a majority of the listed VMs confirms
// that no revision newer than the local one has been accepted.
func (v *View) localConfirmed(now time.Duration) bool {
	if _, ok := v.confirmationTime(v.local); ok {
		return true
	}
	at, ok := v.majorityTime(v.local)
	return ok && now-at <= FreshnessWindow
}

// InForce returns the revision in force, or 0 if there is none.
func (v *View) InForce() int64 { return v.inForce }

// Known returns the newest revision that is known to exist.
func (v *View) Known() int64 { return v.known }

// StaleAnswers returns how many answers of the store had an older revision than the
// daemon knew of when it sent the read.
func (v *View) StaleAnswers() int64 { return v.staleAnswers }

// majorityTime returns the latest time such that a majority of the listed VMs reported,
// at that time or later, a revision in force that is not newer than r. ok is false if
// there is no such majority. The daemon counts itself once it has a revision in force.
// A peer without one does not count, since it may have restarted after it confirmed a
// newer revision.
func (v *View) majorityTime(r int64) (at time.Duration, ok bool) {
	need := Majority(len(v.listed))
	if v.inForce > 0 && v.isListed(v.self) {
		need--
	}
	times := make([]time.Duration, 0, len(v.peers))
	for _, s := range v.peers {
		if s.revision > 0 && s.revision <= r {
			times = append(times, s.at)
		}
	}
	if len(v.listed) == 0 || len(times) < need {
		return 0, false
	}
	if need == 0 {
		return forever, true
	}
	slices.Sort(times)
	return times[len(times)-need], true
}

// Majority returns the smallest number that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// FreshUntil returns the time until which the daemon is fresh without further
// confirmations. ok is false if no confirmation applies to the revision in force.
func (v *View) FreshUntil() (until time.Duration, ok bool) {
	if v.inForce == 0 {
		return 0, false
	}
	if at, found := v.confirmationTime(v.inForce); found {
		until, ok = at+FreshnessWindow, true
	}
	at, found := v.majorityTime(v.inForce)
	switch {
	case !found:
		return until, ok
	case at == forever:
		return forever, true
	default:
		return max(until, at+FreshnessWindow), true
	}
}

// Fresh reports whether the daemon's configuration is recent enough to start work.
func (v *View) Fresh(now time.Duration) bool {
	until, ok := v.FreshUntil()
	return ok && now <= until
}

// Reason is the reason why the daemon is not fresh.
type Reason string

// The reasons why a daemon is not fresh.
const (
	ReasonNone      Reason = ""
	ReasonNoConfig  Reason = "no configuration is in force yet"
	ReasonBehind    Reason = "a newer configuration exists and is not in force yet"
	ReasonNoContact Reason = "neither the store nor a majority of the VMs has confirmed the configuration within 3 s"
)

// Reason returns why the daemon is not fresh, or ReasonNone.
func (v *View) Reason(now time.Duration) Reason {
	switch {
	case v.Fresh(now):
		return ReasonNone
	case v.inForce == 0:
		return ReasonNoConfig
	case v.known > v.inForce:
		return ReasonBehind
	default:
		return ReasonNoContact
	}
}

// ConfirmationAge returns the age of the newest confirmation by the store that applies to
// the revision in force, or a negative value if there is none.
func (v *View) ConfirmationAge(now time.Duration) time.Duration {
	at, ok := v.confirmationTime(v.inForce)
	if !ok || v.inForce == 0 {
		return noConfirmation
	}
	return now - at
}

// Peers returns the peers whose state is known from the last FreshnessWindow, ordered by VM.
func (v *View) Peers(now time.Duration) []PeerReport {
	out := make([]PeerReport, 0, len(v.peers))
	for vm, s := range v.peers {
		if age := now - s.at; age <= FreshnessWindow {
			out = append(out, PeerReport{VM: vm, Incarnation: s.incarnation, Revision: s.revision, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b PeerReport) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Report returns the report for this daemon's heartbeats.
func (v *View) Report(now time.Duration, in lagoonhead.Incarnation) Report {
	return Report{
		VM: v.self, Incarnation: in, Revision: v.inForce, ConfirmationAge: v.ConfirmationAge(now), Peers: v.Peers(now),
	}
}

// Confirmed splits the listed VMs into those that are known, from the last FreshnessWindow,
// to have the given revision or a newer one in force, and the others.
func (v *View) Confirmed(now time.Duration, revision int64) (confirmed, unconfirmed []lagoonhead.VMID) {
	for _, vm := range v.listed {
		s, ok := v.peers[vm]
		if vm == v.self {
			s, ok = peerState{at: now, revision: v.inForce}, true
		}
		if ok && s.revision >= revision && now-s.at <= FreshnessWindow {
			confirmed = append(confirmed, vm)
		} else {
			unconfirmed = append(unconfirmed, vm)
		}
	}
	return confirmed, unconfirmed
}

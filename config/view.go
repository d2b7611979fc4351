package config

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Window is how long a confirmation of the newest revision keeps a daemon fresh,
// and how long a peer counts as heard from. An accepted revision must be in force
// everywhere within 4 s, so a daemon without news stops before that.
const Window = 3 * time.Second

// maxProofs bounds the confirmations that wait for their revision.
const maxProofs = 16

// noProof is the age in a heartbeat whose sender has no confirmation.
const noProof time.Duration = -1

// forever is later than any time since boot.
const forever time.Duration = math.MaxInt64

// proof says that the newest revision in the store was not above revision at the
// time at.
type proof struct {
	at       time.Duration
	revision int64
}

// heard is what a peer was known to have in force at the time at or later.
type heard struct {
	at          time.Duration
	revision    int64
	incarnation lagoonhead.Incarnation
}

// Report is what a heartbeat says about the configuration.
type Report struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	// Revision is in force at the sender; 0 means none.
	Revision int64
	// ProofAge is the age of the sender's newest confirmation that no revision above
	// Revision is in the store; it is negative when there is none.
	ProofAge time.Duration
	// Heard is what the sender knows of other daemons.
	Heard []HeardReport
}

// HeardReport is what the sender of a heartbeat knows of another daemon.
type HeardReport struct {
	VM          lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Revision    int64
	Age         time.Duration
}

// View is what one daemon knows about revisions, and the decisions that follow. It
// is pure: times come in as arguments and are durations since boot. It is not safe
// for concurrent use.
//
// Only facts that were true at or after the start of this process count. A revision
// can have been accepted on the word of the process before it, which may since have
// been forgotten; whatever is learned after the start is newer than that word.
type View struct {
	self    lagoonhead.VMID
	start   time.Duration
	listed  []lagoonhead.VMID
	heard   map[lagoonhead.VMID]heard
	proofs  []proof
	held    int64
	inForce int64
	// known is the newest revision that is known to exist, and knownAt the time
	// since when.
	known   int64
	knownAt time.Duration
	stale   int64
}

// NewView returns the view of a daemon that started at the given time and has no
// configuration.
func NewView(self lagoonhead.VMID, start time.Duration) *View {
	return &View{self: self, start: start, heard: make(map[lagoonhead.VMID]heard)}
}

// SetListed takes the platform's list of VMs, leaving ones included.
func (v *View) SetListed(vms []lagoonhead.VMID) {
	v.listed = slices.Clone(vms)
	slices.Sort(v.listed)
	v.listed = slices.Compact(v.listed)
	for vm := range v.heard {
		if !v.isListed(vm) {
			delete(v.heard, vm)
		}
	}
}

func (v *View) isListed(vm lagoonhead.VMID) bool {
	_, ok := slices.BinarySearch(v.listed, vm)
	return ok
}

// StoreAnswered takes the revision of the manifest that the store returned to a
// read that was sent at since; 0 means that the store has no manifest. It reports
// whether the answer can be true.
func (v *View) StoreAnswered(now, since time.Duration, revision int64) bool {
	if v.contradicted(since, revision) {
		v.stale++
		return false
	}
	v.Told(now, revision)
	v.addProof(proof{at: since, revision: revision})
	return true
}

// contradicted reports whether a newer revision was known to exist at the time at.
func (v *View) contradicted(at time.Duration, newest int64) bool {
	return newest < v.known && at >= v.knownAt
}

// Told takes a revision that exists because some daemon has it. It tells nothing
// about freshness.
func (v *View) Told(now time.Duration, revision int64) {
	if revision > v.known {
		v.known, v.knownAt = revision, now
	}
}

// Heard takes a heartbeat that answers a request of this daemon, sent at since.
// What it says was true at since or later, less the ages that it carries.
func (v *View) Heard(now, since time.Duration, r Report) {
	v.Told(now, r.Revision)
	v.addHeard(r.VM, heard{at: since, revision: r.Revision, incarnation: r.Incarnation})
	for _, h := range r.Heard {
		v.Told(now, h.Revision)
		if h.Age >= 0 {
			v.addHeard(h.VM, heard{at: since - h.Age, revision: h.Revision, incarnation: h.Incarnation})
		}
	}
	if r.ProofAge >= 0 && r.Revision > 0 {
		v.addProof(proof{at: since - r.ProofAge, revision: r.Revision})
	}
}

func (v *View) addHeard(vm lagoonhead.VMID, h heard) {
	if vm == v.self || h.at < v.start || !v.isListed(vm) {
		return
	}
	if old, ok := v.heard[vm]; ok && old.at >= h.at {
		return
	}
	v.heard[vm] = h
}

// addProof keeps the proofs ordered by time and by revision: a proof that is both
// older and of a higher revision than another one tells nothing.
func (v *View) addProof(p proof) {
	if p.at < v.start || v.contradicted(p.at, p.revision) {
		return
	}
	for _, o := range v.proofs {
		if o.at >= p.at && o.revision <= p.revision {
			return
		}
	}
	v.proofs = slices.DeleteFunc(v.proofs, func(o proof) bool { return p.at >= o.at && p.revision <= o.revision })
	i, _ := slices.BinarySearchFunc(v.proofs, p, func(a, b proof) int { return cmp.Compare(a.at, b.at) })
	v.proofs = slices.Insert(v.proofs, i, p)
	if len(v.proofs) > maxProofs {
		// The oldest stays, since it needs the lowest revision.
		v.proofs = slices.Delete(v.proofs, 1, 2)
	}
}

// proofTime returns the time of the newest proof that revision r fulfils.
func (v *View) proofTime(r int64) (time.Duration, bool) {
	for i := len(v.proofs) - 1; i >= 0; i-- {
		if v.proofs[i].revision <= r {
			return v.proofs[i].at, true
		}
	}
	return 0, false
}

// Hold tells that all parts of a revision are at hand.
func (v *View) Hold(revision int64) { v.held = max(v.held, revision) }

// Held returns the newest revision whose parts are at hand.
func (v *View) Held() int64 { return v.held }

// Adopt puts the held revision in force when it is newer than the one in force and
// may be, and reports whether it did. The first revision of a process needs a
// confirmation, by the store or by a majority of the listed VMs, that no newer one
// has been accepted.
func (v *View) Adopt(now time.Duration) bool {
	if v.held <= v.inForce {
		return false
	}
	if v.inForce == 0 && !v.confirmed(now) {
		return false
	}
	v.inForce = v.held
	v.Told(now, v.inForce)
	return true
}

func (v *View) confirmed(now time.Duration) bool {
	if _, ok := v.proofTime(v.held); ok {
		return true
	}
	at, ok := v.majorityTime(v.held)
	return ok && now-at <= Window
}

// InForce returns the revision in force, or 0.
func (v *View) InForce() int64 { return v.inForce }

// Known returns the newest revision that is known to exist.
func (v *View) Known() int64 { return v.known }

// StaleAnswers returns how many answers of the store were older than what the
// daemon knew when it asked.
func (v *View) StaleAnswers() int64 { return v.stale }

// majorityTime returns the time since which a majority of the listed VMs was heard
// from with a revision in force that is not above r. ok is false when there is no
// such majority. The daemon counts itself once it has a revision in force; a peer
// without one does not count, since it may have forgotten what it confirmed.
func (v *View) majorityTime(r int64) (at time.Duration, ok bool) {
	need := Majority(len(v.listed))
	if v.inForce > 0 && v.isListed(v.self) {
		need--
	}
	times := make([]time.Duration, 0, len(v.heard))
	for _, h := range v.heard {
		if h.revision > 0 && h.revision <= r {
			times = append(times, h.at)
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

// Majority returns how many of n are more than half.
func Majority(n int) int { return n/2 + 1 }

// FreshUntil returns the time until which the daemon is fresh if nothing more is
// learned. ok is false when it has no reason to be fresh at any time.
func (v *View) FreshUntil() (until time.Duration, ok bool) {
	if v.inForce == 0 {
		return 0, false
	}
	if at, found := v.proofTime(v.inForce); found {
		until, ok = at+Window, true
	}
	at, found := v.majorityTime(v.inForce)
	switch {
	case !found:
		return until, ok
	case at == forever:
		return forever, true
	default:
		return max(until, at+Window), true
	}
}

// Fresh reports whether the daemon may start work.
func (v *View) Fresh(now time.Duration) bool {
	until, ok := v.FreshUntil()
	return ok && now <= until
}

// Reason says why the daemon is not fresh.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""
	ReasonNoConfig  Reason = "no configuration is in force yet"
	ReasonBehind    Reason = "a newer configuration exists and is not at hand yet"
	ReasonNoContact Reason = "neither the store nor a majority of the VMs has been heard from within 3 s"
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

// ProofAge returns the age of the newest confirmation by the store, or a negative
// one.
func (v *View) ProofAge(now time.Duration) time.Duration {
	at, ok := v.proofTime(v.inForce)
	if !ok || v.inForce == 0 {
		return noProof
	}
	return now - at
}

// Peers returns the peers that have been heard from within Window, ordered.
func (v *View) Peers(now time.Duration) []HeardReport {
	out := make([]HeardReport, 0, len(v.heard))
	for vm, h := range v.heard {
		if age := now - h.at; age <= Window {
			out = append(out, HeardReport{VM: vm, Incarnation: h.incarnation, Revision: h.revision, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b HeardReport) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Report returns what the daemon tells its peers.
func (v *View) Report(now time.Duration, in lagoonhead.Incarnation) Report {
	return Report{
		VM: v.self, Incarnation: in, Revision: v.inForce, ProofAge: v.ProofAge(now), Heard: v.Peers(now),
	}
}

// Confirmed splits the listed VMs into those that have at least the revision in
// force, as heard within Window, and the others.
func (v *View) Confirmed(now time.Duration, revision int64) (confirmed, unconfirmed []lagoonhead.VMID) {
	for _, vm := range v.listed {
		h, ok := v.heard[vm]
		if vm == v.self {
			h, ok = heard{at: now, revision: v.inForce}, true
		}
		if ok && h.revision >= revision && now-h.at <= Window {
			confirmed = append(confirmed, vm)
		} else {
			unconfirmed = append(unconfirmed, vm)
		}
	}
	return confirmed, unconfirmed
}

package config

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Keys in the store.
const (
	// ManifestKey holds the manifest of the newest revision.
	ManifestKey = "config/manifest"
	// PartPrefix and the hash of a part make the key of the part.
	PartPrefix = "config/part/"
)

const (
	// watcherCount is the number of daemons that watch the manifest and read it
	// periodically. A pending watch counts as a call to the store, so not every daemon
	// can have one.
	watcherCount = 3
	// watchTimeout bounds one watch. The manifest is read after each watch, and this
	// read confirms which revision is the newest.
	watchTimeout = 500 * time.Millisecond
	// fallbackAge is the age of the newest confirmation above which a daemon that is
	// not a watcher reads the store itself. In a simulation of 390 daemons that query
	// five peers every 250 ms, no daemon's newest confirmation was older than 1.2 s.
	fallbackAge = 2 * time.Second
	// maxPeerReports bounds the entries about other daemons in a heartbeat. In the same
	// simulation with the store down, 32 random entries kept all daemons fresh; with
	// all 390 entries a heartbeat would have about 18 KB.
	maxPeerReports = 32
	// fallbackInterval is the time between two reads by a daemon that is not a watcher,
	// and before a watcher retries a failed read: 390 daemons make 390 calls/s.
	fallbackInterval = time.Second
	// idleInterval is the time between two checks whether to read the store or to pull
	// from a peer.
	idleInterval = 250 * time.Millisecond
	// storeTimeout bounds one call to the store, except for watches.
	storeTimeout = time.Second
	// pullTimeout bounds a pull, which carries the whole configuration (4 MB at 6,400
	// workspaces) to a daemon that has none.
	pullTimeout = 3 * time.Second
	// maxPullAttempts bounds the peers that are tried before the store is read.
	maxPullAttempts = 3
	// maxFetches bounds the parts that are read or written in parallel.
	maxFetches = 8
)

// Peers makes calls to other daemons.
type Peers interface {
	// Pull returns the revision that vm has in force, if it is newer than the one in r.
	Pull(ctx context.Context, vm lagoonhead.VM, r *peer.PullConfigRequest) (*peer.PullConfigResponse, error)
	// State returns the revision that vm has in force.
	State(ctx context.Context, vm lagoonhead.VM) (*peer.RevisionStateResponse, error)
}

// bundle is one revision with all its parts. It is immutable.
type bundle struct {
	manifest *inventory.Manifest
	// raw is the encoded manifest.
	raw []byte
	// bodies are the encoded parts by their hash.
	bodies    map[string][]byte
	inventory *inventory.Inventory
	directory *inventory.Directory
}

// Runner keeps the newest configuration in force on this daemon. Set the exported
// fields before Run; the methods may be called at any time. It implements
// lagoonhead.DirectorySource, lagoonhead.Gate and peer.ConfigSource.
type Runner struct {
	Self        lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Store       lagoonhead.StoreReader
	Peers       Peers
	Timer       timer.Timer
	// Decisions records each revision that is put in force. It may be nil.
	Decisions lagoonhead.DecisionRecorder

	once sync.Once
	// wake makes pullLoop start a pull.
	wake    chan struct{}
	inForce atomic.Pointer[bundle]
	// freshUntil is the time since boot, in nanoseconds, until which the daemon is
	// fresh without further confirmation. It is negative when there is no such time.
	freshUntil atomic.Int64

	// joining serializes calls of install, so that each part is decoded only once.
	joining sync.Mutex
	joiner  inventory.Joiner

	// mu protects the fields below, except for vars.
	mu   sync.Mutex
	view *View
	// local is the newest revision that this daemon has all parts of. It may not be in
	// force yet.
	local *bundle
	vms   map[lagoonhead.VMID]lagoonhead.VM
	// watcher is true if this daemon is a watcher.
	watcher bool
	// announcer is the sender of the last heartbeat request with a revision newer than
	// the local one.
	announcer lagoonhead.VMID

	vars expvar.Map
}

var (
	_ lagoonhead.DirectorySource = (*Runner)(nil)
	_ lagoonhead.Gate            = (*Runner)(nil)
	_ peer.ConfigSource          = (*Runner)(nil)
)

// initialize creates the view on the first call. Facts from before that time do not
// count for freshness.
func (r *Runner) initialize() {
	r.once.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.view = NewView(r.Self, r.Timer.Now())
		r.watcher = true
		r.freshUntil.Store(-1)
	})
}

// Vars returns the revision in force and the counters storeRead, storeFailed,
// storeStale (reads that returned an old revision), pulled, pullFailed, applied
// (revisions put in force), refused (calls of Fresh that returned an error) and
// damaged (manifests or parts that could not be decoded).
func (r *Runner) Vars() *expvar.Map {
	r.vars.Set("revision", expvar.Func(func() any { return r.RevisionState().GetRevision() }))
	return &r.vars
}

// Run reads the store and pulls revisions from peers until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.initialize()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.readLoop(ctx) })
	g.Go(func() error { return r.pullLoop(ctx) })
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// Directory returns the configuration in force, or nil if there is none yet.
func (r *Runner) Directory() lagoonhead.Directory {
	if b := r.inForce.Load(); b != nil {
		return b.directory
	}
	return nil
}

// CompiledDirectory returns the configuration in force, or nil if there is none yet. Unlike
// Directory it gives access to everything that was compiled from the inventory.
func (r *Runner) CompiledDirectory() *inventory.Directory {
	if b := r.inForce.Load(); b != nil {
		return b.directory
	}
	return nil
}

// Inventory returns the inventory in force and its revision, or an empty inventory and
// 0 if there is none yet. The caller must not modify it.
func (r *Runner) Inventory() (*inventory.Inventory, int64) {
	if b := r.inForce.Load(); b != nil {
		return b.inventory, b.manifest.Revision
	}
	return &inventory.Inventory{}, 0
}

// Fresh returns nil if the configuration in force is recent enough for the daemon to
// start work, and otherwise an error of KindUnavailable with the reason.
func (r *Runner) Fresh() error {
	r.initialize()
	now := r.Timer.Now()
	if int64(now) <= r.freshUntil.Load() {
		return nil
	}
	r.mu.Lock()
	reason := r.view.Reason(now)
	r.mu.Unlock()
	if reason == ReasonNone {
		return nil
	}
	r.vars.Add("refused", 1)
	return fail("fresh", lagoonhead.KindUnavailable, errors.New(string(reason)))
}

// update lets f modify the view. Then it puts the local revision in force if the view
// allows it, stores until when the daemon is fresh, and starts a pull if a newer
// revision exists.
func (r *Runner) update(f func(v *View, now time.Duration)) {
	r.initialize()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.view, now)
	if r.view.Adopt(now) {
		r.apply(now)
	}
	until, ok := r.view.FreshUntil()
	if !ok {
		until = -1
	}
	r.freshUntil.Store(int64(until))
	if r.view.Known() > r.view.Local() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// apply puts the local revision in force. The caller holds mu.
func (r *Runner) apply(now time.Duration) {
	b := r.local
	r.inForce.Store(b)
	r.vars.Add("applied", 1)
	if r.Decisions != nil {
		r.Decisions.RecordDecision(lagoonhead.Decision{
			At: now, Topic: "config", Subject: string(r.Self),
			Result: fmt.Sprintf("revision %d is in force", b.manifest.Revision),
			Reason: "committed by " + b.manifest.Writer,
		})
	}
}

// SetVMs sets the platform's VM list. The second argument, the time at which the list
// was requested, is not used, since the list may lag behind anyway.
func (r *Runner) SetVMs(list []lagoonhead.VM, _ time.Duration) {
	ids := make([]lagoonhead.VMID, 0, len(list))
	vms := make(map[lagoonhead.VMID]lagoonhead.VM, len(list))
	for _, vm := range list {
		ids = append(ids, vm.ID())
		vms[vm.ID()] = vm
	}
	r.update(func(v *View, _ time.Duration) {
		v.SetListed(ids)
		r.vms = vms
		r.watcher = isWatcher(r.Self, ids)
	})
}

// isWatcher reports whether the VM is one of the first watcherCount of the list in the
// order of their hashes (rendezvous hashing). A VM that is not listed yet is a watcher
// too.
func isWatcher(self lagoonhead.VMID, list []lagoonhead.VMID) bool {
	if !slices.Contains(list, self) {
		return true
	}
	weight := func(vm lagoonhead.VMID) uint64 { return xxhash.Sum64String("config/" + string(vm)) }
	before := 0
	for _, vm := range list {
		if c := cmp.Compare(weight(vm), weight(self)); c < 0 || (c == 0 && vm < self) {
			before++
		}
	}
	return before < watcherCount
}

// RecordAnswerHeartbeat records the heartbeat in a peer's answer to a request that this
// daemon sent at the given time.
func (r *Runner) RecordAnswerHeartbeat(h *peer.Heartbeat, sent time.Duration) {
	report := Report{
		VM: lagoonhead.VMID(h.GetVm()), Incarnation: lagoonhead.Incarnation(h.GetIncarnation()),
		Revision: h.GetRevision(), ConfirmationAge: time.Duration(h.GetStoreContactAgeMs()) * time.Millisecond,
	}
	for _, o := range h.GetHeard() {
		report.Peers = append(report.Peers, PeerReport{
			VM: lagoonhead.VMID(o.GetVm()), Incarnation: lagoonhead.Incarnation(o.GetIncarnation()),
			Revision: o.GetRevision(), Age: time.Duration(o.GetAgeMs()) * time.Millisecond,
		})
	}
	r.update(func(v *View, now time.Duration) { v.RecordHeartbeat(now, sent, report) })
}

// RecordRequestHeartbeat records a heartbeat from a peer's request. It may have been
// delayed for any length of time, so it proves only that its revision exists.
func (r *Runner) RecordRequestHeartbeat(h *peer.Heartbeat) {
	r.update(func(v *View, now time.Duration) {
		if h.GetRevision() > v.Local() {
			r.announcer = lagoonhead.VMID(h.GetVm())
		}
		v.RecordExistence(now, h.GetRevision())
	})
}

// FillHeartbeat sets the fields of a heartbeat that concern the configuration. Ages are
// rounded up to whole milliseconds.
func (r *Runner) FillHeartbeat(h *peer.Heartbeat) {
	r.initialize()
	r.mu.Lock()
	report := r.view.Report(r.Timer.Now(), r.Incarnation)
	r.mu.Unlock()
	h.Vm, h.Incarnation, h.Revision = string(report.VM), string(report.Incarnation), report.Revision
	h.StoreContactAgeMs = milliseconds(report.ConfirmationAge)
	entries := limitPeerReports(report)
	h.Heard = make([]*peer.Heard, len(entries))
	for i, o := range entries {
		h.Heard[i] = &peer.Heard{
			Vm: string(o.VM), AgeMs: milliseconds(o.Age), Revision: o.Revision, Incarnation: string(o.Incarnation),
		}
	}
}

// limitPeerReports returns the entries about other daemons for a heartbeat. If there are
// more than maxPeerReports, it returns a random selection of them, or none while the
// sender has a recent confirmation by the store: the receiver needs no majority then.
func limitPeerReports(r Report) []PeerReport {
	if len(r.Peers) <= maxPeerReports {
		return r.Peers
	}
	if r.ConfirmationAge >= 0 && r.ConfirmationAge < FreshnessWindow/2 {
		return nil
	}
	rand.Shuffle(len(r.Peers), func(i, j int) { r.Peers[i], r.Peers[j] = r.Peers[j], r.Peers[i] })
	return r.Peers[:maxPeerReports]
}

// milliseconds rounds d up to milliseconds. It returns -1, which stands for an unknown
// age, if d is negative.
func milliseconds(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// PullConfig returns the revision in force, with the parts that the caller lacks if it
// is newer than the caller's.
func (r *Runner) PullConfig(q *peer.PullConfigRequest) *peer.PullConfigResponse {
	b := r.inForce.Load()
	if b == nil {
		return &peer.PullConfigResponse{}
	}
	out := &peer.PullConfigResponse{Revision: b.manifest.Revision}
	if b.manifest.Revision <= q.GetHaveRevision() {
		return out
	}
	out.Manifest = b.raw
	have := make(map[string]bool, len(q.GetHaveParts()))
	for _, h := range q.GetHaveParts() {
		have[h] = true
	}
	for _, ref := range b.manifest.Parts {
		if !have[ref.Hash] {
			out.Parts = append(out.Parts, &peer.ConfigPart{Hash: ref.Hash, Body: b.bodies[ref.Hash]})
		}
	}
	return out
}

// RevisionState returns the revision in force and the identity of this process.
func (r *Runner) RevisionState() *peer.RevisionStateResponse {
	_, revision := r.Inventory()
	return &peer.RevisionStateResponse{Vm: string(r.Self), Incarnation: string(r.Incarnation), Revision: revision}
}

// Confirmed splits the listed VMs into those that according to heartbeats have the
// given revision or a newer one in force, and the others. In a fleet of more than about
// 32 VMs a heartbeat does not cover all other VMs; Committer.Await queries each VM.
func (r *Runner) Confirmed(revision int64) (confirmed, unconfirmed []lagoonhead.VMID) {
	r.initialize()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Confirmed(r.Timer.Now(), revision)
}

// RecentPeers returns the peers whose state is known from the last FreshnessWindow,
// ordered by VM.
func (r *Runner) RecentPeers() []PeerReport {
	r.initialize()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Peers(r.Timer.Now())
}

// VMs returns the listed VMs, ordered by ID.
func (r *Runner) VMs() []lagoonhead.VM {
	r.initialize()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]lagoonhead.VM, 0, len(r.vms))
	for _, vm := range r.vms {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b lagoonhead.VM) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}

// install makes a revision the local one if it is newer, and puts it in force if the
// view allows it. Parts that are not in bodies are copied from the local revision.
func (r *Runner) install(raw []byte, bodies map[string][]byte) error {
	r.initialize()
	m, err := inventory.DecodeManifest(raw)
	if err != nil {
		r.vars.Add("damaged", 1)
		return fail("take", lagoonhead.KindInvalid, err)
	}
	r.joining.Lock()
	defer r.joining.Unlock()
	local := r.localBundle()
	if local != nil && m.Revision <= local.manifest.Revision {
		return nil
	}
	b := &bundle{manifest: m, raw: raw, bodies: make(map[string][]byte, len(m.Parts))}
	for _, ref := range m.Parts {
		if body, ok := findBody(ref.Hash, bodies, local); ok {
			b.bodies[ref.Hash] = body
		}
	}
	b.inventory, err = r.joiner.Join(m, func(h string) ([]byte, bool) { body, ok := b.bodies[h]; return body, ok })
	if err != nil {
		r.vars.Add("damaged", 1)
		return fail("take", lagoonhead.KindOf(err), err)
	}
	b.directory = inventory.Compile(b.inventory, m.Revision)
	r.update(func(v *View, now time.Duration) {
		r.local = b
		v.RecordExistence(now, m.Revision)
		v.SetLocal(m.Revision)
	})
	return nil
}

// findBody returns the part with the given hash from bodies or else from the local
// revision, which may be nil.
func findBody(hash string, bodies map[string][]byte, local *bundle) ([]byte, bool) {
	if b, ok := bodies[hash]; ok {
		return b, true
	}
	if local == nil {
		return nil, false
	}
	b, ok := local.bodies[hash]
	return b, ok
}

// localBundle returns the newest revision that this daemon has all parts of, or nil.
func (r *Runner) localBundle() *bundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local
}

// pullLoop pulls whenever a revision is known to exist that is newer than the local
// one.
func (r *Runner) pullLoop(ctx context.Context) error {
	ticks := r.Timer.Subscribe(idleInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-ticks.C():
		}
		r.pull(ctx)
	}
}

// pull fetches a newer revision from peers that have one, or else from the store.
func (r *Runner) pull(ctx context.Context) {
	for _, vm := range r.pullSources() {
		if r.pullFrom(ctx, vm) == nil {
			return
		}
		r.vars.Add("pullFailed", 1)
	}
	if r.behind() {
		_, _ = r.readStore(ctx)
	}
}

// behind reports whether a revision exists that is newer than the local one.
func (r *Runner) behind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Known() > r.view.Local()
}

// pullSources returns at most maxPullAttempts VMs that have a newer revision than the
// local one. The order is random, to spread the load of the pulls: the watchers get a
// new revision first. The announcer comes last.
func (r *Runner) pullSources() []lagoonhead.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Known() <= r.view.Local() {
		return nil
	}
	var out []lagoonhead.VM
	for _, p := range r.view.Peers(r.Timer.Now()) {
		if vm, ok := r.vms[p.VM]; ok && p.Revision > r.view.Local() && p.VM != r.announcer {
			out = append(out, vm)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if vm, ok := r.vms[r.announcer]; ok {
		out = append(out, vm)
	}
	return out[:min(len(out), maxPullAttempts)]
}

// pullFrom fetches the newer revision of one peer and installs it.
func (r *Runner) pullFrom(ctx context.Context, vm lagoonhead.VM) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	q := &peer.PullConfigRequest{}
	if b := r.localBundle(); b != nil {
		q.HaveRevision = b.manifest.Revision
		for _, ref := range b.manifest.Parts {
			q.HaveParts = append(q.HaveParts, ref.Hash)
		}
	}
	a, err := r.Peers.Pull(ctx, vm, q)
	if err != nil {
		return fail("pull", lagoonhead.KindOf(err), err)
	}
	if len(a.GetManifest()) == 0 {
		return fail("pull", lagoonhead.KindNotFound, fmt.Errorf("%s has no newer revision", vm.ID()))
	}
	bodies := make(map[string][]byte, len(a.GetParts()))
	for _, p := range a.GetParts() {
		bodies[p.GetHash()] = p.GetBody()
	}
	r.vars.Add("pulled", 1)
	return r.install(a.GetManifest(), bodies)
}

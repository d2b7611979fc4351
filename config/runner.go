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

// Keys of the store.
const (
	// ManifestKey holds the manifest of the newest revision.
	ManifestKey = "config/manifest"
	// PartPrefix is followed by the hash of a part.
	PartPrefix = "config/part/"
)

const (
	// watchers is the number of daemons that read the store regularly. A waiting
	// watch counts as a call of the store, so that not every daemon can have one.
	watchers = 3
	// watchTime bounds one watch. After it the manifest is read, which is what
	// confirms the newest revision.
	watchTime = 500 * time.Millisecond
	// fallbackAge is the age of the newest confirmation from which on a daemon reads
	// the store itself. In a simulation of 390 daemons that ask five peers every
	// 250 ms, no daemon's newest confirmation was older than 1.2 s.
	fallbackAge = 2 * time.Second
	// maxHeard bounds what a heartbeat says about other daemons. In the same
	// simulation without the store, 32 random entries kept all daemons fresh; all 390
	// would make heartbeats of about 18 KB.
	maxHeard = 32
	// fallbackInterval is the time between such reads: 390 daemons make 390 calls/s.
	fallbackInterval = time.Second
	// idleInterval is the time between looks at whether to read.
	idleInterval = 250 * time.Millisecond
	storeTimeout = time.Second
	// pullTimeout bounds a pull, which carries the whole configuration (4 MB at 6,400
	// workspaces) to a daemon that has none.
	pullTimeout = 3 * time.Second
	// pullTries is the number of peers that are asked before the store.
	pullTries = 3
	// fetches is the number of parts that are read at once.
	fetches = 8
)

// Peers are the calls to other daemons.
type Peers interface {
	// Pull returns a newer revision than the caller has, if there is one.
	Pull(ctx context.Context, vm lagoonhead.VM, r *peer.PullConfigRequest) (*peer.PullConfigResponse, error)
	// State returns what the daemon has in force.
	State(ctx context.Context, vm lagoonhead.VM) (*peer.RevisionStateResponse, error)
}

// bundle is one revision with all its parts. It is immutable.
type bundle struct {
	manifest  *inventory.Manifest
	raw       []byte
	bodies    map[string][]byte
	inventory *inventory.Inventory
	directory *inventory.Directory
}

// Runner keeps the newest configuration in force. Set the exported fields before
// Run; the methods may be called at any time. It implements
// lagoonhead.DirectorySource, lagoonhead.Gate and peer.ConfigSource.
type Runner struct {
	Self        lagoonhead.VMID
	Incarnation lagoonhead.Incarnation
	Store       lagoonhead.StoreReader
	Peers       Peers
	Timer       timer.Timer
	// Decisions gets each revision that comes into force. Nil keeps none.
	Decisions lagoonhead.DecisionRecorder

	once       sync.Once
	wake       chan struct{}
	inForce    atomic.Pointer[bundle]
	freshUntil atomic.Int64

	// joining serializes takes, so that the parts are decoded once only.
	joining sync.Mutex
	joiner  inventory.Joiner

	mu     sync.Mutex
	view   *View
	held   *bundle
	vms    map[lagoonhead.VMID]lagoonhead.VM
	watch  bool
	teller lagoonhead.VMID

	vars expvar.Map
}

var (
	_ lagoonhead.DirectorySource = (*Runner)(nil)
	_ lagoonhead.Gate            = (*Runner)(nil)
	_ peer.ConfigSource          = (*Runner)(nil)
)

// start makes the view at the first use. Nothing that was learned before counts.
func (r *Runner) start() {
	r.once.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.view = NewView(r.Self, r.Timer.Now())
		r.watch = true
		r.freshUntil.Store(-1)
	})
}

// Vars returns the revision in force and the counters storeRead, storeFailed,
// storeStale, pulled, pullFailed, applied, refused and damaged.
func (r *Runner) Vars() *expvar.Map {
	r.vars.Set("revision", expvar.Func(func() any { return r.RevisionState().GetRevision() }))
	return &r.vars
}

// Run reads the store and pulls from peers until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.start()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.readLoop(ctx) })
	g.Go(func() error { return r.pullLoop(ctx) })
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// Directory returns the configuration in force, or nil before the first one.
func (r *Runner) Directory() lagoonhead.Directory {
	if b := r.inForce.Load(); b != nil {
		return b.directory
	}
	return nil
}

// Compiled returns the configuration in force with all that the inventory knows,
// or nil before the first one.
func (r *Runner) Compiled() *inventory.Directory {
	if b := r.inForce.Load(); b != nil {
		return b.directory
	}
	return nil
}

// Inventory returns the inventory in force and its revision, or an empty one and 0.
// The caller must not change it.
func (r *Runner) Inventory() (*inventory.Inventory, int64) {
	if b := r.inForce.Load(); b != nil {
		return b.inventory, b.manifest.Revision
	}
	return &inventory.Inventory{}, 0
}

// Fresh returns nil when the daemon may start work, and an error of KindUnavailable
// with the reason otherwise.
func (r *Runner) Fresh() error {
	r.start()
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

// change changes the view and draws the conclusions.
func (r *Runner) change(f func(v *View, now time.Duration)) {
	r.start()
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
	if r.view.Known() > r.view.Held() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// apply puts the held bundle in force. The lock is held.
func (r *Runner) apply(now time.Duration) {
	b := r.held
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

// SetVMs takes the platform's VM list. The second argument, the time at which the
// list was asked for, is not used: a list that lags is expected.
func (r *Runner) SetVMs(list []lagoonhead.VM, _ time.Duration) {
	ids := make([]lagoonhead.VMID, 0, len(list))
	vms := make(map[lagoonhead.VMID]lagoonhead.VM, len(list))
	for _, vm := range list {
		ids = append(ids, vm.ID())
		vms[vm.ID()] = vm
	}
	r.change(func(v *View, _ time.Duration) {
		v.SetListed(ids)
		r.vms = vms
		r.watch = isWatcher(r.Self, ids)
	})
}

// isWatcher reports whether the VM is one of the first by rendezvous hash. A VM
// that is not listed yet reads the store too.
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
	return before < watchers
}

// Answered takes the heartbeat with which a peer answered a request that was sent
// at the given time.
func (r *Runner) Answered(h *peer.Heartbeat, sent time.Duration) {
	report := Report{
		VM: lagoonhead.VMID(h.GetVm()), Incarnation: lagoonhead.Incarnation(h.GetIncarnation()),
		Revision: h.GetRevision(), ProofAge: time.Duration(h.GetStoreContactAgeMs()) * time.Millisecond,
	}
	for _, o := range h.GetHeard() {
		report.Heard = append(report.Heard, HeardReport{
			VM: lagoonhead.VMID(o.GetVm()), Incarnation: lagoonhead.Incarnation(o.GetIncarnation()),
			Revision: o.GetRevision(), Age: time.Duration(o.GetAgeMs()) * time.Millisecond,
		})
	}
	r.change(func(v *View, now time.Duration) { v.Heard(now, sent, report) })
}

// Told takes a heartbeat that a peer sent by itself. It can have been on its way for
// any time, so that only the existence of its revision counts.
func (r *Runner) Told(h *peer.Heartbeat) {
	r.change(func(v *View, now time.Duration) {
		if h.GetRevision() > v.Held() {
			r.teller = lagoonhead.VMID(h.GetVm())
		}
		v.Told(now, h.GetRevision())
	})
}

// Fill writes what the daemon knows about the configuration into a heartbeat. Ages
// are rounded up.
func (r *Runner) Fill(h *peer.Heartbeat) {
	r.start()
	r.mu.Lock()
	report := r.view.Report(r.Timer.Now(), r.Incarnation)
	r.mu.Unlock()
	h.Vm, h.Incarnation, h.Revision = string(report.VM), string(report.Incarnation), report.Revision
	h.StoreContactAgeMs = milliseconds(report.ProofAge)
	told := tell(report)
	h.Heard = make([]*peer.Heard, len(told))
	for i, o := range told {
		h.Heard[i] = &peer.Heard{
			Vm: string(o.VM), AgeMs: milliseconds(o.Age), Revision: o.Revision, Incarnation: string(o.Incarnation),
		}
	}
}

// tell returns what a heartbeat says about other daemons. In a large fleet that is a
// random part, and nothing while the sender has a recent confirmation by the store:
// then the receiver needs no majority.
func tell(r Report) []HeardReport {
	if len(r.Heard) <= maxHeard {
		return r.Heard
	}
	if r.ProofAge >= 0 && r.ProofAge < Window/2 {
		return nil
	}
	rand.Shuffle(len(r.Heard), func(i, j int) { r.Heard[i], r.Heard[j] = r.Heard[j], r.Heard[i] })
	return r.Heard[:maxHeard]
}

func milliseconds(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// PullConfig returns the revision in force with the parts that the caller lacks.
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

// RevisionState returns the revision in force.
func (r *Runner) RevisionState() *peer.RevisionStateResponse {
	_, revision := r.Inventory()
	return &peer.RevisionStateResponse{Vm: string(r.Self), Incarnation: string(r.Incarnation), Revision: revision}
}

// Confirmed splits the listed VMs into those that are known from heartbeats to have
// at least the revision in force and the others. In a fleet of more than about 32
// VMs heartbeats do not tell of all others; Committer.Await asks each VM.
func (r *Runner) Confirmed(revision int64) (confirmed, unconfirmed []lagoonhead.VMID) {
	r.start()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Confirmed(r.Timer.Now(), revision)
}

// HeardFrom returns the peers that have been heard from within Window, ordered.
func (r *Runner) HeardFrom() []HeardReport {
	r.start()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Peers(r.Timer.Now())
}

// VMs returns the listed VMs, ordered.
func (r *Runner) VMs() []lagoonhead.VM {
	r.start()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]lagoonhead.VM, 0, len(r.vms))
	for _, vm := range r.vms {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b lagoonhead.VM) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}

// take makes a revision the held one, if it is newer, and puts it in force if it may
// be. Parts that are not among the bodies are taken from the held revision.
func (r *Runner) take(raw []byte, bodies map[string][]byte) error {
	r.start()
	m, err := inventory.DecodeManifest(raw)
	if err != nil {
		r.vars.Add("damaged", 1)
		return fail("take", lagoonhead.KindInvalid, err)
	}
	r.joining.Lock()
	defer r.joining.Unlock()
	held := r.heldBundle()
	if held != nil && m.Revision <= held.manifest.Revision {
		return nil
	}
	b := &bundle{manifest: m, raw: raw, bodies: make(map[string][]byte, len(m.Parts))}
	for _, ref := range m.Parts {
		if body, ok := findBody(ref.Hash, bodies, held); ok {
			b.bodies[ref.Hash] = body
		}
	}
	b.inventory, err = r.joiner.Join(m, func(h string) ([]byte, bool) { body, ok := b.bodies[h]; return body, ok })
	if err != nil {
		r.vars.Add("damaged", 1)
		return fail("take", lagoonhead.KindOf(err), err)
	}
	b.directory = inventory.Compile(b.inventory, m.Revision)
	r.change(func(v *View, now time.Duration) {
		r.held = b
		v.Told(now, m.Revision)
		v.Hold(m.Revision)
	})
	return nil
}

func findBody(hash string, bodies map[string][]byte, held *bundle) ([]byte, bool) {
	if b, ok := bodies[hash]; ok {
		return b, true
	}
	if held == nil {
		return nil, false
	}
	b, ok := held.bodies[hash]
	return b, ok
}

func (r *Runner) heldBundle() *bundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// pullLoop pulls whenever a revision is known that is not at hand.
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

// pull asks peers that have a newer revision, and then the store.
func (r *Runner) pull(ctx context.Context) {
	for _, vm := range r.sources() {
		if r.pullFrom(ctx, vm) == nil {
			return
		}
		r.vars.Add("pullFailed", 1)
	}
	if r.behind() {
		_, _ = r.readStore(ctx)
	}
}

func (r *Runner) behind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Known() > r.view.Held()
}

// sources returns some of the VMs that have a revision which is not at hand, in
// random order so that the watchers are not asked by all at once.
func (r *Runner) sources() []lagoonhead.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Known() <= r.view.Held() {
		return nil
	}
	var out []lagoonhead.VM
	for _, p := range r.view.Peers(r.Timer.Now()) {
		if vm, ok := r.vms[p.VM]; ok && p.Revision > r.view.Held() && p.VM != r.teller {
			out = append(out, vm)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if vm, ok := r.vms[r.teller]; ok {
		out = append(out, vm)
	}
	return out[:min(len(out), pullTries)]
}

func (r *Runner) pullFrom(ctx context.Context, vm lagoonhead.VM) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	q := &peer.PullConfigRequest{}
	if b := r.heldBundle(); b != nil {
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
		return fail("pull", lagoonhead.KindNotFound, fmt.Errorf("%s has nothing newer", vm.ID()))
	}
	bodies := make(map[string][]byte, len(a.GetParts()))
	for _, p := range a.GetParts() {
		bodies[p.GetHash()] = p.GetBody()
	}
	r.vars.Add("pulled", 1)
	return r.take(a.GetManifest(), bodies)
}

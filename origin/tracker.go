package origin

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// tellBound is how long the first event of a stream waits until a home knows the stream.
	tellBound = 100 * time.Millisecond
	// askBound bounds the calls of Find to the homes, and again those to all other hubs.
	askBound = 100 * time.Millisecond
	// callTimeout bounds a call that tells a home, and announceTimeout one that announces.
	callTimeout, announceTimeout = 500 * time.Millisecond, 250 * time.Millisecond
	// announceInterval is the time between two announcements to a hub that did not respond, and
	// startInterval the time between checks whether the hubs are known.
	announceInterval, startInterval = 250 * time.Millisecond, 20 * time.Millisecond
)

// The sources of a version that Find returns beside the identifiers of VMs.
const (
	sourceLocal = "local"
	sourceOnly  = lagoonhead.SourceOnlyVersion
)

// Clients provides the clients of peers by address.
type Clients interface {
	Commands(address string) peer.Commands
	Queries(address string) peer.Queries
}

// Tracker is the StreamVersions of one VM. The exported fields must be set before the first use.
// It is safe for concurrent use.
type Tracker struct {
	Self  lagoonhead.VMID
	Timer timer.Timer
	Log   *zap.Logger
	Peers Clients
	// Hubs returns the hubs of the fleet, or nothing before they are known.
	Hubs func() []lagoonhead.VM
	// Fresh reports whether the copy of the registrations matched the store less than HoldTime
	// ago.
	Fresh func() bool
	// Lifetime returns how long after its beginning a stream may be taken up.
	Lifetime func() time.Duration
	// OnRelease is called when a version that Observe held back may be used.
	OnRelease func()

	once   sync.Once
	teller teller
	vars   counters
	// caughtUp is true once the hubs have been asked which versions have served before.
	caughtUp atomic.Bool

	mu   sync.Mutex
	book *Book
}

var (
	_ lagoonhead.StreamVersions = (*Tracker)(nil)
	_ peer.StreamKeeper         = (*Tracker)(nil)
)

type counters struct {
	all                                          expvar.Map
	begun, told, coalesced, dropped, unconfirmed expvar.Int
	calls, callsFailed, announcements            expvar.Int
	asked, foundLocally, foundAtHome, onlyOne    expvar.Int
	notFound                                     expvar.Int
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.book = NewBook(t.Lifetime())
		t.teller = teller{send: t.send, vars: &t.vars}
		c := &t.vars
		c.all.Init()
		for name, v := range map[string]*expvar.Int{
			"begun": &c.begun, "told": &c.told, "coalesced": &c.coalesced, "dropped": &c.dropped, "unconfirmed": &c.unconfirmed,
			"calls": &c.calls, "callsFailed": &c.callsFailed, "announcements": &c.announcements,
			"asked": &c.asked, "foundLocally": &c.foundLocally, "foundAtHome": &c.foundAtHome, "onlyVersion": &c.onlyOne,
			"notFound": &c.notFound,
		} {
			c.all.Set(name, v)
		}
		c.all.Set("streams", expvar.Func(func() any { return with(t, func(b *Book) int { return b.Len() }) }))
		c.all.Set("versionsHeld", expvar.Func(func() any { return with(t, func(b *Book) int { return b.Held() }) }))
		c.all.Set("evicted", expvar.Func(func() any { return with(t, func(b *Book) int64 { return b.Evicted() }) }))
	})
}

// Vars returns the counters.
func (t *Tracker) Vars() *expvar.Map {
	t.init()
	return &t.vars.all
}

// with calls f with exclusive access to the book.
func with[T any](t *Tracker, f func(b *Book) T) T {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.SetLifetime(t.Lifetime())
	return f(t.book)
}

// Run asks the hubs which versions have served before this process started. Until then the
// registrations that it has read do not count as fresh: versions may have gone.
func (t *Tracker) Run(ctx context.Context) error {
	for len(t.Hubs()) == 0 {
		if err := t.Timer.Sleep(ctx, startInterval); err != nil {
			return nil
		}
	}
	t.catchUp(ctx)
	return nil
}

// catchUp asks all hubs, once.
func (t *Tracker) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, v := range t.Hubs() {
		if v.ID() == t.Self {
			continue
		}
		w.Go(func() {
			r, err := t.Peers.Queries(v.PeerAddress()).FindStream(ctx, &peer.FindStreamRequest{})
			if err == nil {
				t.record(t.Timer.Now(), decodeGroups(r.GetMixed()))
			}
		})
	}
	w.Wait()
	t.caughtUp.Store(true)
}

// fresh reports whether this VM knows all versions that served HoldTime ago or later.
func (t *Tracker) fresh() bool { return t.caughtUp.Load() && t.Fresh() }

// Observe takes over the registered endpoints and returns those that may be used. The others run a
// version that is new to their service and not known to all hubs yet; OnRelease tells of them.
func (t *Tracker) Observe(list []lagoonhead.Endpoint) []lagoonhead.Endpoint {
	now := t.Timer.Now()
	announce := false
	usable := with(t, func(b *Book) []lagoonhead.Endpoint {
		announce = b.Observe(now, list)
		return b.Usable(list)
	})
	if announce {
		go t.announce()
	}
	return usable
}

// HubsChanged is called when the hubs have changed. Those that are new are told of the versions, and
// of the streams that began while no other hub was known.
func (t *Tracker) HubsChanged() {
	if with(t, func(b *Book) bool { return b.HubsChanged() }) {
		go t.announce()
	}
}

// Begin records that a stream begins. While the service has one version it returns at once, else
// when a home other than this VM knows the stream, none can be reached, or after 100 ms.
func (t *Tracker) Begin(ctx context.Context, service string, id lagoonhead.RequestID, software string) {
	now, key := t.Timer.Now(), Key(service, id)
	announce := false
	tell := with(t, func(b *Book) bool {
		tell := b.Begin(now, service, software, key)
		announce = len(b.unannounced) > 0
		return tell
	})
	t.vars.begun.Add(1)
	if announce {
		go t.announce()
	}
	if !tell {
		return
	}
	var batches []*batch
	for _, v := range homes(t.Hubs(), key) {
		if v.ID() == t.Self {
			continue
		}
		if b := t.teller.tell(v, service, software, key); b != nil {
			batches = append(batches, b)
		}
	}
	if len(batches) == 0 {
		with(t, func(b *Book) bool {
			b.Untold(key)
			return true
		})
	}
	if !waitForOne(ctx, batches) {
		t.vars.unconfirmed.Add(1)
	}
}

// waitForOne waits for the end of calls until one has succeeded, and reports whether one has.
func waitForOne(ctx context.Context, batches []*batch) bool {
	ctx, cancel := context.WithTimeout(ctx, tellBound)
	defer cancel()
	var first, second *batch
	switch len(batches) {
	case 0:
		return false
	case 1:
		first, second = batches[0], batches[0]
	default:
		first, second = batches[0], batches[1]
	}
	select {
	case <-first.done:
	case <-second.done:
		first, second = second, first
	case <-ctx.Done():
		return false
	}
	if first.told {
		return true
	}
	select {
	case <-second.done:
		return second.told
	case <-ctx.Done():
		return false
	}
}

// Find returns the version at which a stream began. The source is "local", the identifier of the
// VM that knows it, or "only version" if the service has had no other.
func (t *Tracker) Find(ctx context.Context, service string, id lagoonhead.RequestID) (software, source string, ok bool) {
	now, key := t.Timer.Now(), Key(service, id)
	own := with(t, func(b *Book) Answer { return b.Answer(now, service, key) })
	if own.Known {
		t.vars.foundLocally.Add(1)
		return own.Software, sourceLocal, true
	}
	hubs := order(t.Hubs(), key)
	q := inquiry{hubs: len(hubs)}
	var others []lagoonhead.VM
	self := witness{vm: t.Self, Answer: own, fresh: t.fresh()}
	for _, v := range hubs {
		if v.ID() == t.Self {
			self.hub = true
		} else {
			others = append(others, v)
		}
	}
	q.add(self)
	n := min(firstAsked, len(others))
	t.ask(ctx, &q, others[:n], service, key)
	if _, _, ok := q.result(); !ok && !q.mixed() {
		t.ask(ctx, &q, others[n:], service, key)
	}
	software, source, ok = q.result()
	switch {
	case !ok:
		t.vars.notFound.Add(1)
	case source == sourceOnly:
		t.vars.onlyOne.Add(1)
	default:
		t.vars.foundAtHome.Add(1)
		t.record(now, []Group{{service, software, []uint64{key}}})
	}
	return software, source, ok
}

// ask asks VMs for a stream, all at once, until their answers decide the inquiry.
func (t *Tracker) ask(ctx context.Context, q *inquiry, vms []lagoonhead.VM, service string, key uint64) {
	if len(vms) == 0 || q.decided() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	answers := make(chan *witness, len(vms))
	for _, v := range vms {
		go func() { answers <- t.askOne(ctx, v, service, key) }()
	}
	for range vms {
		select {
		case w := <-answers:
			if w != nil {
				q.add(*w)
			}
		case <-ctx.Done():
			return
		}
		if q.decided() {
			return
		}
	}
}

// askOne returns the answer of a hub, or nil if it gave none.
func (t *Tracker) askOne(ctx context.Context, v lagoonhead.VM, service string, key uint64) *witness {
	t.vars.asked.Add(1)
	r, err := t.Peers.Queries(v.PeerAddress()).FindStream(ctx, &peer.FindStreamRequest{Service: service, Stream: key})
	if err != nil {
		return nil
	}
	a := Answer{Known: r.GetKnown(), Software: r.GetSoftware(), Versions: r.GetVersions()}
	return &witness{vm: v.ID(), Answer: a, hub: true, fresh: r.GetFresh()}
}

// FindStream answers a peer that asks for a stream.
func (t *Tracker) FindStream(r *peer.FindStreamRequest) *peer.FindStreamResponse {
	now := t.Timer.Now()
	if r.GetService() == "" {
		return &peer.FindStreamResponse{Mixed: encodeGroups(with(t, func(b *Book) []Group { return b.Versions(now) }))}
	}
	a := with(t, func(b *Book) Answer { return b.Answer(now, r.GetService(), r.GetStream()) })
	return &peer.FindStreamResponse{Known: a.Known, Software: a.Software, Versions: a.Versions, Fresh: t.fresh()}
}

// TellStreams takes over what a peer tells of streams.
func (t *Tracker) TellStreams(r *peer.TellStreamsRequest) *peer.TellStreamsResponse {
	t.record(t.Timer.Now(), decodeGroups(r.GetGroups()))
	return &peer.TellStreamsResponse{}
}

func decodeGroups(list []*peer.StreamGroup) []Group {
	out := make([]Group, 0, len(list))
	for _, g := range list {
		out = append(out, Group{g.GetService(), g.GetSoftware(), g.GetStreams()})
	}
	return out
}

func encodeGroups(list []Group) []*peer.StreamGroup {
	out := make([]*peer.StreamGroup, 0, len(list))
	for _, g := range list {
		out = append(out, &peer.StreamGroup{Service: g.Service, Software: g.Software, Streams: g.Streams})
	}
	return out
}

// Learn takes over what Mixed returned at another VM.
func (t *Tracker) Learn(versions map[string][]string) {
	now := t.Timer.Now()
	with(t, func(b *Book) bool {
		b.Learn(now, versions)
		return true
	})
	if len(versions) > 0 {
		go t.announceAndRelease()
	}
}

// Mixed returns the services that have served with several versions lately, with the versions
// that may be used, in ascending order.
func (t *Tracker) Mixed() map[string][]string {
	now := t.Timer.Now()
	return with(t, func(b *Book) map[string][]string { return b.Mixed(now) })
}

// Registered returns those of versions by service that are registered.
func (t *Tracker) Registered(versions map[string][]string) map[string][]string {
	return with(t, func(b *Book) map[string][]string {
		out := make(map[string][]string)
		for service, list := range versions {
			for _, software := range list {
				if b.Registered(service, software) {
					out[service] = append(out[service], software)
				}
			}
		}
		return out
	})
}

func (t *Tracker) record(now time.Duration, groups []Group) {
	if with(t, func(b *Book) bool { return b.Record(now, groups) }) {
		go t.announce()
	}
}

// announce tells all hubs of versions that they may not know, and each of the streams of this VM
// that it is a home of, until the announcement is over.
func (t *Tracker) announce() {
	now := t.Timer.Now()
	a := with(t, func(b *Book) *Announcement { return b.Announce(now) })
	if a == nil {
		return
	}
	t.vars.announcements.Add(1)
	t.Log.Info("services with several software versions", zap.Any("versions", a.Versions()))
	told := make(map[lagoonhead.VMID]bool)
	var known, hubs int
	for {
		known, hubs = t.announceOnce(a, told)
		if a.Over(t.Timer.Now(), known, hubs) {
			break
		}
		pause := announceInterval
		if hubs == 0 {
			pause = startInterval
		}
		_ = t.Timer.Sleep(context.Background(), pause) // it fails only if its context ends
	}
	with(t, func(b *Book) bool {
		b.Announced(a)
		return true
	})
	t.Log.Info("software versions announced", zap.Int("told", known), zap.Int("hubs", hubs), zap.Duration("after", t.Timer.Now()-now))
	t.OnRelease()
}

// announceAndRelease calls OnRelease even if there is nothing to announce.
func (t *Tracker) announceAndRelease() {
	t.announce()
	t.OnRelease()
}

// announceOnce tells the hubs that have not been told yet, and returns the number of those that
// have been and of all.
func (t *Tracker) announceOnce(a *Announcement, told map[lagoonhead.VMID]bool) (known, all int) {
	hubs := t.Hubs()
	share := a.share(hubs)
	type result struct {
		vm lagoonhead.VMID
		ok bool
	}
	results := make(chan result, len(hubs))
	sent := 0
	for _, v := range hubs {
		if v.ID() == t.Self || told[v.ID()] {
			known++
			continue
		}
		sent++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			err := t.call(ctx, v, share[v.ID()])
			// A process that does not run reads the registrations when it starts.
			results <- result{v.ID(), err == nil || errors.Is(err, syscall.ECONNREFUSED)}
		}()
	}
	for range sent {
		r := <-results
		if told[r.vm] = r.ok; r.ok {
			known++
		}
	}
	return known, len(hubs)
}

// share returns the groups for each hub: all versions, and the streams that it is a home of.
func (a *Announcement) share(hubs []lagoonhead.VM) map[lagoonhead.VMID][]Group {
	out := make(map[lagoonhead.VMID][]Group, len(hubs))
	for i, g := range a.Groups {
		for _, v := range hubs {
			out[v.ID()] = append(out[v.ID()], Group{Service: g.Service, Software: g.Software})
		}
		for _, key := range g.Streams {
			for _, v := range homes(hubs, key) {
				s := &out[v.ID()][i].Streams
				*s = append(*s, key)
			}
		}
	}
	return out
}

// send tells a home of streams and reports whether it succeeded.
func (t *Tracker) send(ctx context.Context, home lagoonhead.VM, groups []Group) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.call(ctx, home, groups) == nil
}

// call tells a VM of versions and streams.
func (t *Tracker) call(ctx context.Context, to lagoonhead.VM, groups []Group) error {
	r := &peer.TellStreamsRequest{Vm: string(t.Self), Groups: encodeGroups(groups)}
	t.vars.calls.Add(1)
	_, err := t.Peers.Commands(to.PeerAddress()).TellStreams(ctx, r)
	if err != nil {
		t.vars.callsFailed.Add(1)
	}
	return err
}

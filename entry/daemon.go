package entry

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/dispatch"
	"github.com/lagoonhead/lagoonhead/httpdrain"
	"github.com/lagoonhead/lagoonhead/httplimit"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/metrics"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/origin"
	"github.com/lagoonhead/lagoonhead/overload"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/roster"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/storecalls"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// drainDelay is how long a stopping daemon keeps accepting connections. The load
	// balancer probes once a second and removes a daemon after two failed probes.
	drainDelay = 2500 * time.Millisecond
	// killMargin is the part of the grace time that remains when the requests still in progress
	// are ended. It is at most one part of maxKillMargin, so that no request is ended before the
	// last sixth of the grace time.
	killMargin, maxKillMargin = 700 * time.Millisecond, 9
	// answerTime is how long requests that are ended have to send their answers.
	answerTime = 200 * time.Millisecond
	// drainPollInterval is the time between checks whether requests are in progress.
	drainPollInterval = 10 * time.Millisecond
	// maxAdmitWait is how long admission waits for tokens that a peer may lend.
	maxAdmitWait = 250 * time.Millisecond
	// slotCount is the number of slots of the limits, and homesPerWorkspace the number of
	// those that share the quota of a workspace: if one VM is lost, most of the quota is
	// left, and a request needs tokens of few VMs.
	slotCount, homesPerWorkspace = 12, 4
	// answerShare is the fraction that buffered answers may take together, and minAnswerBytes the
	// least that they may. It takes the largest answer, 8 MiB, beside the reserve for small ones.
	answerShare, minAnswerBytes = 0.125, 12 << 20
	// defaultBodyLimit is the maximum size of a request body, in bytes, until the
	// configuration sets one.
	defaultBodyLimit = 4 << 20
	// presenceTTL is the time to live of the presence entry of a VM that has failed. Until
	// then peers pass it over when it does not respond.
	presenceTTL = 10 * time.Second
	// fleetInterval is the time between two watches of the fleet's own keys that return
	// nothing. They change seldom, and a change that is heard late does no harm.
	fleetInterval = 2 * time.Second
	// exchangeTimeout bounds an exchange of heartbeats, after which an attached daemon
	// turns to another hub.
	exchangeTimeout = 600 * time.Millisecond
	// minRegistrationTTL is the least time that is assumed for Settings.RegistrationTTL, which
	// is 0 if the settings do not name the time between heartbeats.
	minRegistrationTTL = time.Second
	// ownReadTime is the time within which a daemon whose hubs have lost the store reads the store
	// itself. It includes the pauses after failed calls.
	ownReadTime = 600 * time.Millisecond
	// lapsedInterval is the time between checks for endpoints that did not register
	// again after an outage of the store.
	lapsedInterval = 250 * time.Millisecond
)

// WatchTimeout is the timeout of a watch of the store. A watch may miss changes and then
// never return; the next watch reports that it has missed them. It is half of the time
// within which a change must be in force.
const WatchTimeout = time.Second

// Orderer sends endpoint orders to the platform and role orders to engines.
type Orderer interface {
	lagoonhead.EndpointOrderer
	lagoonhead.EngineCommander
}

// Platform holds what a daemon needs from the platform that it runs on.
type Platform struct {
	Store  lagoonhead.Store
	Sender lagoonhead.Sender
	// ConfigurationKey is the key of the configuration in the store, and EndpointPrefix
	// the prefix of the keys of endpoint registrations.
	ConfigurationKey, EndpointPrefix string
	// OperatorPrefix is the common prefix of ConfigurationKey and EvacuationPrefix. The keys that
	// begin with EvacuationPrefix and end with the name of a failure domain evacuate it. Both are
	// empty if the platform evacuates none.
	OperatorPrefix, EvacuationPrefix string
	DecodeConfiguration              func(value []byte) (*catalog.Catalog, error)
	DecodeRegistration               func(key string, value []byte) (lagoonhead.Endpoint, error)
	// Callers returns the HTTP server for callers.
	Callers func(d *dispatch.Dispatcher, c CallerLimits) *http.Server
	// Refusal returns the response to a caller's request that is refused with an error before its
	// body is read.
	Refusal func(r *http.Request, err error) *http.Response
	// Ready returns the handler of the load balancer's readiness probes.
	Ready func(ready func() error) http.Handler
	// Usage and Orders return the clients that report usage and send orders with the
	// authority of a tenure, which is the period in which this daemon holds a duty.
	Usage  func(t *lease.Tenure) lagoonhead.UsageReporter
	Orders func(t *lease.Tenure) Orderer
}

// CallerLimits are the limits of a daemon on callers. They change while it runs.
type CallerLimits struct {
	// Closing reports whether callers are told to close the connection: the daemon is draining,
	// so that their next one goes to another daemon, or has too many connections.
	Closing func() bool
	// BodyLimit returns the maximum size of a request body in bytes.
	BodyLimit func() int64
	// Begin begins a request, whose end calls End. It returns an error if the request is to be
	// refused because the processor is overloaded.
	Begin func() error
	End   func()
	// Bodies bounds the memory of request bodies. It may be nil.
	Bodies *bodybudget.Budget
}

// Daemon is one process of the serving system. Set the exported fields before Run.
type Daemon struct {
	Settings Settings
	Platform Platform
	Timer    timer.Timer
	Log      *zap.Logger
	// LogVars are the counters of the logger. It may be nil.
	LogVars *expvar.Map

	incarnation lagoonhead.Incarnation
	leaving     atomic.Bool
	// refusing is true in the part of the drain in which no new requests are taken.
	refusing atomic.Bool
	vars     *expvar.Map

	config       *configuration
	evacuations  *evacuations
	coldShares   *coldShares
	coldSeen     expvar.Int // times that an endpoint has become cold
	endpoints    *endpoints
	members      *members
	calls        *storecalls.Store
	store        *observedStore
	copied       *copiedStore
	copy         *mirror.Copy
	attachment   *attachment
	session      *lease.Session // of the presence entry
	dutySession  *lease.Session
	keeper       *lease.Keeper
	exchanger    *peer.Exchanger
	pool         *peer.Pool
	suspects     *suspect.Table
	parts        *suspect.Parts
	refusedParts *refusedParts
	// versions knows at which software versions streams began, and mixedVersions keeps in the
	// store which services have several.
	versions      *origin.Tracker
	mixedVersions *mixedVersions
	awake         *awake
	// boardMu makes an update of the board use the newest list of endpoints.
	boardMu     sync.Mutex
	admit       *admit.Runner
	tally       *billing.Tally
	dispatcher  *dispatch.Dispatcher
	heartbeats  *heartbeats
	roleChanges roleChanges
	connections *httplimit.Connections // of callers
	// bodies bounds the memory of callers' bodies, answers that of buffered answers.
	bodies, answers *bodybudget.Budget
	guard           overload.Guard
	meters          meters
}

// task is a background task. It runs until its context ends.
type task func(context.Context) error

// Run runs the daemon until ctx ends, then drains it: the daemon fails its readiness
// probes, keeps accepting connections until the load balancer has noticed, and finishes
// its requests.
func (d *Daemon) Run(ctx context.Context) error {
	d.limits().BoundRuntime()
	d.prepare()
	if d.LogVars != nil {
		d.vars.Set("log", d.LogVars)
	}
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.Log.Info("started", zap.String("incarnation", string(d.incarnation)), zap.String("failureDomain", string(d.Settings.FailureDomain)), zap.String("region", d.Settings.Region))
	if t := d.Settings.EvacuationTime; t > 0 && t < evacuationTime {
		d.Log.Warn("evacuations may be in force later than required", zap.Duration("required", t), zap.Duration("within", evacuationTime))
	}
	err = d.run(ctx, servers)
	d.Log.Info("stopped", zap.Error(err))
	return err
}

// prepare creates the components, which do not run yet.
func (d *Daemon) prepare() {
	d.incarnation = lagoonhead.Incarnation(string(d.Settings.VM) + "/" + uuid.NewString())
	d.vars = new(expvar.Map)
	d.buildCallerLimits()
	d.buildState()
	d.buildWork()
}

// limits returns the limits of the process.
func (d *Daemon) limits() httplimit.Limits {
	return httplimit.Limits{Descriptors: d.Settings.MaxDescriptors, MemoryBytes: d.Settings.MemoryBytes}
}

// buildCallerLimits creates what bounds the connections of callers and the memory that callers take.
func (d *Daemon) buildCallerLimits() {
	limits := d.limits()
	d.connections = httplimit.New(limits, d.guard.RefusesConnection, d.Platform.Refusal)
	d.vars.Set("connections", d.connections.Vars())
	// A body of unknown length is counted twice while its parts are joined.
	d.bodies = bodybudget.New(limits.BodyBytes(3*defaultBodyLimit), d.Timer, d.Log)
	d.answers = bodybudget.NewForAnswers(max(int64(answerShare*float64(d.Settings.MemoryBytes)), minAnswerBytes), d.Timer, d.Log)
	d.vars.Set("bufferedAnswers", d.answers.Vars())
	d.bodies.Crowded = d.connections.Crowded
	d.vars.Set("bodies", d.bodies.Vars())
}

// run runs the tasks until ctx ends or one of them fails, then drains.
func (d *Daemon) run(ctx context.Context, s *servers) error {
	stopping, stop := context.WithCancel(ctx)
	defer stop()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	for _, t := range append(d.tasks(), s.tasks()...) {
		group.Go(func() error {
			err := t.runRecovering(inner)
			if err != nil {
				d.Log.Error("background task failed", zap.Error(err))
				stop()
			}
			return err
		})
	}
	group.Go(func() error {
		<-stopping.Done()
		d.drain(s)
		cancel()
		return nil
	})
	return group.Wait()
}

// runRecovering runs the task. A panic becomes an error, so that the process drains before it ends.
func (t task) runRecovering(ctx context.Context) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = failf("task", lagoonhead.KindInternal, "panic: %v\n%s", v, debug.Stack())
		}
	}()
	return t(ctx)
}

// drain stops serving callers within the grace time. Once the load balancer has had time to notice,
// new requests are refused. Connections are closed after the requests in progress have ended, so
// that a request on an open connection gets an answer.
func (d *Daemon) drain(s *servers) {
	d.leaving.Store(true)
	d.Log.Info("draining")
	grace := d.Settings.Grace
	end, cancel := context.WithTimeout(context.Background(), grace-min(killMargin, grace/maxKillMargin))
	defer cancel()
	_ = d.Timer.Sleep(end, min(drainDelay, grace/2)) // an error means only that the grace time is over
	d.refusing.Store(true)
	for d.guard.UnderWay() > 0 && d.Timer.Sleep(end, drainPollInterval) == nil {
	}
	if n := d.guard.UnderWay(); n > 0 {
		d.Log.Warn("drain ended with requests still running", zap.Int("count", n))
		d.dispatcher.Stop()
	}
	deadline, _ := end.Deadline()
	closing, cancel := context.WithTimeout(context.Background(), max(answerTime, time.Until(deadline)))
	defer cancel()
	if n := s.callerListener.Finish(closing, d.Timer); n > 0 {
		d.Log.Warn("connections of callers closed with requests on them", zap.Int("count", n))
	}
	_ = s.callers.Close() // an error does not matter, since the process ends
}

// beginRequest begins a request of a caller, whose end calls guard.End, or returns an error of
// KindUnavailable if it is to be refused.
func (d *Daemon) beginRequest() error {
	if d.refusing.Load() {
		return failf("begin", lagoonhead.KindUnavailable, "the daemon is stopping")
	}
	return d.guard.Begin()
}

// ready returns nil when the daemon can serve callers, and an error with the reason
// otherwise.
func (d *Daemon) ready() error {
	if d.leaving.Load() {
		return failf("ready", lagoonhead.KindUnavailable, "the daemon is draining")
	}
	if d.config.Catalog() == nil {
		return failf("ready", lagoonhead.KindUnavailable, "there is no configuration yet")
	}
	var placeable int
	d.dispatcher.WithBoard(func(b *steer.Board) { placeable = b.Len() })
	if placeable == 0 {
		return failf("ready", lagoonhead.KindUnavailable, "no endpoint is known yet")
	}
	return nil
}

// buildState creates the daemon's copies of the configuration, the endpoints and the
// members.
func (d *Daemon) buildState() {
	s := d.Settings
	d.config = &configuration{decode: d.Platform.DecodeConfiguration, log: d.Log, changed: d.updateBoard}
	d.evacuations = &evacuations{log: d.Log, changed: d.updateBoard}
	d.coldShares = &coldShares{self: s.VM, timer: d.Timer, tolerance: s.ColdTolerance}
	registrationTTL := max(s.RegistrationTTL, minRegistrationTTL)
	d.endpoints = &endpoints{
		regions: s.Regions,
		prefix:  d.Platform.EndpointPrefix, decode: d.Platform.DecodeRegistration, timer: d.Timer, log: d.Log, roster: roster.New(outageTime(registrationTTL)), changed: d.updateBoard,
		// An endpoint that still sends heartbeats after this time is alive, whatever it said before.
		departureHold: registrationTTL + roster.ReregistrationTime,
	}
	d.members = &members{
		self: s.VM, domain: s.FailureDomain, log: d.Log, wall: func() time.Time { return d.tally.Timer.Wall() }, slotsChanged: func() { d.admit.ReadSlots() },
		refusedParts: func(value []byte) { d.refusedParts.read(value) }, refusedPartsLost: func() { d.refusedParts.lost() },
		mixedVersions: func(value []byte) { d.mixedVersions.read(value) }, hubsChanged: func() { d.versions.HubsChanged() }, vms: make(map[string]lagoonhead.VM),
		incarnation: d.incarnation, shares: d.coldShares,
	}
	for _, a := range s.Seeds {
		if a != s.Listen.Peers {
			d.members.seeds = append(d.members.seeds, lagoonhead.NewVM(lagoonhead.VMID("seed "+a), "", a, false))
		}
	}
	d.attachment = &attachment{
		members: d.members, timer: d.Timer, prefixes: []string{d.operatorPrefix(), d.Platform.EndpointPrefix},
	}
	d.copy = mirror.NewCopy(d.incarnation, map[string]mirror.Follower{
		d.operatorPrefix(): &operatorKeys{
			config: d.config, evacuations: d.evacuations, configurationKey: d.Platform.ConfigurationKey, evacuationPrefix: d.Platform.EvacuationPrefix,
		},
		d.Platform.EndpointPrefix: d.endpoints, fleetPrefix: d.members,
	})
	d.calls = &storecalls.Store{Store: d.Platform.Store, Timer: d.Timer, MaxPause: d.attachment.maxStorePause}
	d.attachment.refused = d.calls.Refused
	d.store = d.observe(d.calls)
	d.copied = &copiedStore{Store: d.store, timer: d.Timer, copy: d.copy}
}

// outageTime returns the time without a response of the store from which failed calls are an
// outage. Without an outage a daemon that watches the store hears of it at least once in
// WatchTimeout, and one whose hubs have lost the store once in maxUpdateAge and the time of its own
// read. In a third of the TTL of its registration an endpoint misses one heartbeat at most.
func outageTime(registrationTTL time.Duration) time.Duration {
	return max(WatchTimeout+registrationTTL/3, maxUpdateAge+ownReadTime)
}

// observe returns a store that reports to the copy whether renewals of leases reach it.
func (d *Daemon) observe(s lagoonhead.Store) *observedStore {
	return &observedStore{Store: s, timer: d.Timer, copy: d.copy, prefix: d.Platform.EndpointPrefix, idle: d.attachment.idle}
}

// operatorPrefix returns the prefix of the keys that operators write.
func (d *Daemon) operatorPrefix() string {
	return cmp.Or(d.Platform.OperatorPrefix, d.Platform.ConfigurationKey)
}

// updateBoard passes the live endpoints to the board, from which the dispatcher chooses. Those of
// a software version that the other VMs may not know yet are left out, and those of evacuated failure
// domains get no new work.
func (d *Daemon) updateBoard() {
	d.boardMu.Lock()
	defer d.boardMu.Unlock()
	list, _ := d.endpoints.roster.Endpoints()
	all, evacuated := list, d.evacuations.current()
	list = slices.Clone(d.versions.Observe(list))
	for i, e := range list {
		if evacuated[e.FailureDomain()] {
			list[i] = e.WithLeaving(true)
		}
	}
	cat := d.config.Catalog()
	cacheTokens := func(service string) int {
		if cat == nil || cat.Service(service) == nil || cat.Service(service).Engine == nil {
			return 0
		}
		return cat.Service(service).Engine.CacheTokens
	}
	now := d.Timer.Now()
	var cold map[lagoonhead.EndpointID]time.Duration
	d.dispatcher.WithBoard(func(b *steer.Board) {
		b.SetEndpoints(list, cacheTokens)
		cold = b.SetCold(now, all, d.endpoints.isStarting(), coldTraits(cat))
		b.Evacuated = evacuated
	})
	d.logCold(now, cold)
}

// endpointView returns how current the registrations of endpoints are.
func (d *Daemon) endpointView() mirror.View {
	return d.copy.View(d.Timer.Now(), d.Platform.EndpointPrefix)
}

// transferPerToken returns the time in which an engine of the service gets the KV cache of one token
// from another one, or 0 if it is not known.
func (d *Daemon) transferPerToken(service string) time.Duration {
	cat := d.config.Catalog()
	if cat == nil || cat.Service(service) == nil || cat.Service(service).Engine == nil || cat.Service(service).Engine.LinkBytesPerMs <= 0 {
		return 0
	}
	e := cat.Service(service).Engine
	return time.Duration(e.TokenBytes / e.LinkBytesPerMs * float64(time.Millisecond))
}

// buildWork creates the components that serve requests, exchange heartbeats and run
// duties.
func (d *Daemon) buildWork() {
	s := d.Settings
	d.pool = &peer.Pool{}
	d.suspects = &suspect.Table{Timer: d.Timer, Log: d.Log}
	d.parts = &suspect.Parts{Timer: d.Timer, Log: d.Log, Probes: d.probesPart}
	d.refusedParts = &refusedParts{parts: d.parts, store: d.copied, timer: d.Timer, log: d.Log, writes: d.storesRefusedParts}
	d.awake = newAwake(d.Timer)
	d.versions = d.newVersions()
	d.mixedVersions = &mixedVersions{tracker: d.versions, store: d.copied, timer: d.Timer, log: d.Log, place: d.storesMixedVersions, starting: d.isStarting}
	d.exchanger = &peer.Exchanger{
		Pool: d.pool, Timer: d.Timer, Self: s.VM, Peers: d.attachment.peers, Timeout: exchangeTimeout,
		OnFailure: func(v lagoonhead.VM) { d.attachment.fail(v.ID()) },
	}
	d.session = &lease.Session{
		Store: d.store, Timer: d.Timer, Log: d.Log, TTL: presenceTTL, RenewInterval: dutyTTL(s) / 4, Margin: presenceTTL / 6,
		Relaxed: func() bool { return !d.members.isReader() },
	}
	d.dutySession = &lease.Session{
		Store: d.observe(d.calls.Renewing()), Timer: d.Timer, Log: d.Log, TTL: dutyTTL(s), RenewInterval: dutyTTL(s) / 4, Margin: dutyTTL(s) / 6,
		Wanted: d.needsDutyLease,
	}
	d.admit = &admit.Runner{
		VM: s.VM, Incarnation: d.incarnation, Timer: d.Timer, Store: d.copied, SlotsKey: slotsKey, VMs: slotVMs{d.members}, OnlyListed: true,
		Directory: quotaSource{d.config}, Gate: gate{d.config}, Peers: lenders{d.members, d.pool, s.VM}, Log: d.Log, MaxWait: maxAdmitWait,
		SlotCount: slotCount, MaxHomes: homesPerWorkspace, NoEarlierProcess: true, Tolerance: s.LimitTolerance, AskDirectly: true,
	}
	d.tally = &billing.Tally{Incarnation: d.incarnation, Timer: &timer.JumpFilter{Timer: d.Timer}, Window: s.UsageWindow, PeerInterval: d.exchanger.PeerInterval}
	d.dispatcher = &dispatch.Dispatcher{
		Catalogs: d.config, Admitter: d.admit, Suspects: suspect.NotifyingTable{Table: d.suspects, SendHeartbeat: d.exchanger.ExchangeNow}, Parts: d.parts,
		Departures: d.endpoints, Versions: d.versions, Sender: d.Platform.Sender,
		Usage: d.tally, RetryBudget: newRetries(s, d.members, d.Timer), View: d.endpointView, Timer: d.Timer, Log: d.Log, Domain: s.FailureDomain, Answers: d.answers,
	}
	d.dispatcher.WithBoard(func(b *steer.Board) {
		b.LimitShare, b.ColdShare, b.TransferPerToken = d.members.limitShare, d.coldShares.share, d.transferPerToken
	})
	d.heartbeats = &heartbeats{
		self: s.VM, incarnation: d.incarnation, timer: d.Timer, log: d.Log, config: d.config, endpoints: d.endpoints, copy: d.copy, members: d.members,
		attachment: d.attachment, admit: d.admit, suspects: d.suspects, parts: d.parts, dispatcher: d.dispatcher, tally: d.tally,
		ready: d.ready, roleChanges: &d.roleChanges, peerInterval: d.exchanger.PeerInterval,
	}
	d.exchanger.Source, d.exchanger.OnResponse = d.heartbeats, d.heartbeats.answered
	d.buildDuties()
}

// dutyTTL returns the time to live of the lease for duties. It is short, so that the duties
// of a VM that failed are taken over soon, and long enough for several renewals with a
// slow store.
func dutyTTL(s Settings) time.Duration { return max(s.MinLeaseTTL, s.DutyReturnTime*2/3) }

// storeTasks returns the tasks that follow the store's keys and keep this daemon's leases.
func (d *Daemon) storeTasks() []task {
	tasks := []task{d.session.Run, d.dutySession.Run, d.keepPresence, d.keeper.Run}
	mirrors := new(expvar.Map)
	for _, v := range []struct {
		name, prefix string
		interval     time.Duration
	}{
		{"configuration", d.operatorPrefix(), 0}, {"endpoints", d.Platform.EndpointPrefix, 0}, {"fleet", fleetPrefix, fleetInterval},
	} {
		m := &mirror.Mirror{
			Store: d.store, Timer: d.Timer, Log: d.Log, Prefix: v.prefix, Copy: d.copy, Idle: d.attachment.idle, Interval: v.interval,
		}
		mirrors.Set(v.name, m.Vars())
		tasks = append(tasks, m.Run)
	}
	d.vars.Set("mirror", mirrors)
	d.vars.Set("storeCalls", d.calls.Vars())
	return tasks
}

func (d *Daemon) tasks() []task {
	tasks := append(d.storeTasks(),
		d.exchanger.Run, d.admit.Run, d.refusedParts.run, d.mixedVersions.run, d.awake.run, d.versions.Run, d.bodies.Run, d.answers.Run,
		func(ctx context.Context) error {
			timer.Every(ctx, d.Timer, lapsedInterval, func(time.Duration) { d.endpoints.removeLapsed() })
			return nil
		},
		func(ctx context.Context) error {
			timer.Every(ctx, d.Timer, demandInterval, d.sampleDemand)
			return nil
		},
		func(ctx context.Context) error {
			timer.Every(ctx, d.Timer, httplimit.LogInterval, func(time.Duration) { d.connections.LogRefused(d.Log) })
			return nil
		},
	)
	monitor := &overload.Monitor{Guard: &d.guard, Timer: d.Timer, Log: d.Log}
	d.vars.Set("processor", monitor.Vars())
	tasks = append(tasks, monitor.Run)
	d.vars.Set("dispatch", d.dispatcher.Vars())
	d.dispatcher.WithBoard(func(b *steer.Board) { d.vars.Set("estimates", b.Vars()) })
	d.vars.Set("limits", d.admit.Vars())
	d.vars.Set("lease", d.session.Vars())
	d.vars.Set("dutyLease", d.dutySession.Vars())
	d.vars.Set("duties", d.keeper.Vars())
	d.vars.Set("members", d.members.vars())
	d.vars.Set("endpoints", d.endpoints.vars())
	d.vars.Set("cold", d.coldVars())
	d.vars.Set("evacuations", d.evacuations.vars())
	d.vars.Set("heartbeats", d.exchanger.Vars())
	d.vars.Set("suspects", d.suspects.Vars())
	d.vars.Set("promptParts", d.parts.Vars())
	d.vars.Set("streamVersions", d.versions.Vars())
	return tasks
}

// servers holds the HTTP servers of the daemon with their listeners.
type servers struct {
	callers        *http.Server
	callerListener *httpdrain.Listener
	all            []server
}

type server struct {
	*http.Server
	listener net.Listener
}

func (d *Daemon) listen() (*servers, error) {
	newServer := func(h http.Handler) *http.Server { return &http.Server{Handler: h, ReadHeaderTimeout: time.Second} }
	errorLog, err := zap.NewStdLogAt(d.Log, zap.WarnLevel)
	if err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "entry.listen", Kind: lagoonhead.KindInternal, Err: err}}
	}
	p := &peer.Server{Config: noConfiguration{}, Lender: d.admit, Usage: noUsageCopies{}, Heartbeats: d.heartbeats, Counts: d.heartbeats, Streams: d.versions}
	s := &servers{callers: d.Platform.Callers(d.dispatcher, CallerLimits{d.closesConnections, d.bodyLimit, d.beginRequest, d.guard.End, d.bodies})}
	if h, ok := s.callers.Handler.(interface{ Vars() *expvar.Map }); ok {
		d.vars.Set("answers", h.Vars())
	}
	l := d.Settings.Listen
	for _, v := range []struct {
		address string
		server  *http.Server
	}{
		{l.Callers, s.callers}, {l.Ready, newServer(d.Platform.Ready(d.ready))}, {l.Peers, newServer(p.Handler())},
		{l.Metrics, newServer(d.metricsHandler())},
	} {
		if v.address == "" {
			continue
		}
		v.server.ErrorLog = errorLog
		listener, err := net.Listen("tcp", v.address)
		if err != nil {
			s.close()
			return nil, &Error{lagoonhead.Fault{Op: "entry.listen", Kind: lagoonhead.KindUnavailable, Err: err}}
		}
		socket, _ := listener.(syscall.Conn)
		accepting := &acceptListener{Listener: listener, log: d.Log}
		listener = accepting
		if v.server == s.callers {
			d.vars.Set("acceptFailed", &accepting.failed)
			d.connections.Bound(socket, d.Log)
			s.callerListener = &httpdrain.Listener{Listener: d.connections.Listen(listener), Socket: socket, Log: d.Log, Pending: d.connections.Waiting}
			d.vars.Set("closed", s.callerListener.Vars())
			s.callers.ConnState = s.callerListener.StateChanged
			listener = s.callerListener
		}
		s.all = append(s.all, server{v.server, listener})
	}
	return s, nil
}

// metricsHandler serves metrics, and explanations of placements to operators.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics.Handler("lagoonhead", d.vars))
	mux.Handle(operator.PlacementHandler(placements{d.Settings.VM, d.dispatcher}))
	return mux
}

// closesConnections reports whether callers are told to close their connections after the
// answer.
func (d *Daemon) closesConnections() bool { return d.leaving.Load() || d.connections.Crowded() }

func (s *servers) close() {
	for _, v := range s.all {
		v.listener.Close()
	}
}

// bodyLimit returns the maximum size of a request body in bytes.
func (d *Daemon) bodyLimit() int64 {
	if c := d.config.Catalog(); c != nil && c.Limits().MaxBodyBytes > 0 {
		return c.Limits().MaxBodyBytes
	}
	return defaultBodyLimit
}

func (s *servers) tasks() []task {
	var list []task
	for _, v := range s.all {
		list = append(list, v.run)
	}
	return list
}

func (s server) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // an error does not matter, since the process ends
	defer stop()
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return &Error{lagoonhead.Fault{Op: "entry.serve", Kind: lagoonhead.KindUnavailable, Err: err}}
	}
	return nil
}

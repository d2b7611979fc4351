package daemon

import (
	"context"
	"crypto/rand"
	"expvar"
	"hash/maphash"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/caller"
	"github.com/lagoonhead/lagoonhead/claim"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/control"
	"github.com/lagoonhead/lagoonhead/engine"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/order"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/place"
	"github.com/lagoonhead/lagoonhead/relay"
	"github.com/lagoonhead/lagoonhead/service"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/store"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
	"github.com/lagoonhead/lagoonhead/vmlist"
)

// builder creates the components of a daemon and connects them.
type builder struct {
	settings    settings.Settings
	timer       timer.Timer
	log         *zap.Logger
	incarnation lagoonhead.Incarnation
	resumeKey   []byte
	tracer      trace.Tracer

	store      *store.Client
	decisions  *explain.Record
	pool       *peer.Pool
	vms        *vmPoller
	config     *config.Runner
	suspects   suspect.NotifyingTable
	parts      *suspect.Parts
	exchanger  *peer.Exchanger
	placer     *place.Placer
	classes    *classCounter
	poller     *enginePoller
	admit      *admit.Runner
	session    *lease.Session
	keeper     *lease.Keeper
	committer  *config.Committer
	heartbeats *heartbeats
	usage      *billing.Recorder
	caller     *caller.Server

	vars  *expvar.Map
	tasks []task
}

func (d *Daemon) build(tracing tracing) ([]task, error) {
	b := &builder{
		settings: d.Settings, timer: d.Timer, log: d.Log, incarnation: d.incarnation,
		resumeKey: d.ResumeKey, tracer: tracing.provider.Tracer("lagoonhead/caller"), vars: new(expvar.Map),
		decisions: explain.New(explain.DefaultSize),
		store:     &store.Client{Platform: jsoncall.Client{BaseURL: d.Settings.Platform.Store}},
	}
	for _, step := range []func() error{
		b.buildPeers, b.buildConfig, b.buildPlacement, b.buildLimits,
		b.buildCaller, b.buildHeartbeats, b.buildDuties, b.buildOperator,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	d.caller = b.caller
	return b.tasks, nil
}

// add adds a task. It publishes its counters under name unless vars is nil.
func (b *builder) add(name string, t task, vars *expvar.Map) {
	b.tasks = append(b.tasks, t)
	if vars != nil {
		b.vars.Set(name, vars)
	}
}

func (b *builder) buildPeers() error {
	token, err := b.settings.Peer.ReadToken()
	if err != nil {
		return err
	}
	_, client, err := tlsConfigs(b.settings.Peer, b.timer)
	if err != nil {
		return err
	}
	b.pool = &peer.Pool{Token: token, TLS: client}
	b.exchanger = &peer.Exchanger{Pool: b.pool, Timer: b.timer, Self: b.settings.VM.ID}
	b.parts = &suspect.Parts{Timer: b.timer, Log: b.log}
	b.suspects = suspect.NotifyingTable{Table: &suspect.Table{Timer: b.timer, Log: b.log}, SendHeartbeat: b.exchanger.ExchangeNow}
	return nil
}

func (b *builder) buildConfig() error {
	b.config = &config.Runner{
		Self: b.settings.VM.ID, Incarnation: b.incarnation, Store: b.store,
		Peers: config.PoolPeers{Pool: b.pool}, Timer: b.timer, Decisions: b.decisions,
	}
	b.add("config", b.config.Run, b.config.Vars())
	b.committer = &config.Committer{Store: b.store, Runner: b.config, Peers: b.config.Peers, Timer: b.timer}
	b.vars.Set("commits", b.committer.Vars())
	b.vms = &vmPoller{
		lister: &vmlist.Client{Platform: jsoncall.Client{BaseURL: b.settings.Platform.VMs}},
		timer:  b.timer, received: b.config.SetVMs,
	}
	b.add("vmList", b.vms.Run, &b.vms.vars)
	return nil
}

func (b *builder) buildPlacement() error {
	b.placer = &place.Placer{
		Source: b.config, Timer: b.timer, Suspects: b.suspects,
		Seed: maphash.String(maphash.MakeSeed(), string(b.settings.VM.ID)),
	}
	b.add("placement", b.placer.Run, b.placer.Vars())
	b.classes = &classCounter{Placer: b.placer}
	b.poller = &enginePoller{
		querier: &engine.Querier{Timer: b.timer}, source: b.config, placer: b.placer, timer: b.timer,
		self: b.settings.VM.ID, vms: b.vms.VMs,
		after: make(map[lagoonhead.EndpointID]int64), latest: make(map[lagoonhead.EndpointID]polledReport),
		pollAll: func() bool { return b.keeper.Tenure(dutyEngineOrders) != nil },
	}
	b.add("enginePolls", b.poller.Run, &b.poller.vars)
	b.vars.Set("suspects", b.suspects.Vars())
	b.vars.Set("promptParts", b.parts.Vars())
	return nil
}

func (b *builder) buildLimits() error {
	b.admit = &admit.Runner{
		VM: b.settings.VM.ID, Incarnation: b.incarnation, Timer: b.timer, Store: b.store,
		VMs: recentVMs{b.vms}, Directory: b.config, Gate: b.config, Peers: lenders{b.config, b.pool},
		Decisions: b.decisions, Log: b.log, MaxWait: b.settings.Limits.MaxWait,
	}
	b.add("limits", b.admit.Run, b.admit.Vars())
	b.usage = &billing.Recorder{
		VM: b.settings.VM.ID, Incarnation: b.incarnation, Timer: b.timer, Store: b.store, Log: b.log,
		Buddies: buddies{b.config, b.pool, b.settings.VM.ID, b.settings.VM.FailureDomain},
	}
	b.add("usage", b.usage.Run, b.usage.Vars())
	return nil
}

func (b *builder) buildCaller() error {
	s := b.settings
	sealer, err := newSealer(b.resumeKey, s.Resume)
	if err != nil {
		return err
	}
	streamRelay := &relay.Relay{Timer: b.timer, Sealer: sealer}
	b.vars.Set("relay", streamRelay.Vars())
	streamer := &engine.Streamer{Timer: b.timer, ReadIdleTimeout: s.Limits.IdleTimeout, OnLoad: b.placer.Report}
	b.add("engines", streamer.Run, streamer.Vars())
	claims := &claim.Keeper{Store: b.store, Holder: b.incarnation, Timer: b.timer, Log: b.log}
	b.add("claims", claims.Run, claims.Vars())
	budget := new(service.Budget)
	services := &service.Client{Budget: budget, Suspects: b.suspects}
	b.vars.Set("services", services.Vars())
	bodies, connections := b.buildCallerLimits()
	b.caller = &caller.Server{
		Bodies: bodies, Connections: connections,
		Directories: b.config, Gate: b.config, Admitter: b.admit, Placer: b.classes,
		Engines: streamer, Suspects: b.suspects, Parts: b.parts, Usage: b.usage, Decisions: b.decisions,
		Services: services, Claims: claims, Budget: budget, Relay: streamRelay, Sealer: sealer,
		Timer: b.timer, Log: b.log, Tracer: b.tracer,
		Limits: caller.Limits{
			MaxBodyBytes: s.Limits.MaxBodyBytes, HeaderTimeout: s.Limits.HeaderTimeout,
			MaxInFlight: s.Limits.MaxInFlight, DrainDelay: s.Drain.Delay,
		},
	}
	b.add("callers", b.caller.Run, b.caller.Vars())
	return nil
}

// newSealer returns a sealer with the given key, else with the key of the settings, else
// with a random key. With a random key, streams can be resumed at this daemon only.
func newSealer(key []byte, r settings.Resume) (*relay.Sealer, error) {
	if key == nil {
		var err error
		if key, err = r.ReadKey(); err != nil {
			return nil, err
		}
	}
	if key == nil {
		key = make([]byte, relay.KeyBytes)
		_, _ = rand.Read(key) // it never fails
	}
	return relay.NewSealer(key)
}

func (b *builder) buildHeartbeats() error {
	b.heartbeats = &heartbeats{
		config: b.config, admit: b.admit, placer: b.placer, suspects: b.suspects.Table, parts: b.parts, poller: b.poller,
		source: b.config, ready: func() bool { return b.config.Fresh() == nil }, inFlight: b.caller.InFlight,
		classes: b.classes,
	}
	b.exchanger.Peers = b.vms.VMs
	b.exchanger.Source = b.heartbeats
	b.exchanger.OnResponse = b.heartbeats.ReceiveResponse
	b.add("heartbeats", b.exchanger.Run, b.exchanger.Vars())
	server, _, err := tlsConfigs(b.settings.Peer, b.timer)
	if err != nil {
		return err
	}
	l, err := listen(b.settings.Listen.Peer, server)
	if err != nil {
		return err
	}
	s := &peer.Server{Config: b.config, Lender: b.admit, Usage: b.usage, Heartbeats: b.heartbeats, Token: b.pool.Token}
	b.add("", serveHTTP(l, s.Handler(), b.log), nil)
	return nil
}

func (b *builder) buildDuties() error {
	b.session = &lease.Session{Store: b.store, Timer: b.timer, Log: b.log}
	d := newDuties(b.log, map[lease.Duty]func(*lease.Tenure) task{
		dutyEngineOrders: b.engineOrders, dutyEndpointOrders: b.endpointOrders, dutyUsage: b.usageReports,
	})
	b.keeper = &lease.Keeper{
		Store: b.store, Session: b.session, Timer: b.timer, Log: b.log,
		VM: b.settings.VM.ID, Incarnation: b.incarnation,
		Duties: []lease.Duty{dutyEngineOrders, dutyEndpointOrders, dutyUsage},
		Eligible: func(d lease.Duty) bool {
			return isCandidate(b.vms.VMs(), b.settings.VM.ID, "duty/"+d.String(), candidatesPerDuty)
		},
		OnGained: d.queue,
	}
	b.add("lease", b.session.Run, b.session.Vars())
	b.add("duties", b.keeper.Run, b.keeper.Vars())
	b.add("", d.Run, nil)
	return nil
}

// ledger returns the ledger that records the orders sent under a tenure.
func (b *builder) ledger(t *lease.Tenure) *order.Ledger {
	return &order.Ledger{Store: b.store, Authority: t, Writer: string(b.incarnation)}
}

// engineOrders returns the task of the duty that plans and orders the roles of engines.
func (b *builder) engineOrders(t *lease.Tenure) task {
	g := &control.RoleController{
		Fleet: &engineFleet{
			source: b.config, poller: b.poller, heartbeats: b.heartbeats, confirmations: b.config, editor: b.editor(),
			timer: b.timer, self: b.settings.VM.ID, vms: b.vms.VMs,
		},
		Ledger: b.ledger(t), Commander: &engine.Commander{Timer: b.timer, Authority: t.Check},
		Timer: b.timer, Decisions: b.decisions,
	}
	b.vars.Set("engineOrders", g.Vars())
	planner := &rolePlanner{b: b}
	return func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return g.Run(ctx) })
		group.Go(func() error { return t.RunWhileHeld(ctx, tenureInterval, planner.Run) })
		return group.Wait()
	}
}

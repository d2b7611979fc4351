package fakeengine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/ring"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// defaultKeepAlive is below the 2 s without a byte that the engine protocol allows.
	defaultKeepAlive = time.Second
	// defaultResumeWindow is how long a request runs on while no connection reads it.
	defaultResumeWindow = 30 * time.Second
	// maxRecords is the number of newest completion requests that are recorded.
	maxRecords = 16384
	// maxRuns is the number of newest runs that are kept for resume.
	maxRuns = 4096
)

var (
	errCrash     = errors.New("engine crashed")
	errChange    = errors.New("request cancelled by a change of role or model")
	errCancelled = errors.New("cancelled")
)

// Engine is the fake engine. The exported fields must be set before the first use
// and not changed afterwards. It is safe for concurrent use as an http.Handler.
type Engine struct {
	// ID is the endpoint identifier in load reports.
	ID lagoonhead.EndpointID
	// Timer is the clock of all delays and times. It must be set.
	Timer timer.Timer
	// Model is the model loaded at the start. A version may follow after "@";
	// requests name the model without it. Empty accepts every model.
	Model string
	// Role is the role at the start; empty means mixed.
	Role lagoonhead.Role
	// Slots is the maximum number of requests in the batch; 0 means 1.
	Slots int
	// QueueLimit is how many requests may wait for a slot. Further ones are refused
	// with status 503 as not run. 0 means no limit.
	QueueLimit int
	// PrefillRate is in prompt tokens per second for the whole engine; 0 means that
	// prefill takes no time.
	PrefillRate float64
	// DecodeRate is in tokens per second for each request; 0 means that decoding takes
	// no time.
	DecodeRate float64
	// CacheBlocks is the capacity of the prefix cache in blocks; 0 caches nothing.
	CacheBlocks int
	// BlockTokens is the size of a block in tokens; 0 means 2,000.
	BlockTokens int
	// Blocks returns the chained hashes of the whole blocks of a prompt. A nil func
	// uses xxhash over blocks of BlockTokens * 4 bytes. A daemon that uses the cache
	// events must split and hash prompts in the same way.
	Blocks func(text string) []uint64
	// LoadReportMaxAge is the age at which a load report is replaced by a new one.
	LoadReportMaxAge time.Duration
	// CacheEventDelay is the delay after which a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventLossInterval is n to lose each n-th cache event; 0 loses none.
	CacheEventLossInterval int
	// Fenced makes the engine refuse orders with an old sequence number or for another
	// incarnation.
	Fenced bool
	// ChangeDuration is how long a change of role or adapter takes; the engine refuses
	// completions meanwhile.
	ChangeDuration time.Duration
	// ModelBytes and ModelLoadRate, in bytes per second, determine how long loading a model
	// takes; with a ModelLoadRate of 0 it takes no time.
	ModelBytes    float64
	ModelLoadRate float64
	// KeepAlive is the interval of keep-alive comments on a stream, also between events;
	// 0 means 1 s.
	KeepAlive time.Duration
	// ResumeWindow is how long a request runs on while no connection reads it, before
	// it is cancelled; 0 means 30 s.
	ResumeWindow time.Duration
	// OnCrash is called after a crash. It may be nil.
	OnCrash func()

	once   sync.Once
	mux    *http.ServeMux
	mu     sync.Mutex
	faults Faults
	// processCtx ends with the simulated process, at a crash or restart.
	processCtx  context.Context
	endProcess  context.CancelCauseFunc
	down        bool
	incarnation lagoonhead.Incarnation
	role        lagoonhead.Role
	model       string
	adapters    map[string]bool
	// runsCtx is the parent of the contexts of all runs; a change of role or model
	// cancels and replaces it.
	runsCtx        context.Context
	cancelRuns     context.CancelCauseFunc
	pendingChanges int
	orders         orderState
	cache          *cache
	slots          slotQueue
	// queuedTokens is the number of prompt tokens that wait for prefill.
	queuedTokens int
	// prefillBusyUntil is when the prefill of all prompts scheduled so far ends.
	prefillBusyUntil time.Duration
	runs             map[lagoonhead.RequestID]*run
	runOrder         []lagoonhead.RequestID // the keys of runs, the oldest first
	// exchangeRun is the run that waits for a second one to exchange answers with, or
	// nil; exchangePartner receives that second run.
	exchangeRun     *run
	exchangePartner chan *run
	report          lagoonhead.LoadReport
	reportedAt      time.Duration
	records         *ring.Buffer[Record]
	orderRecords    []OrderRecord
}

var _ http.Handler = (*Engine)(nil)

func (e *Engine) init() {
	e.once.Do(func() {
		if e.Timer == nil {
			panic("fakeengine: Timer is nil")
		}
		e.records = ring.NewBuffer[Record](maxRecords)
		e.routes()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.boot()
	})
}

// boot sets the state of a new process. The caller holds e.mu.
func (e *Engine) boot() {
	e.processCtx, e.endProcess = context.WithCancelCause(context.Background())
	e.runsCtx, e.cancelRuns = context.WithCancelCause(e.processCtx)
	e.down = false
	e.incarnation = lagoonhead.Incarnation(uuid.NewString())
	e.role = e.Role
	if e.role == "" {
		e.role = lagoonhead.RoleMixed
	}
	e.model = e.Model
	e.adapters = make(map[string]bool)
	e.pendingChanges = 0
	e.orders = orderState{}
	e.cache = newCache(e.CacheBlocks, e.CacheEventDelay, e.CacheEventLossInterval)
	e.slots = slotQueue{free: max(e.Slots, 1)}
	e.queuedTokens = 0
	e.prefillBusyUntil = 0
	e.runs = make(map[lagoonhead.RequestID]*run)
	e.runOrder = nil
	e.exchangeRun, e.exchangePartner = nil, nil
	e.report = lagoonhead.LoadReport{}
}

func (e *Engine) routes() {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	m.HandleFunc("GET /v1/models", e.serveModels)
	m.HandleFunc("POST /lagoonhead/orders", e.serveOrder)
	m.HandleFunc("GET /lagoonhead/load", e.serveLoad)
	m.HandleFunc("GET /lagoonhead/cacheEvents", e.serveCacheEvents)
	m.HandleFunc("POST /lagoonhead/cancel", e.serveCancel)
	m.HandleFunc("POST /fake/faults", e.serveFaults)
	m.HandleFunc("POST /fake/crash", e.serveCrash)
	m.HandleFunc("GET /fake/records", e.serveRecords)
	m.HandleFunc("GET /fake/orders", e.serveOrderRecords)
	e.mux = m
}

// ServeHTTP serves the engine protocol and the routes under /fake/. A crashed
// engine closes every connection without a response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.init()
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crash simulates the end of the process: all requests are lost, and all
// connections are closed until Restart.
func (e *Engine) Crash() {
	e.init()
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.endProcess(errCrash)
	e.mu.Unlock()
	if e.OnCrash != nil {
		e.OnCrash()
	}
}

// Restart starts a new incarnation with an empty cache. The faults and the records
// stay.
func (e *Engine) Restart() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endProcess(errCrash)
	e.boot()
}

// Incarnation returns the identifier of the current process. Each restart changes
// it.
func (e *Engine) Incarnation() lagoonhead.Incarnation {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// load returns the current load report; it makes a new one when the last one has
// reached the age LoadReportMaxAge. The caller holds e.mu.
func (e *Engine) load() lagoonhead.LoadReport {
	now := e.Timer.Now()
	if e.report.Number > 0 && now-e.reportedAt < e.LoadReportMaxAge {
		return e.report
	}
	e.reportedAt = now
	e.report = lagoonhead.LoadReport{
		Endpoint: e.ID, Incarnation: e.incarnation, Role: e.role, Model: e.model,
		Running:             e.slots.running,
		QueuedPrefillTokens: e.queuedTokens,
		FreeCacheBlocks:     e.CacheBlocks - len(e.cache.lastUsed),
		AppliedSequence:     e.orders.appliedSequence,
		Number:              e.report.Number + 1,
	}
	return e.report
}

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
	// defaultKeepAlive is below the 2 s that engines promise.
	defaultKeepAlive = time.Second
	// defaultResumeWindow is how long an answer is kept once nobody reads it.
	defaultResumeWindow = 30 * time.Second
	// keptRecords bounds the record of what reached the engine.
	keptRecords = 16384
	// keptRuns bounds the answers that are kept for resume.
	keptRuns = 4096
)

var (
	errCrash     = errors.New("engine crashed")
	errChange    = errors.New("engine changes its role or model")
	errCancelled = errors.New("cancelled")
)

// Engine is the stand-in. The exported fields are set before its first use. It is
// safe for concurrent use as an http.Handler.
type Engine struct {
	// ID is the endpoint identifier in load reports.
	ID lagoonhead.EndpointID
	// Timer is the clock that all delays are counted by. It must be set.
	Timer timer.Timer
	// Model is loaded at the start. A version may follow after "@"; requests name
	// the model without it. Empty accepts every model.
	Model string
	// Role is the role at the start; empty means mixed.
	Role lagoonhead.Role
	// Slots is the size of the batch; 0 means 1.
	Slots int
	// QueueLimit is how many requests may wait for a slot before the engine refuses
	// with "not run"; 0 means no limit.
	QueueLimit int
	// PrefillRate is in prompt tokens per second for the whole engine; 0 takes no
	// time.
	PrefillRate float64
	// DecodeRate is in tokens per second for each request; 0 takes no time.
	DecodeRate float64
	// CacheBlocks is the room of the prefix cache in blocks; 0 caches nothing.
	CacheBlocks int
	// BlockTokens is the size of a block; 0 means 2,000.
	BlockTokens int
	// Blocks returns the chained hashes of a prompt's whole blocks; nil uses xxhash
	// over pieces of 4 bytes per token. A daemon that is to understand the cache
	// events must cut and hash prompts in the same way.
	Blocks func(text string) []uint64
	// LoadLag is the age that a load report may reach before a new one is made.
	LoadLag time.Duration
	// CacheLag is how late cache events become visible.
	CacheLag time.Duration
	// CacheGapEvery loses each n-th cache event; 0 loses none.
	CacheGapEvery int
	// Fenced refuses orders with an old sequence number or another incarnation.
	Fenced bool
	// RoleTime is how long a change of role or adapter takes the engine out.
	RoleTime time.Duration
	// ModelBytes and LoadRate (bytes per second) tell how long a model load takes;
	// a LoadRate of 0 takes no time.
	ModelBytes float64
	LoadRate   float64
	// KeepAlive is the longest time without a byte on an open stream; 0 means 1 s.
	KeepAlive time.Duration
	// ResumeWindow is how long a request runs on and its answer is kept when no
	// connection reads it; 0 means 30 s.
	ResumeWindow time.Duration
	// OnCrash is called after a crash; it may be nil.
	OnCrash func()

	once     sync.Once
	mux      *http.ServeMux
	mu       sync.Mutex
	faults   Faults
	life     context.Context
	die      context.CancelCauseFunc
	down     bool
	identity lagoonhead.Incarnation
	role     lagoonhead.Role
	model    string
	adapters map[string]bool
	change   context.Context
	changed  context.CancelCauseFunc
	changing int
	orders   orderState
	blocks   *cache
	slots    slotQueue
	queued   int
	prefill  time.Duration
	runs     map[lagoonhead.RequestID]*run
	runOrder []lagoonhead.RequestID
	swap     *run
	swapped  chan *run
	report   lagoonhead.LoadReport
	reported time.Duration
	records  *ring.Last[Record]
	taken    []OrderRecord
}

var _ http.Handler = (*Engine)(nil)

func (e *Engine) init() {
	e.once.Do(func() {
		if e.Timer == nil {
			panic("fakeengine: Timer is nil")
		}
		e.records = ring.NewLast[Record](keptRecords)
		e.routes()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.boot()
	})
}

// boot sets the state of a new process. The caller holds the lock.
func (e *Engine) boot() {
	e.life, e.die = context.WithCancelCause(context.Background())
	e.change, e.changed = context.WithCancelCause(e.life)
	e.down = false
	e.identity = lagoonhead.Incarnation(uuid.NewString())
	e.role = e.Role
	if e.role == "" {
		e.role = lagoonhead.RoleMixed
	}
	e.model = e.Model
	e.adapters = make(map[string]bool)
	e.changing = 0
	e.orders = orderState{}
	e.blocks = newCache(e.CacheBlocks, e.CacheLag, e.CacheGapEvery)
	e.slots = slotQueue{free: max(e.Slots, 1)}
	e.queued = 0
	e.prefill = 0
	e.runs = make(map[lagoonhead.RequestID]*run)
	e.runOrder = nil
	e.swap, e.swapped = nil, nil
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

// ServeHTTP serves the engine protocol. A crashed engine breaks every
// connection.
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

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crash ends the process: all requests are lost and all connections break, until
// Restart.
func (e *Engine) Crash() {
	e.init()
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.die(errCrash)
	e.mu.Unlock()
	if e.OnCrash != nil {
		e.OnCrash()
	}
}

// Restart starts a new incarnation with an empty cache. The switches for faults
// and the records stay.
func (e *Engine) Restart() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die(errCrash)
	e.boot()
}

// Incarnation returns the identity of the running process.
func (e *Engine) Incarnation() lagoonhead.Incarnation {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.identity
}

// load returns the report that is in force; it is made anew when it has reached
// LoadLag. The caller holds the lock.
func (e *Engine) load() lagoonhead.LoadReport {
	now := e.Timer.Now()
	if e.report.Number > 0 && now-e.reported < e.LoadLag {
		return e.report
	}
	e.reported = now
	e.report = lagoonhead.LoadReport{
		Endpoint: e.ID, Incarnation: e.identity, Role: e.role, Model: e.model,
		Running:             e.slots.running,
		QueuedPrefillTokens: e.queued,
		FreeCacheBlocks:     e.CacheBlocks - len(e.blocks.used),
		AppliedSequence:     e.orders.applied,
		Number:              e.report.Number + 1,
	}
	return e.report
}

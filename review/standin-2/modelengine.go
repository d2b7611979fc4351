package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// modelEvents is the number of events of a stream.
const modelEvents = 9

// modelEngine is an engine of the service of models.
type modelEngine struct {
	id, address, stage string
	// eventTime is the time between two events. slowness multiplies it; 0 means 1.
	eventTime time.Duration
	slowness  atomic.Int64
	// memory is the size of the engine's memory in tokens, and eventTokens that of an event; 0 means no bound.
	memory, eventTokens int
	// stays is true if the engine goes on with a stream whose connection was closed.
	stays bool
	fleet *fleet

	mu      sync.Mutex
	streams map[string]string // what became of the streams, by request
	// began and worked hold when the work on a stream began, and when an event of it was last made.
	began, worked map[string]time.Time
	// running and waiting are the requests that have memory, and those that wait for it, oldest first.
	running, waiting []*held
}

const (
	// promptTokens is the number of tokens of a prompt.
	promptTokens = 383
	// queuePlaces is the number of requests that an engine lets wait for memory.
	queuePlaces = 2
	// readTime is how long an engine reads a preempted request in again.
	readTime = 100 * time.Millisecond
	// memoryCheck is the time between two looks of a waiting request at the memory.
	memoryCheck = 5 * time.Millisecond
)

// held is the memory of a request at an engine.
type held struct {
	id     string
	tokens int
}

// admit gives a request memory or a place among those that wait for it, and reports whether there was one.
func (e *modelEngine) admit(h *held) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case len(e.waiting) == 0 && e.fits(h):
		e.running = append(e.running, h)
	case len(e.waiting) < queuePlaces:
		e.waiting = append(e.waiting, h)
	default:
		return false
	}
	return true
}

// fits reports whether there is memory for a request. The caller holds the lock.
func (e *modelEngine) fits(h *held) bool { return e.memory == 0 || e.used()+h.tokens <= e.memory }

// used returns the memory of the running requests. The caller holds the lock.
func (e *modelEngine) used() (n int) {
	for _, h := range e.running {
		n += h.tokens
	}
	return n
}

// await waits until a request has memory, and reports whether it had to, and whether its client has left.
func (e *modelEngine) await(h *held, left <-chan struct{}) (waited, gone bool) {
	for {
		e.mu.Lock()
		if slices.Contains(e.running, h) {
			e.mu.Unlock()
			break
		}
		if e.waiting[0] == h && e.fits(h) {
			e.waiting, e.running = e.waiting[1:], append(e.running, h)
		}
		e.mu.Unlock()
		waited = true
		select {
		case <-time.After(memoryCheck):
		case <-left:
			return waited, true
		}
	}
	if waited {
		time.Sleep(readTime)
	}
	return waited, false
}

// grow adds an event to the memory of a request. Once it runs out, the newest requests are preempted.
func (e *modelEngine) grow(h *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.tokens += e.eventTokens
	for e.memory > 0 && e.used() > e.memory {
		last := e.running[len(e.running)-1]
		e.running, e.waiting = e.running[:len(e.running)-1], append([]*held{last}, e.waiting...)
		e.fleet.add("engine %s: request %s is preempted, since the memory ran out; %d run, %d wait", e.id, last.id, len(e.running), len(e.waiting))
	}
}

// release frees the memory of a request.
func (e *modelEngine) release(h *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	is := func(v *held) bool { return v == h }
	e.running, e.waiting = slices.DeleteFunc(e.running, is), slices.DeleteFunc(e.waiting, is)
}

// newModelEngine starts and registers an engine of the service of models.
func (f *fleet) newModelEngine(e *modelEngine) *modelEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e.address, e.fleet, e.streams = l.Addr().String(), f, make(map[string]string)
	e.began, e.worked = make(map[string]time.Time), make(map[string]time.Time)
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(l) }() // until the process ends
	f.store.put("servers/"+e.id, map[string]any{
		"service": "model", "address": e.address, "zone": "a", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	f.add("engine %s (%s) registers as %s", e.id, e.stage, e.address)
	return e
}

// ServeHTTP serves prefills, streams and releases of memory.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	want, prefills := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Stage") == "prefill"
	switch {
	case want != "" && want != e.id, !strings.HasPrefix(r.URL.Path, "/-/") && prefills != (e.stage == "prefill"):
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		w.WriteHeader(http.StatusOK)
	case prefills:
		reply(w, http.StatusOK, map[string]any{"kv_handle": "h-" + id, "tokens": promptTokens, "version": 1})
	default:
		e.stream(w, r, id)
	}
}

func (e *modelEngine) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 is before all events
	h := &held{id: id, tokens: promptTokens + last*e.eventTokens}
	if !e.admit(h) {
		e.fleet.add("engine %s: request %s is refused, since the memory and the queue are full", e.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release(h)
	w.Header().Set("X-Server-Stamp", "stamp-"+e.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	e.mu.Lock()
	e.began[id] = time.Now()
	e.mu.Unlock()
	e.fleet.add("engine %s: request %s begins behind event %d", e.id, id, last)
	left := r.Context().Done()
	for n := last + 1; n <= modelEvents; n++ {
		since := time.Now()
		waited, gone := e.await(h, left)
		if waited {
			e.fleet.add("engine %s: request %s waited %.3f s for memory before event %d, client left: %t", e.id, id, time.Since(since).Seconds(), n, gone)
		}
		if gone {
			e.note(id, "its connection was closed while it waited for memory")
			return
		}
		due := time.After(e.eventTime * time.Duration(max(1, e.slowness.Load())))
		select {
		case <-due:
		case <-left:
			e.note(id, fmt.Sprintf("its connection was closed while event %d was being made", n))
			if !e.stays {
				return
			}
			left = nil
			<-due
		}
		e.grow(h)
		e.mu.Lock()
		e.worked[id] = time.Now()
		e.mu.Unlock()
		if left == nil {
			e.fleet.add("engine %s: request %s: event %d made, nobody reads it", e.id, id, n)
			continue
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d to %s\n\n", n, n, id)
		_ = flush.Flush() // the next event meets the error
	}
	e.note(id, "made all events")
}

// note records what became of a request.
func (e *modelEngine) note(id, what string) {
	e.fleet.add("engine %s: request %s: %s", e.id, id, what)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = what
}

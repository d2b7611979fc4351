package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	// pauseAfter is the event behind which each stream pauses for pause; 0 means none. The engine has preempted
	// the request then, and reads it in again.
	pauseAfter int
	pause      time.Duration
	// stays is true if the engine goes on with a stream whose connection was closed.
	stays bool
	// full is true if the engine has no memory for further requests.
	full  bool
	fleet *fleet

	mu      sync.Mutex
	streams map[string]string // what became of the streams, by request
	// began and worked hold when the work on a stream began, and when an event of it was last made.
	began, worked map[string]time.Time
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
		reply(w, http.StatusOK, map[string]any{"kv_handle": "h-" + id, "tokens": 383, "version": 1})
	case e.full:
		e.note(id, "refused, since the memory is full")
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		e.stream(w, r, id)
	}
}

func (e *modelEngine) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 is before all events
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
		wait := e.eventTime * time.Duration(max(1, e.slowness.Load()))
		if n == e.pauseAfter+1 && e.pauseAfter > 0 {
			wait = e.pause
		}
		due := time.After(wait)
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

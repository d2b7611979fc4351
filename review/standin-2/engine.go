package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of an engine's entry.
const heartbeat = 1200 * time.Millisecond

// run is a request that an engine ran.
type run struct {
	id string
	at time.Time
}

// engine is an engine of the plain service.
type engine struct {
	id, address string
	work        time.Duration
	server      *http.Server
	store       *store

	mu   sync.Mutex
	runs []run
	born int64
	gone bool
}

// newEngine starts an engine and registers it.
func (f *fleet) newEngine(id string, work time.Duration) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{id: id, address: l.Addr().String(), work: work, store: f.store, born: time.Now().UnixMilli()}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }() // until exit
	go func() {
		for e.beat() {
			time.Sleep(heartbeat)
		}
	}()
	f.engines = append(f.engines, e)
	f.add("engine %s registers as %s", id, e.address)
	return e
}

// beat writes the engine's entry, and reports whether the engine is still registered.
func (e *engine) beat() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.store.putIfChanged("servers/"+e.id, map[string]any{
		"service": "booking", "address": e.address, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": e.born,
	})
	return true
}

// leave removes the engine's entry without a report that it drains. It serves on.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	e.store.drop("servers/" + e.id)
}

// exit ends the process of the engine.
func (e *engine) exit() {
	_ = e.server.Close() // it closes all connections too
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, run{id, time.Now()})
	e.mu.Unlock()
	time.Sleep(e.work)
	w.Header().Set("X-Server-Stamp", "stamp-"+e.id)
	fmt.Fprintf(w, "%s did %s", e.id, id)
}

// ran returns the requests that the engine has run.
func (e *engine) ran() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

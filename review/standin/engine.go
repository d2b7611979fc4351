package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// engine stands in for an engine of a service. The fields are set before start.
type engine struct {
	*fleet
	id string
	// work is how long a request runs.
	work time.Duration
	// events is the number of events of a stream; 0 makes answers plain.
	events int
	// stage is prefill or decode for a model engine, and empty for another.
	stage string
	// losesAnswer reports for each run whether its answer is lost. It may be nil.
	losesAnswer func() bool
	// crashPath is the path of a request that crashes the engine once it has run for crashAfter.
	// Empty means none.
	crashPath  string
	crashAfter time.Duration

	server  *http.Server
	address string

	mu       sync.Mutex
	arrivals []arrival
	leaving  bool
	orders   int
	handles  int
	born     time.Time
	crashes  []time.Time
}

// start listens and registers the engine.
func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.add("engine %s listens at %s", e.id, e.address)
	return e.run(l)
}

// run starts a process of the engine.
func (e *engine) run(l net.Listener) error {
	e.mu.Lock()
	// A new process knows nothing of the orders before.
	e.born, e.orders = time.Now(), 0
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // it ends with the process of the engine
	e.mu.Unlock()
	return e.register()
}

// downTime is how long an engine is down after a crash.
const downTime = 4 * time.Second

// crash ends the process of the engine, whose connections break, and starts another one under the
// same id and address later.
func (e *engine) crash() {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	server := e.server
	e.mu.Unlock()
	go func() {
		_ = server.Close() // the process is gone
		time.Sleep(downTime)
		l, err := net.Listen("tcp", e.address)
		if err == nil {
			err = e.run(l)
		}
		e.add("engine %s is back: error %v", e.id, err)
	}()
}

// register writes the entry of the engine.
func (e *engine) register() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := map[string]any{
		"service": "backend", "address": e.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.orders, "born": e.born.UnixMilli(),
	}
	if e.stage != "" {
		v["stage"] = e.stage
		v["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e.put("servers/"+e.id, v)
}

// exit ends the engine. Its connections break.
func (e *engine) exit() {
	e.add("engine %s exits", e.id)
	_ = e.server.Close() // the process goes on with its other stand-ins
}

// leave makes all later answers say that the engine leaves.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// seen returns the requests that have reached the engine.
func (e *engine) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// note keeps an arrival.
func (e *engine) note(id string, ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now(), ran})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/order" {
		e.order(w, body)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/kv-handle/") {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if done := e.prefill(w, r, id); done {
		return
	}
	e.note(id, true)
	e.add("engine %s runs %s (%s %s, for tenant %q)", e.id, id, r.Method, r.URL.Path, r.Header.Get("X-Tenant"))
	if e.crashPath != "" && r.URL.Path == e.crashPath {
		time.Sleep(e.crashAfter)
		e.add("engine %s crashes under %s", e.id, id)
		e.crash()
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.add("engine %s: the connection of %s has ended during the run", e.id, id)
		return
	}
	if e.losesAnswer != nil && e.losesAnswer() {
		e.add("engine %s has run %s, and its answer is lost: the connection is reset", e.id, id)
		reset(w)
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Stamp", "stamp-of-"+e.id)
	e.mu.Lock()
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	if e.events == 0 {
		_, _ = fmt.Fprintf(w, "%s of %s", id, e.id) // a lost connection shows at the client
		return
	}
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range e.events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id)
		_ = control.Flush()
		time.Sleep(eventPause)
	}
}

// switchTime is how long an engine takes to change its stage.
const switchTime = 3 * time.Second

// order takes an order to change the stage.
func (e *engine) order(w http.ResponseWriter, body []byte) {
	var v struct {
		Stage string `json:"stage"`
		Fence int64  `json:"fencing_token"`
	}
	if err := json.Unmarshal(body, &v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.add("engine %s is ordered to %s under token %d", e.id, v.Stage, v.Fence)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stage == v.Stage {
		return
	}
	e.orders++
	w.WriteHeader(http.StatusAccepted)
	born := e.born
	time.AfterFunc(switchTime, func() {
		e.mu.Lock()
		same := e.born.Equal(born) && (len(e.crashes) == 0 || e.crashes[len(e.crashes)-1].Before(born))
		if same {
			e.stage = v.Stage
		}
		e.mu.Unlock()
		if !same {
			return // the process that took the order has crashed
		}
		if err := e.register(); err != nil {
			e.add("engine %s cannot register: %v", e.id, err)
		}
	})
}

// prefill answers a request that is for another stage, or whose prompt is only to be read. It
// reports whether the request is done.
func (e *engine) prefill(w http.ResponseWriter, r *http.Request, id string) (done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	only := r.Header.Get("X-Stage") == "prefill"
	if e.stage == "" || only == (e.stage == "prefill") && !only {
		return false
	}
	w.Header().Set("X-Request-Id", id)
	if !only || e.stage != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	e.handles++
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"kv_handle":"%s-%d","tokens":10,"version":1}`, e.id, e.handles)
	return true
}

// eventPause is the time between two events of a stream.
const eventPause = 5 * time.Millisecond

// reset breaks the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the connection is closed instead, which is no answer either
	}
	c.Close()
}

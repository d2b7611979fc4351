package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes to answer a call.
const storeAnswerTime = 4 * time.Millisecond

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease with its time to live.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	lastID   int64
	changed  chan struct{}
	// cuts holds, by caller, what is closed when its watches that wait are cut.
	cuts map[string]chan struct{}
}

func newStore() *store {
	s := &store{revision: 1, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{}), cuts: make(map[string]chan struct{})}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended. The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, v := range s.items {
		if v.Lease == id {
			s.remove(k)
		}
	}
}

// record adds a change to the history and wakes the watches. The caller holds the lock.
func (s *store) record(v item) {
	s.history = append(s.history, v)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, id int64) {
	s.revision++
	created := s.revision
	if v, ok := s.items[key]; ok {
		created = v.Created
	}
	v := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	s.items[key] = v
	s.record(v)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

// put writes a key as operators and engines do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, raw, 0)
}

// drop removes a key as operators and engines do.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

type none struct{}

// ServeHTTP serves the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		v, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, none{})
			return
		}
		reply(w, http.StatusOK, v)
	case path == "/-/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64) // 0 is no lease
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, none{})
	default:
		reply(w, http.StatusNotFound, none{})
	}
}

// list answers with a page of at most 500 items.
func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const pageItems = 500
	s.mu.Lock()
	items := []item{}
	for k, v := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, v)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	caller := r.Header.Get(headerCaller)
	for {
		s.mu.Lock()
		events := []item{}
		for _, v := range s.history {
			if v.Revision > after && strings.HasPrefix(v.Key, q.Get("path_prefix")) {
				events = append(events, v)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cuts[caller]
		if cut == nil {
			cut = make(chan struct{})
			s.cuts[caller] = cut
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-until:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-cut:
			endInOrder(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// endInOrder closes a connection without an answer and without a reset.
func endInOrder(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		c.Close()
	}
}

// headerCaller names the daemon that makes a call. The proxy of its link sets it.
const headerCaller = "Caller"

// cutWatches cuts the watches of a daemon that wait, or those of all if the name is empty.
func (s *store) cutWatches(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.cuts {
		if caller == "" || caller == name {
			close(c)
			delete(s.cuts, name)
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var v struct {
		Conditions []item   `json:"expect_revision"`
		Puts       []item   `json:"put_items"`
		Deletes    []string `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		reply(w, http.StatusBadRequest, none{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range v.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[c.Key]}})
			return
		}
	}
	for _, p := range v.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, none{})
			return
		}
	}
	for _, p := range v.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range v.Deletes {
		s.remove(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var v struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		reply(w, http.StatusBadRequest, none{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(v.TTLMs) * time.Millisecond
	s.leases[s.lastID] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": v.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, none{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// putIfChanged writes a key unless it has the value already.
func (s *store) putIfChanged(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.items[key]; !ok || string(v.Value) != string(raw) {
		s.set(key, raw, 0)
	}
}

package explain

import (
	"expvar"
	"slices"
	"sync"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/ring"
)

// DefaultSize is the usual number of decisions that a Record keeps. At about 300 bytes
// each they take 1.2 MB.
const DefaultSize = 4096

// Query selects decisions. Empty fields match everything.
type Query struct {
	// Topic is the topic of the decisions.
	Topic string
	// Subject is the request, workspace or endpoint that the decision was about.
	Subject string
	// Limit is the maximum number of decisions returned; 0 or less means all.
	Limit int
}

// Record is a lagoonhead.DecisionRecorder that keeps the newest decisions in memory.
// Create it with New. It is safe for concurrent use.
type Record struct {
	mu       sync.Mutex
	newest   *ring.Buffer[lagoonhead.Decision]
	recorded expvar.Int
	queries  expvar.Int
}

var _ lagoonhead.DecisionRecorder = (*Record)(nil)

// New returns a record that keeps the newest decisions, at most size of them. It panics
// if size is not positive.
func New(size int) *Record {
	return &Record{newest: ring.NewBuffer[lagoonhead.Decision](size)}
}

// RecordDecision implements lagoonhead.DecisionRecorder. It allocates nothing.
func (r *Record) RecordDecision(d lagoonhead.Decision) {
	r.mu.Lock()
	r.newest.Add(d)
	r.mu.Unlock()
	r.recorded.Add(1)
}

// Find returns the newest decisions that match q, the newest first.
func (r *Record) Find(q Query) []lagoonhead.Decision {
	r.queries.Add(1)
	found := r.matching(q)
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[len(found)-q.Limit:]
	}
	slices.Reverse(found)
	return found
}

// matching returns all decisions that match q, the oldest first. It ignores the limit.
func (r *Record) matching(q Query) []lagoonhead.Decision {
	var out []lagoonhead.Decision
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest.Each(func(d lagoonhead.Decision) bool {
		if (q.Topic == "" || q.Topic == d.Topic) && (q.Subject == "" || q.Subject == d.Subject) {
			out = append(out, d)
		}
		return true
	})
	return out
}

// Vars returns the counters: decisions recorded and queries answered.
func (r *Record) Vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("recorded", &r.recorded)
	m.Set("queries", &r.queries)
	return m
}

package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// DefaultPrefillRate is assumed of an engine, in prompt tokens per second, when
// nothing else is set. At 2,000 tokens a block it prefills four blocks a second.
const DefaultPrefillRate = 8000

// ReportLag is how old the state in a load report is when it arrives, unless the
// table is told otherwise. Dispatches of that time are not taken as reported.
const ReportLag = 250 * time.Millisecond

// recentDispatches is how many dispatches per endpoint are kept apart by time.
const recentDispatches = 16

// Ticket describes one dispatch. It is given back to the table when the dispatch
// has a first token and when it ends.
type Ticket struct {
	engine   int
	decode   int
	at       time.Duration
	tokens   int
	base     time.Duration
	sequence int64
	first    bool
	suspect  bool
	probe    bool
}

// Engine returns the place of the endpoint in the table.
func (t *Ticket) Engine() int { return t.engine }

// At returns the time of the dispatch since boot.
func (t *Ticket) At() time.Duration { return t.at }

// Decode returns the place of the endpoint that takes over after the prefill. It is
// that of Engine when none does.
func (t *Ticket) Decode() int { return t.decode }

// Waiting reports whether the first token is still due.
func (t *Ticket) Waiting() bool { return !t.first }

// Table holds the states of the endpoints of one model or service. An endpoint
// keeps its place for as long as it is in the table. It is not safe for concurrent
// use.
type Table struct {
	lag  time.Duration
	rate float64
	// common is the mean of observed over predicted times of all endpoints.
	common float64
	states []lagoonhead.EngineState
	recent []dispatches
	places map[lagoonhead.EndpointID]int
	free   []int
}

// dispatches are the newest dispatches to one endpoint.
type dispatches struct {
	entries [recentDispatches]dispatch
	// sequence counts all dispatches to the endpoint.
	sequence int64
	// reported is the sequence of the last dispatch that the report may contain.
	reported int64
}

type dispatch struct {
	at       time.Duration
	tokens   int
	sequence int64
}

// entry returns where the dispatch with the given sequence is kept.
func (d *dispatches) entry(sequence int64) *dispatch {
	return &d.entries[sequence%recentDispatches]
}

// NewTable returns an empty table whose load reports are lag old when they arrive
// and whose engines prefill rate tokens per second.
func NewTable(lag time.Duration, rate float64) *Table {
	return &Table{lag: lag, rate: rate, places: make(map[lagoonhead.EndpointID]int)}
}

// States returns the states by place. The caller must not change or keep them. A
// free place has an endpoint that is leaving and has no identifier.
func (t *Table) States() []lagoonhead.EngineState { return t.states }

// Place returns the place of the endpoint. ok is false when it is not in the
// table.
func (t *Table) Place(id lagoonhead.EndpointID) (i int, ok bool) {
	i, ok = t.places[id]
	return i, ok
}

// Put adds the endpoint or replaces its description and returns its place.
func (t *Table) Put(e lagoonhead.Endpoint) int {
	if i, ok := t.places[e.ID()]; ok {
		t.states[i].Endpoint = e
		return i
	}
	s := lagoonhead.EngineState{Endpoint: e, PrefillRate: t.rate, Slowdown: 1}
	i := len(t.states)
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
		t.states[i] = s
		t.recent[i] = dispatches{}
	} else {
		t.states = append(t.states, s)
		t.recent = append(t.recent, dispatches{})
	}
	t.places[e.ID()] = i
	return i
}

// SetPrefillRate sets the speed of the endpoint in prompt tokens per second. It must
// be positive.
func (t *Table) SetPrefillRate(i int, rate float64) { t.states[i].PrefillRate = rate }

// Leave bars the endpoint from new work. Remove may follow once nothing runs on
// it.
func (t *Table) Leave(i int) {
	s := &t.states[i]
	s.Endpoint = s.Endpoint.WithLeaving(true)
}

// Remove frees the place. It must not be called while requests are in flight.
func (t *Table) Remove(i int) {
	delete(t.places, t.states[i].Endpoint.ID())
	t.states[i] = lagoonhead.EngineState{Endpoint: lagoonhead.Endpoint{}.WithLeaving(true)}
	t.free = append(t.free, i)
}

// Dispatch counts a request that is sent to the chosen endpoint.
func (t *Table) Dispatch(now time.Duration, r *lagoonhead.RouteRequest, c lagoonhead.Choice) Ticket {
	s := &t.states[c.Engine]
	d := &t.recent[c.Engine]
	d.sequence++
	*d.entry(d.sequence) = dispatch{at: now, tokens: c.Uncached, sequence: d.sequence}
	k := Ticket{
		engine: c.Engine, decode: c.Decode, at: now, tokens: c.Uncached, base: c.Base,
		sequence: d.sequence, suspect: r.Suspect, probe: s.Failures > toleratedTimeouts,
	}
	s.SentTokens += c.Uncached
	s.SentRequests++
	s.InFlight++
	if k.suspect {
		s.Suspects++
	}
	if k.probe {
		s.Probing = true
	}
	if c.Decode != c.Engine {
		t.states[c.Decode].InFlight++
	}
	return k
}

// FirstToken tells that the answer of the dispatch began.
func (t *Table) FirstToken(now time.Duration, k *Ticket) {
	if k.first {
		return
	}
	k.first = true
	t.prefilled(k)
	t.observe(now, k, true)
	if k.decode != k.engine {
		t.leave(k)
	}
}

// Overdue tells that the first token of the dispatch is still due. A dispatch
// that takes far longer than predicted slows the endpoint's predictions before it
// ends.
func (t *Table) Overdue(now time.Duration, k *Ticket) {
	if !k.first {
		t.observe(now, k, false)
	}
}

// prefilled takes the prompt of the dispatch off what waits at the endpoint.
func (t *Table) prefilled(k *Ticket) {
	d := &t.recent[k.engine]
	if k.sequence > d.reported {
		t.states[k.engine].SentTokens -= k.tokens
	}
	if e := d.entry(k.sequence); e.sequence == k.sequence {
		e.tokens = 0
	}
}

// leave frees the slot of the dispatch on its first engine.
func (t *Table) leave(k *Ticket) {
	s, d := &t.states[k.engine], &t.recent[k.engine]
	if k.sequence > d.reported {
		s.SentRequests--
	}
	if e := d.entry(k.sequence); e.sequence == k.sequence {
		*e = dispatch{}
	}
	s.InFlight--
	if k.suspect {
		s.Suspects--
	}
}

// Done counts the end of the dispatch and judges the health of the endpoint that
// ran it last.
func (t *Table) Done(now time.Duration, k *Ticket, o lagoonhead.Outcome) {
	last := k.engine
	handed := k.first && k.decode != k.engine
	if handed {
		last = k.decode
	}
	if !k.first {
		k.first = true
		t.prefilled(k)
	}
	if !handed {
		t.leave(k)
	}
	if k.decode != k.engine {
		t.states[k.decode].InFlight--
	}
	judge(now, &t.states[last], k, o)
	if k.probe && handed {
		t.states[k.engine].Probing = false
	}
}

// Report takes a load report that arrived now. It returns false when the report is
// older than the one that is held or of an unknown endpoint.
func (t *Table) Report(now time.Duration, r lagoonhead.LoadReport) bool {
	i, ok := t.places[r.Endpoint]
	if !ok {
		return false
	}
	s := &t.states[i]
	same := s.Report.Incarnation == r.Incarnation
	if same && r.Number <= s.Report.Number {
		return false
	}
	if !same && s.Report.Number != 0 {
		// A new process has no use for the back-off that the former one earned.
		s.RetryAt = min(s.RetryAt, now)
		s.Slowdown = 1
	}
	s.Report = r
	s.ReportAt = now - t.lag
	t.recount(now, i)
	return true
}

// recount keeps, after a report, only the dispatches that it cannot contain.
func (t *Table) recount(now time.Duration, i int) {
	s, d := &t.states[i], &t.recent[i]
	s.SentTokens, s.SentRequests = 0, 0
	d.reported = d.sequence
	for j := range d.entries {
		e := &d.entries[j]
		if e.sequence == 0 || e.at <= now-t.lag {
			continue
		}
		s.SentTokens += e.tokens
		s.SentRequests++
		d.reported = min(d.reported, e.sequence-1)
	}
}

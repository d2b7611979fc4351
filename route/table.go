package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// DefaultPrefillRate is the prefill rate assumed for an engine when no other is set, in
// prompt tokens per second: four blocks of 2,000 tokens per second.
const DefaultPrefillRate = 8000

// DefaultReportLag is the default age of the state in a load report when the report arrives.
// Dispatches within that time before its arrival count as not yet reported.
const DefaultReportLag = 250 * time.Millisecond

// recentDispatches is how many of the newest dispatches to each endpoint are recorded
// with their times.
const recentDispatches = 16

// Ticket describes one dispatch. It is passed to the table again when the first token
// of the dispatch arrives and when the dispatch ends.
type Ticket struct {
	engine   int
	decode   int
	at       time.Duration
	tokens   int
	base     time.Duration
	sequence int64
	// prefilled is true once the first token has arrived or the dispatch has ended.
	prefilled bool
	suspect   bool
	// probe is true when the dispatch tests a failing endpoint.
	probe bool
}

// Engine returns the index of the endpoint in the table.
func (t *Ticket) Engine() int { return t.engine }

// At returns the time of the dispatch, since boot.
func (t *Ticket) At() time.Duration { return t.at }

// Decode returns the index of the endpoint that decodes the request after the prefill.
// It equals Engine unless the request is split.
func (t *Ticket) Decode() int { return t.decode }

// Waiting reports whether the dispatch is still waiting for its first token.
func (t *Ticket) Waiting() bool { return !t.prefilled }

// Table holds the states of the endpoints of one model or service. The index of an
// endpoint does not change while it is in the table. A Table is not safe for concurrent
// use.
type Table struct {
	lag  time.Duration
	rate float64
	// meanRatio is the moving average, over all endpoints, of the ratio of observed to
	// predicted times to first token.
	meanRatio float64
	states    []lagoonhead.EngineState
	recent    []dispatches
	// indexes gives the index of each endpoint in states and recent.
	indexes map[lagoonhead.EndpointID]int
	// free lists unused indexes.
	free []int
}

// dispatches records the newest dispatches to one endpoint in a ring buffer.
type dispatches struct {
	entries [recentDispatches]dispatch
	// sequence counts all dispatches to the endpoint.
	sequence int64
	// reported is the sequence number of the last dispatch that the newest report may
	// include.
	reported int64
}

type dispatch struct {
	at       time.Duration
	tokens   int
	sequence int64
}

// entry returns the ring buffer entry for a sequence number. It may hold a newer
// dispatch.
func (d *dispatches) entry(sequence int64) *dispatch {
	return &d.entries[sequence%recentDispatches]
}

// NewTable returns an empty table whose load reports are lag old when they arrive
// and whose engines prefill rate tokens per second.
func NewTable(lag time.Duration, rate float64) *Table {
	return &Table{lag: lag, rate: rate, indexes: make(map[lagoonhead.EndpointID]int)}
}

// States returns the states by index. The caller must not change or retain them. An
// unused index has an endpoint that is leaving and has no identifier.
func (t *Table) States() []lagoonhead.EngineState { return t.states }

// Index returns the index of the endpoint. ok is false when the endpoint is not in the
// table.
func (t *Table) Index(id lagoonhead.EndpointID) (i int, ok bool) {
	i, ok = t.indexes[id]
	return i, ok
}

// Put adds the endpoint or replaces its description, and returns its index.
func (t *Table) Put(e lagoonhead.Endpoint) int {
	if i, ok := t.indexes[e.ID()]; ok {
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
	t.indexes[e.ID()] = i
	return i
}

// SetPrefillRate sets the prefill rate of the endpoint in prompt tokens per second,
// which must be positive.
func (t *Table) SetPrefillRate(i int, rate float64) { t.states[i].PrefillRate = rate }

// SetLeaving marks the endpoint as leaving, so that it gets no new requests. It can be
// removed once nothing runs on it.
func (t *Table) SetLeaving(i int) {
	s := &t.states[i]
	s.Endpoint = s.Endpoint.WithLeaving(true)
}

// Remove removes the endpoint and frees its index. It must not be called while requests
// to the endpoint are in flight.
func (t *Table) Remove(i int) {
	delete(t.indexes, t.states[i].Endpoint.ID())
	t.states[i] = lagoonhead.EngineState{Endpoint: lagoonhead.Endpoint{}.WithLeaving(true)}
	t.free = append(t.free, i)
}

// Dispatch counts a request as sent to the chosen endpoint.
func (t *Table) Dispatch(now time.Duration, r *lagoonhead.RouteRequest, c lagoonhead.Choice) Ticket {
	s := &t.states[c.Engine]
	d := &t.recent[c.Engine]
	d.sequence++
	*d.entry(d.sequence) = dispatch{at: now, tokens: c.Uncached, sequence: d.sequence}
	k := Ticket{
		engine: c.Engine, decode: c.Decode, at: now, tokens: c.Uncached, base: c.BaseTTFT,
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

// FirstToken records that the first token of the dispatch has arrived. A split request
// frees the slot on the engine that prefilled it.
func (t *Table) FirstToken(now time.Duration, k *Ticket) {
	if k.prefilled {
		return
	}
	k.prefilled = true
	t.endPrefill(k)
	t.observe(now, k, true)
	if k.decode != k.engine {
		t.releaseSlot(k)
	}
}

// Overdue records that the first token of the dispatch has not arrived by now. It raises
// the endpoint's slowdown before the dispatch ends when the dispatch takes far longer
// than predicted.
func (t *Table) Overdue(now time.Duration, k *Ticket) {
	if !k.prefilled {
		t.observe(now, k, false)
	}
}

// endPrefill removes the prompt of the dispatch from the tokens queued at the endpoint.
func (t *Table) endPrefill(k *Ticket) {
	d := &t.recent[k.engine]
	if k.sequence > d.reported {
		t.states[k.engine].SentTokens -= k.tokens
	}
	if e := d.entry(k.sequence); e.sequence == k.sequence {
		e.tokens = 0
	}
}

// releaseSlot frees the slot of the dispatch on the engine that prefills it.
func (t *Table) releaseSlot(k *Ticket) {
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

// Done ends the dispatch and records its outcome for the endpoint that ran the request
// last.
func (t *Table) Done(now time.Duration, k *Ticket, o lagoonhead.Outcome) {
	last := k.engine
	handedOver := k.prefilled && k.decode != k.engine
	if handedOver {
		last = k.decode
	}
	if !k.prefilled {
		k.prefilled = true
		t.endPrefill(k)
	}
	if !handedOver {
		t.releaseSlot(k)
	}
	if k.decode != k.engine {
		t.states[k.decode].InFlight--
	}
	recordOutcome(now, &t.states[last], k, o)
	if k.probe && handedOver {
		t.states[k.engine].Probing = false
	}
}

// Report stores a load report that arrived now. It returns false when the report is not
// newer than the stored one or comes from an unknown endpoint.
func (t *Table) Report(now time.Duration, r lagoonhead.LoadReport) bool {
	i, ok := t.indexes[r.Endpoint]
	if !ok {
		return false
	}
	s := &t.states[i]
	same := s.Report.Incarnation == r.Incarnation
	if same && r.Number <= s.Report.Number {
		return false
	}
	if !same && s.Report.Number != 0 {
		// The back-off after failures of the previous process does not apply to the new one.
		s.RetryAt = min(s.RetryAt, now)
		s.Slowdown = 1
	}
	s.Report = r
	s.ReportAt = now - t.lag
	t.recount(now, i)
	return true
}

// recount recomputes the counts of unreported dispatches after a report, from those
// too recent to be included in it.
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

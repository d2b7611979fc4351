package place

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

// placement is one attempt in flight.
type placement struct {
	placer   *Placer
	group    *group
	endpoint lagoonhead.Endpoint
	base     time.Duration
	ticket   route.Ticket
	done     bool
}

var _ lagoonhead.Placement = (*placement)(nil)

// Endpoint returns the chosen endpoint.
func (m *placement) Endpoint() lagoonhead.Endpoint { return m.endpoint }

// FirstToken records that the first token of the answer has arrived.
func (m *placement) FirstToken() {
	p := m.placer
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !m.done {
		m.group.table.FirstToken(now, &m.ticket)
	}
}

// Done frees the slot and records the outcome. A second call only increments a metric.
func (m *placement) Done(o lagoonhead.Outcome) {
	p := m.placer
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.done {
		p.metrics.doubleDone.Add(1)
		return
	}
	m.done = true
	g, i := m.group, m.ticket.Engine()
	delete(g.running, m)
	g.table.Done(now, &m.ticket, o)
	if o.Failed && o.Kind == lagoonhead.KindCrashed {
		p.metrics.crashed.Add(1)
		if g.prefix != nil {
			g.prefix.Reset(i)
		}
	}
	if g.unlisted(i) {
		g.removeIdle(i)
	}
	p.serve(now, g)
}

package daemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/place"
)

// pathVars is the path at which the operator listener serves the counters as JSON.
const pathVars = "/debug/vars"

// commitEditor commits the configuration changes that duties make and records them in the
// decision log.
type commitEditor struct {
	committer *config.Committer
	decisions lagoonhead.DecisionRecorder
	clock     lagoonhead.Clock
}

// Edit commits a change to the newest revision.
func (e commitEditor) Edit(ctx context.Context, summary string, change func(*inventory.Inventory) error) error {
	_, err := e.committer.Commit(ctx, 0, func(inv *inventory.Inventory) (*inventory.Inventory, error) {
		next := inv.Clone()
		if err := change(next); err != nil {
			return nil, err
		}
		return next, nil
	})
	d := lagoonhead.Decision{At: e.clock.Now(), Topic: "config", Subject: summary, Result: "committed"}
	if err != nil {
		d.Result = "not committed"
		d.Reason = err.Error()
	}
	e.decisions.RecordDecision(d)
	return err
}

func (b *builder) editor() editor {
	return commitEditor{committer: b.committer, decisions: b.decisions, clock: b.timer}
}

// buildOperator opens the listener for operators.
func (b *builder) buildOperator() error {
	server, _, err := tlsConfigs(b.settings.Operator, b.timer)
	if err != nil {
		return err
	}
	token, err := b.settings.Operator.ReadToken()
	if err != nil {
		return err
	}
	l, err := listen(b.settings.Listen.Operator, server)
	if err != nil {
		return err
	}
	guard := &operator.Guard{Token: token, MutualTLS: b.settings.Operator.TLS()}
	o := &operator.Server{
		Committer: b.committer, Inventory: b.config, Status: statusSource{b}, Decisions: b.findDecisions(),
		Recorder: b.decisions, Clock: b.timer, Guard: guard,
	}
	b.vars.Set("operator", o.Vars())
	mux := http.NewServeMux()
	mux.Handle("/", o.Handler())
	mux.Handle("GET "+pathVars, guard.Wrap(http.HandlerFunc(b.serveVars)))
	b.add("", serveHTTP(l, mux, b.log), nil)
	return nil
}

func (b *builder) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(b.vars.String()))
}

// decisionFinder searches the recorded decisions and the placements. The reasons of
// placements are built only when they are queried.
type decisionFinder struct {
	record *explain.Record
	placer *place.Placer
}

func (b *builder) findDecisions() operator.DecisionSource {
	return decisionFinder{b.decisions, b.placer}
}

// Find returns the decisions that match the query, the newest first.
func (f decisionFinder) Find(q explain.Query) []lagoonhead.Decision {
	list := f.record.Find(q)
	if q.Topic != "" && q.Topic != topicRequest {
		return list
	}
	list = append(list, f.placer.Explain(lagoonhead.RequestID(q.Subject), max(q.Limit, 1))...)
	slices.SortStableFunc(list, func(a, b lagoonhead.Decision) int { return cmp.Compare(b.At, a.At) })
	if q.Limit > 0 && len(list) > q.Limit {
		list = list[:q.Limit]
	}
	return list
}

// topicRequest is the topic of decisions about one request.
const topicRequest = "request"

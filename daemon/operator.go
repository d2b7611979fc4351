package daemon

import (
	"context"
	"net/http"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/peer"
)

// pathVars is where the operator listener serves the counters as JSON.
const pathVars = "/debug/vars"

// commitEditor makes edits of the duties.
type commitEditor struct {
	committer *config.Committer
	decisions lagoonhead.DecisionRecorder
	now       func() lagoonhead.Decision
}

// Edit commits a change of the newest revision.
func (e commitEditor) Edit(ctx context.Context, what string, change func(*inventory.Inventory) error) error {
	_, err := e.committer.Commit(ctx, 0, func(inv *inventory.Inventory) (*inventory.Inventory, error) {
		next := inv.Clone()
		if err := change(next); err != nil {
			return nil, err
		}
		return next, nil
	})
	d := e.now()
	d.Subject = what
	d.Result = "committed"
	if err != nil {
		d.Result = "not committed"
		d.Reason = err.Error()
	}
	e.decisions.RecordDecision(d)
	return err
}

func (b *builder) editor() editor {
	return commitEditor{
		committer: b.committer, decisions: b.decisions,
		now: func() lagoonhead.Decision { return lagoonhead.Decision{At: b.timer.Now(), Topic: "config"} },
	}
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
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathVars, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(b.vars.String()))
	})
	b.add("", serveHTTP(l, peer.RequireToken(token, mux)), nil)
	return nil
}

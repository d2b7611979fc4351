package operator

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/inventory"
)

const (
	// maxRequestBytes is the maximum size of a request. The largest one carries an
	// inventory.
	maxRequestBytes = inventory.MaxBytes + 1<<20
	// maxWait is the maximum time that a command waits for VMs to confirm its revision.
	maxWait = 10 * time.Minute
	// maxDecisions is the maximum number of decisions that Explain returns.
	maxDecisions = 1000
)

// Committer commits edits of the configuration. config.Committer implements it.
type Committer interface {
	Apply(ctx context.Context, base int64, wait time.Duration, edit config.Edit) (config.Result, error)
}

// InventorySource provides the inventory in force. config.Runner implements it.
type InventorySource interface {
	Inventory() (inv *inventory.Inventory, revision int64)
}

// StatusSource provides the state of the daemon.
type StatusSource interface {
	Status() *StatusResponse
}

// DecisionSource finds recent decisions. explain.Record implements it.
type DecisionSource interface {
	Find(q explain.Query) []lagoonhead.Decision
}

// PlacementExplainer explains where a request would be sent now. Its errors are of KindUnavailable,
// KindNotFound or KindInvalid.
type PlacementExplainer interface {
	ExplainPlacement(r *ExplainPlacementRequest) (*ExplainPlacementResponse, error)
}

// Server serves the calls of operators. Set the exported fields before Handler is called.
type Server struct {
	Committer Committer
	Inventory InventorySource
	Status    StatusSource
	Decisions DecisionSource
	// Placements may be nil for a daemon that cannot explain placements. The call then fails.
	Placements PlacementExplainer
	// Recorder records the commands that were committed. It may be nil.
	Recorder lagoonhead.DecisionRecorder
	Clock    lagoonhead.Clock
	Guard    *Guard

	vars expvar.Map
}

// Vars returns the counters of commands, of commands that failed, and of queries.
func (s *Server) Vars() *expvar.Map { return &s.vars }

// Handler returns the HTTP handler of both services behind the guard.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	c, q := NewCommandsServer(commands{s}), NewQueriesServer(queries{s})
	mux.Handle(c.PathPrefix(), c)
	mux.Handle(q.PathPrefix(), q)
	return s.Guard.Wrap(http.MaxBytesHandler(mux, maxRequestBytes))
}

type commands struct{ server *Server }

var _ Commands = commands{}

// apply commits an edit that was made on the revision base, and records it as a decision
// with the given subject and result.
func (c commands) apply(
	ctx context.Context, subject, result string, base, waitMs int64, edit config.Edit,
) (*CommitResponse, error) {
	c.server.vars.Add("commands", 1)
	wait := time.Duration(min(max(waitMs, 0), maxWait.Milliseconds())) * time.Millisecond
	r, err := c.server.Committer.Apply(ctx, base, wait, edit)
	if err != nil {
		c.server.vars.Add("failed", 1)
		return nil, err
	}
	c.record(subject, result, r)
	return &CommitResponse{
		Revision: r.Revision, Accepted: r.Accepted, Confirmed: ids(r.Confirmed), Unconfirmed: ids(r.Unconfirmed),
	}, nil
}

// record records a committed command as a decision, if there is a recorder.
func (c commands) record(subject, result string, r config.Result) {
	if c.server.Recorder == nil {
		return
	}
	c.server.Recorder.RecordDecision(lagoonhead.Decision{
		At: c.server.Clock.Now(), Topic: "config", Subject: subject, Result: result,
		Reason: fmt.Sprintf("operator command; revision %d, confirmed by %d VMs", r.Revision, len(r.Confirmed)),
	})
}

func ids(vms []lagoonhead.VMID) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = string(vm)
	}
	return out
}

// Apply implements Commands.
func (c commands) Apply(ctx context.Context, r *ApplyRequest) (*CommitResponse, error) {
	inv, err := inventory.Parse("inventory", []byte(r.GetYaml()))
	if err != nil {
		return nil, toTwirp(err)
	}
	replace := func(*inventory.Inventory) (*inventory.Inventory, error) { return inv, nil }
	out, err := c.apply(ctx, "inventory", "applied", r.GetBaseRevision(), r.GetWaitMs(), replace)
	return out, toTwirp(err)
}

// editCopy returns an Edit that makes a change in a copy of the inventory.
func editCopy(change func(inv *inventory.Inventory) error) config.Edit {
	return func(inv *inventory.Inventory) (*inventory.Inventory, error) {
		out := inv.Clone()
		return out, change(out)
	}
}

// SetLeaving implements Commands.
func (c commands) SetLeaving(ctx context.Context, r *SetLeavingRequest) (*CommitResponse, error) {
	result := "in service"
	if r.GetLeaving() {
		result = "leaving"
	}
	out, err := c.apply(ctx, r.GetEndpoint(), result, r.GetBaseRevision(), r.GetWaitMs(),
		editCopy(func(inv *inventory.Inventory) error {
			return inv.SetLeaving(lagoonhead.EndpointID(r.GetEndpoint()), r.GetLeaving())
		}))
	return out, toTwirp(err)
}

// IssueKey implements Commands. The key is only in the response: a hash of it is stored.
func (c commands) IssueKey(ctx context.Context, r *IssueKeyRequest) (*IssueKeyResponse, error) {
	key, stored := NewKey(r.GetLabel())
	out, err := c.apply(ctx, r.GetWorkspace(), "issued key "+stored.ID, r.GetBaseRevision(), r.GetWaitMs(),
		editCopy(func(inv *inventory.Inventory) error {
			return inv.AddKey(lagoonhead.WorkspaceID(r.GetWorkspace()), stored)
		}))
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		// The key may have been committed. Its ID in the error lets the caller withdraw it.
		err = fail("issueKey", lagoonhead.KindUnknown, fmt.Errorf("%s: %s", stored.ID, Message(err)))
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return &IssueKeyResponse{Key: key, KeyId: stored.ID, Commit: out}, nil
}

// WithdrawKey implements Commands.
func (c commands) WithdrawKey(ctx context.Context, r *WithdrawKeyRequest) (*CommitResponse, error) {
	out, err := c.apply(ctx, r.GetKeyId(), "withdrew key", r.GetBaseRevision(), r.GetWaitMs(),
		editCopy(func(inv *inventory.Inventory) error {
			_, err := inv.WithdrawKey(r.GetKeyId())
			return err
		}))
	return out, toTwirp(err)
}

type queries struct{ server *Server }

var _ Queries = queries{}

// GetInventory implements Queries.
func (q queries) GetInventory(context.Context, *GetInventoryRequest) (*GetInventoryResponse, error) {
	q.server.vars.Add("queries", 1)
	inv, revision := q.server.Inventory.Inventory()
	if revision == 0 {
		return &GetInventoryResponse{}, nil
	}
	text, err := inventory.Format(inv)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &GetInventoryResponse{Yaml: string(text), Revision: revision}, nil
}

// Status implements Queries.
func (q queries) Status(context.Context, *StatusRequest) (*StatusResponse, error) {
	q.server.vars.Add("queries", 1)
	return q.server.Status.Status(), nil
}

// Explain implements Queries. The newest decision comes first.
func (q queries) Explain(_ context.Context, r *ExplainRequest) (*ExplainResponse, error) {
	q.server.vars.Add("queries", 1)
	limit := int(r.GetLimit())
	if limit < 0 {
		return nil, toTwirp(fail("explain", lagoonhead.KindInvalid, errors.New("the limit is negative")))
	}
	if limit == 0 || limit > maxDecisions {
		limit = maxDecisions
	}
	now := q.server.Clock.Now()
	found := q.server.Decisions.Find(explain.Query{Topic: r.GetTopic(), Subject: r.GetSubject(), Limit: limit})
	slices.SortStableFunc(found, func(a, b lagoonhead.Decision) int { return cmp.Compare(b.At, a.At) })
	out := &ExplainResponse{Decisions: make([]*Decision, len(found))}
	for i, d := range found {
		out.Decisions[i] = &Decision{
			AgeMs: (now - d.At).Milliseconds(), Topic: d.Topic, Subject: d.Subject, Result: d.Result, Reason: d.Reason,
		}
	}
	return out, nil
}

// ExplainPlacement implements Queries.
func (q queries) ExplainPlacement(_ context.Context, r *ExplainPlacementRequest) (*ExplainPlacementResponse, error) {
	q.server.vars.Add("queries", 1)
	out, err := explainPlacement(q.server.Placements, r)
	return out, toTwirp(err)
}

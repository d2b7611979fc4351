package fakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/ordering"
	"github.com/lagoonhead/lagoonhead/store"
	"github.com/lagoonhead/lagoonhead/timer"
	"github.com/lagoonhead/lagoonhead/usage"
	"github.com/lagoonhead/lagoonhead/vmlist"
)

// maxRequestBytes is the size limit of a request; it is larger than the largest
// value of a key in base64.
const maxRequestBytes = 2 << 20

// HeaderTimeout is how long the platform waits for the headers of a request on an
// open connection. HTTP servers that use the handler should set it as
// ReadHeaderTimeout.
const HeaderTimeout = 5 * time.Second

// PathFaults is the path to set faults with a FaultRequest.
const PathFaults = "/faults"

// PathSetEndpoints is the path to set the endpoints that the ordering interface
// lists.
const PathSetEndpoints = "/ordering/set"

// PathCalls is the path that returns how often the key-value service was called.
const PathCalls = "/kv/calls"

// CallsResponse holds the number of calls by operation.
type CallsResponse struct {
	Calls map[string]int64 `json:"calls"`
}

// PathReports is the path that returns the usage reports received.
const PathReports = "/usage/reports"

// ReportsResponse lists every usage report in the order of arrival.
type ReportsResponse struct {
	Reports []lagoonhead.UsageWindow `json:"reports"`
}

// FaultRequest sets the faults of one interface. Fields left out end their faults.
type FaultRequest struct {
	// Interface is kv, ordering, usage or vms.
	Interface string `json:"interface"`
	Outage    bool   `json:"outage"`
	DelayMs   int64  `json:"delayMs"`
	// LoseAnswers is the number of next writes whose responses are lost.
	LoseAnswers int `json:"loseAnswers"`
	// StaleReads makes reads return the state before the last write of each key.
	StaleReads bool `json:"oldReads"`
}

// Platform combines all interfaces of the platform.
type Platform struct {
	KV       *KV
	Ordering *Ordering
	Usage    *Usage
	VMs      *VMs
}

// New returns a platform whose VM list lags by vmListLag.
func New(tm timer.Timer, vmListLag time.Duration) *Platform {
	return &Platform{KV: NewKV(tm), Ordering: NewOrdering(tm), Usage: NewUsage(tm), VMs: NewVMs(tm, vmListLag)}
}

// Handler returns an HTTP handler that serves all interfaces, and the paths that
// set up the fake and return what it received.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.handleKV(mux)
	handle(mux, ordering.PathTotal, func(ctx context.Context, r lagoonhead.TotalOrder) (struct{}, error) {
		return struct{}{}, p.Ordering.SetTotal(ctx, r)
	})
	handle(mux, ordering.PathEndpoints, func(ctx context.Context, _ struct{}) (ordering.EndpointsResponse, error) {
		l, err := p.Ordering.Endpoints(ctx)
		return ordering.EndpointsResponse{Endpoints: l}, err
	})
	handle(mux, PathSetEndpoints, func(_ context.Context, r ordering.EndpointsResponse) (struct{}, error) {
		p.Ordering.SetEndpoints(r.Endpoints)
		return struct{}{}, nil
	})
	handle(mux, usage.PathReport, func(ctx context.Context, w lagoonhead.UsageWindow) (struct{}, error) {
		return struct{}{}, p.Usage.Report(ctx, w)
	})
	handle(mux, PathCalls, func(context.Context, struct{}) (CallsResponse, error) {
		return CallsResponse{Calls: p.KV.Faults.AllCalls()}, nil
	})
	handle(mux, PathReports, func(context.Context, struct{}) (ReportsResponse, error) {
		return ReportsResponse{Reports: p.Usage.Reports()}, nil
	})
	handle(mux, vmlist.PathVMs, func(ctx context.Context, _ struct{}) (vmlist.VMsResponse, error) {
		l, err := p.VMs.VMs(ctx)
		return vmsResponse(l), err
	})
	handle(mux, PathFaults, func(_ context.Context, r FaultRequest) (struct{}, error) {
		return struct{}{}, p.setFaults(r)
	})
	handle(mux, "/vms/set", func(_ context.Context, m vmlist.VMMessage) (struct{}, error) {
		p.VMs.Set(lagoonhead.NewVM(m.ID, m.FailureDomain, m.PeerAddress, m.Leaving))
		return struct{}{}, nil
	})
	handle(mux, "/vms/remove", func(_ context.Context, m vmlist.VMMessage) (struct{}, error) {
		p.VMs.Remove(m.ID)
		return struct{}{}, nil
	})
	return mux
}

func (p *Platform) handleKV(mux *http.ServeMux) {
	kv := p.KV
	handle(mux, store.PathGet, func(ctx context.Context, r store.KeyRequest) (lagoonhead.Entry, error) {
		return kv.Get(ctx, r.Key)
	})
	handle(mux, store.PathList, func(ctx context.Context, r store.KeyRequest) (store.ListResponse, error) {
		l, revision, err := kv.List(ctx, r.Key)
		return store.ListResponse{Entries: l, Revision: revision}, err
	})
	handle(mux, store.PathWatch, func(ctx context.Context, r store.WatchRequest) (store.WatchResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMs)*time.Millisecond)
		defer cancel()
		ev, rev, err := kv.Watch(ctx, r.Prefix, r.After)
		if lagoonhead.IsKind(err, lagoonhead.KindTimeout) {
			return store.WatchResponse{Revision: r.After}, nil
		}
		return store.WatchResponse{Events: ev, Revision: rev}, err
	})
	handle(mux, store.PathPut, func(ctx context.Context, r lagoonhead.PutRequest) (store.RevisionResponse, error) {
		rev, err := kv.Put(ctx, r)
		return store.RevisionResponse{Revision: rev}, err
	})
	handle(mux, store.PathDelete, func(ctx context.Context, r store.DeleteRequest) (struct{}, error) {
		return struct{}{}, kv.Delete(ctx, r.Key, r.IfRevision)
	})
	handle(mux, store.PathGrant, func(ctx context.Context, r store.GrantRequest) (store.LeaseMessage, error) {
		id, err := kv.GrantLease(ctx, time.Duration(r.TTLMs)*time.Millisecond)
		return store.LeaseMessage{Lease: id}, err
	})
	handle(mux, store.PathRenew, func(ctx context.Context, r store.LeaseMessage) (struct{}, error) {
		return struct{}{}, kv.RenewLease(ctx, r.Lease)
	})
	handle(mux, store.PathRevoke, func(ctx context.Context, r store.LeaseMessage) (struct{}, error) {
		return struct{}{}, kv.RevokeLease(ctx, r.Lease)
	})
}

func vmsResponse(list []lagoonhead.VM) vmlist.VMsResponse {
	var a vmlist.VMsResponse
	for _, v := range list {
		a.VMs = append(a.VMs, vmlist.VMMessage{
			ID: v.ID(), FailureDomain: v.FailureDomain(), PeerAddress: v.PeerAddress(), Leaving: v.Leaving(),
		})
	}
	return a
}

func (p *Platform) setFaults(r FaultRequest) error {
	f := map[string]*Faults{
		"kv": &p.KV.Faults, "ordering": &p.Ordering.Faults, "usage": &p.Usage.Faults, "vms": &p.VMs.Faults,
	}[r.Interface]
	if f == nil {
		return fail("faults", lagoonhead.KindInvalid, "interface %q is not kv, ordering, usage or vms", r.Interface)
	}
	f.SetOutage(r.Outage)
	f.SetDelay(time.Duration(r.DelayMs) * time.Millisecond)
	f.LoseAnswers(r.LoseAnswers)
	f.SetStaleReads(r.StaleReads)
	return nil
}

// handle serves call at path, with requests and responses in JSON. On KindUnknown,
// which means a lost response, it closes the connection without a response.
func handle[In, Out any](mux *http.ServeMux, path string, call func(context.Context, In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
			writeError(w, fail(path, lagoonhead.KindInvalid, "body is not valid JSON: %v", err))
			return
		}
		out, err := call(r.Context(), in)
		if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}

func writeError(w http.ResponseWriter, err error) {
	k := lagoonhead.KindOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(k))
	_ = json.NewEncoder(w).Encode(jsoncall.ErrorBody{Kind: k.String(), Message: err.Error()})
}

func statusOf(k lagoonhead.Kind) int {
	switch k {
	case lagoonhead.KindInvalid:
		return http.StatusBadRequest
	case lagoonhead.KindNotFound:
		return http.StatusNotFound
	case lagoonhead.KindConflict:
		return http.StatusConflict
	case lagoonhead.KindExhausted:
		return http.StatusTooManyRequests
	case lagoonhead.KindUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

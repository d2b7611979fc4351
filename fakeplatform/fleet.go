package fakeplatform

import (
	"context"
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Ordering is the platform's interface to order and list endpoints. Create it with
// NewOrdering. It is safe for concurrent use.
type Ordering struct {
	// Faults are the faults injected into the interface.
	Faults Faults

	tm        timer.Timer
	mu        sync.Mutex
	totals    map[totalKey]int
	capacity  map[totalKey]int // a missing key means unlimited
	orders    []lagoonhead.TotalOrder
	endpoints []lagoonhead.PlatformEndpoint
}

type totalKey struct {
	failureDomain lagoonhead.FailureDomain
	serves        string
	supply        lagoonhead.Supply
}

var (
	_ lagoonhead.EndpointOrderer = (*Ordering)(nil)
	_ lagoonhead.EndpointLister  = (*Ordering)(nil)
)

// NewOrdering returns an Ordering with unlimited capacity, no endpoints and no
// orders.
func NewOrdering(tm timer.Timer) *Ordering {
	return &Ordering{tm: tm, totals: make(map[totalKey]int), capacity: make(map[totalKey]int)}
}

// SetCapacity limits the total that can be ordered to n. Higher orders fail with
// KindExhausted.
func (o *Ordering) SetCapacity(d lagoonhead.FailureDomain, serves string, s lagoonhead.Supply, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacity[totalKey{d, serves, s}] = n
}

// SetEndpoints sets the list that Endpoints returns. Orders don't change it.
func (o *Ordering) SetEndpoints(list []lagoonhead.PlatformEndpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endpoints = append([]lagoonhead.PlatformEndpoint(nil), list...)
}

// Orders returns all valid orders received, refused ones included, in the order of
// their arrival.
func (o *Ordering) Orders() []lagoonhead.TotalOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]lagoonhead.TotalOrder(nil), o.orders...)
}

// Total returns the total of the last accepted order, or 0.
func (o *Ordering) Total(d lagoonhead.FailureDomain, serves string, s lagoonhead.Supply) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.totals[totalKey{d, serves, s}]
}

// SetTotal implements lagoonhead.EndpointOrderer.
func (o *Ordering) SetTotal(ctx context.Context, r lagoonhead.TotalOrder) error {
	if err := o.Faults.begin(ctx, o.tm, "setTotal"); err != nil {
		return err
	}
	if err := o.setTotal(r); err != nil {
		return err
	}
	return o.Faults.end("setTotal")
}

func (o *Ordering) setTotal(r lagoonhead.TotalOrder) error {
	if r.Total < 0 {
		return fail("setTotal", lagoonhead.KindInvalid, "total %d is negative", r.Total)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = append(o.orders, r)
	k := totalKey{r.FailureDomain, r.Serves, r.Supply}
	if limit, ok := o.capacity[k]; ok && r.Total > limit {
		return fail("setTotal", lagoonhead.KindExhausted, "failure domain %q has %d of the %d wanted", r.FailureDomain, limit, r.Total)
	}
	o.totals[k] = r.Total
	return nil
}

// Endpoints implements lagoonhead.EndpointLister. It returns the list set by
// SetEndpoints.
func (o *Ordering) Endpoints(ctx context.Context) ([]lagoonhead.PlatformEndpoint, error) {
	if err := o.Faults.begin(ctx, o.tm, "endpoints"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]lagoonhead.PlatformEndpoint(nil), o.endpoints...), nil
}

// Usage is the platform's interface for usage reports. Create it with NewUsage. It
// is safe for concurrent use.
type Usage struct {
	// Faults are the faults injected into the interface.
	Faults Faults

	tm      timer.Timer
	mu      sync.Mutex
	windows map[string]lagoonhead.UsageWindow // the first report of each window, which is billed
	reports []lagoonhead.UsageWindow          // all reports received
}

var _ lagoonhead.UsageReporter = (*Usage)(nil)

// NewUsage returns a Usage without reports.
func NewUsage(tm timer.Timer) *Usage {
	return &Usage{tm: tm, windows: make(map[string]lagoonhead.UsageWindow)}
}

// Report implements lagoonhead.UsageReporter. A report repeated with the same usage
// succeeds and is not billed again; one with different usage fails with KindConflict.
func (u *Usage) Report(ctx context.Context, w lagoonhead.UsageWindow) error {
	if err := u.Faults.begin(ctx, u.tm, "report"); err != nil {
		return err
	}
	u.mu.Lock()
	u.reports = append(u.reports, w)
	billed, ok := u.windows[w.Window]
	same := !ok || reflect.DeepEqual(billed.Usage, w.Usage)
	if !ok {
		u.windows[w.Window] = w
	}
	u.mu.Unlock()
	if !same {
		return fail("report", lagoonhead.KindConflict, "window %q was reported before with different usage", w.Window)
	}
	return u.Faults.end("report")
}

// Reports returns every report received, duplicates and conflicting ones included.
func (u *Usage) Reports() []lagoonhead.UsageWindow {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]lagoonhead.UsageWindow(nil), u.reports...)
}

// Billed returns the prompt tokens, output tokens and requests billed to a workspace
// over all windows.
func (u *Usage) Billed(w lagoonhead.WorkspaceID) (prompt, output, requests int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, win := range u.windows {
		for _, x := range win.Usage {
			if x.Workspace == w {
				prompt += x.PromptTokens
				output += x.OutputTokens
				requests += x.Requests
			}
		}
	}
	return prompt, output, requests
}

// VMs is the platform's VM list. Create it with NewVMs. It is safe for concurrent
// use.
type VMs struct {
	// Faults are the faults injected into the interface.
	Faults Faults

	tm        timer.Timer
	lag       time.Duration
	mu        sync.Mutex
	current   map[lagoonhead.VMID]lagoonhead.VM
	snapshots []vmSnapshot // the list after each change, the oldest first
}

type vmSnapshot struct {
	at   time.Duration
	list []lagoonhead.VM
}

var _ lagoonhead.VMLister = (*VMs)(nil)

// NewVMs returns an empty list. Changes become visible after lag.
func NewVMs(tm timer.Timer, lag time.Duration) *VMs {
	return &VMs{tm: tm, lag: lag, current: make(map[lagoonhead.VMID]lagoonhead.VM)}
}

// Set adds a VM or replaces it.
func (v *VMs) Set(m lagoonhead.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current[m.ID()] = m
	v.snapshot()
}

// Remove removes a VM from the list.
func (v *VMs) Remove(id lagoonhead.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.current, id)
	v.snapshot()
}

// snapshot records the list after a change. The caller holds v.mu.
func (v *VMs) snapshot() {
	list := make([]lagoonhead.VM, 0, len(v.current))
	for _, m := range v.current {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
	v.snapshots = append(v.snapshots, vmSnapshot{at: v.tm.Now(), list: list})
}

// VMs implements lagoonhead.VMLister. It returns the list as it was lag ago.
func (v *VMs) VMs(ctx context.Context) ([]lagoonhead.VM, error) {
	if err := v.Faults.begin(ctx, v.tm, "vms"); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := v.tm.Now() - v.lag
	for i := len(v.snapshots) - 1; i >= 0; i-- {
		if v.snapshots[i].at <= asOf {
			v.snapshots = v.snapshots[i:]
			return append([]lagoonhead.VM(nil), v.snapshots[0].list...), nil
		}
	}
	return nil, nil
}

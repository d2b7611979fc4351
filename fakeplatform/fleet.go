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

// Ordering is the interface that orders endpoints. Create it with NewOrdering.
type Ordering struct {
	// Faults are the failures of the interface.
	Faults Faults

	tm       timer.Timer
	mu       sync.Mutex
	totals   map[totalKey]int
	capacity map[totalKey]int
	orders   []lagoonhead.TotalOrder
	list     []lagoonhead.PlatformEndpoint
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

// NewOrdering returns an interface that has everything to give.
func NewOrdering(tm timer.Timer) *Ordering {
	return &Ordering{tm: tm, totals: make(map[totalKey]int), capacity: make(map[totalKey]int)}
}

// SetCapacity bounds the total that can be had.
func (o *Ordering) SetCapacity(d lagoonhead.FailureDomain, serves string, s lagoonhead.Supply, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacity[totalKey{d, serves, s}] = n
}

// SetEndpoints sets what Endpoints returns.
func (o *Ordering) SetEndpoints(list []lagoonhead.PlatformEndpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append([]lagoonhead.PlatformEndpoint(nil), list...)
}

// Orders returns the orders received, in their order of arrival.
func (o *Ordering) Orders() []lagoonhead.TotalOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]lagoonhead.TotalOrder(nil), o.orders...)
}

// Total returns the total in force.
func (o *Ordering) Total(d lagoonhead.FailureDomain, serves string, s lagoonhead.Supply) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.totals[totalKey{d, serves, s}]
}

// SetTotal takes an order.
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
	if most, ok := o.capacity[k]; ok && r.Total > most {
		return fail("setTotal", lagoonhead.KindExhausted, "failure domain %q has %d of the %d wanted", r.FailureDomain, most, r.Total)
	}
	o.totals[k] = r.Total
	return nil
}

// Endpoints lists what the platform runs.
func (o *Ordering) Endpoints(ctx context.Context) ([]lagoonhead.PlatformEndpoint, error) {
	if err := o.Faults.begin(ctx, o.tm, "endpoints"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]lagoonhead.PlatformEndpoint(nil), o.list...), nil
}

// Usage takes usage reports. Create it with NewUsage.
type Usage struct {
	// Faults are the failures of the interface.
	Faults Faults

	tm      timer.Timer
	mu      sync.Mutex
	windows map[string]lagoonhead.UsageWindow
	reports []lagoonhead.UsageWindow
}

var _ lagoonhead.UsageReporter = (*Usage)(nil)

// NewUsage returns an interface without reports.
func NewUsage(tm timer.Timer) *Usage {
	return &Usage{tm: tm, windows: make(map[string]lagoonhead.UsageWindow)}
}

// Report takes one window. A repeat with the same figures is taken and not billed
// again; other figures are a conflict.
func (u *Usage) Report(ctx context.Context, w lagoonhead.UsageWindow) error {
	if err := u.Faults.begin(ctx, u.tm, "report"); err != nil {
		return err
	}
	u.mu.Lock()
	u.reports = append(u.reports, w)
	have, ok := u.windows[w.Window]
	same := !ok || reflect.DeepEqual(have.Usage, w.Usage)
	if !ok {
		u.windows[w.Window] = w
	}
	u.mu.Unlock()
	if !same {
		return fail("report", lagoonhead.KindConflict, "window %q was reported with other figures", w.Window)
	}
	return u.Faults.end("report")
}

// Reports returns every report received, repeats included.
func (u *Usage) Reports() []lagoonhead.UsageWindow {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]lagoonhead.UsageWindow(nil), u.reports...)
}

// Billed returns the tokens billed to a workspace over all windows.
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

// VMs is the VM list. Create it with NewVMs.
type VMs struct {
	// Faults are the failures of the interface.
	Faults Faults

	tm   timer.Timer
	lag  time.Duration
	mu   sync.Mutex
	live map[lagoonhead.VMID]lagoonhead.VM
	past []vmSnapshot
}

type vmSnapshot struct {
	at   time.Duration
	list []lagoonhead.VM
}

var _ lagoonhead.VMLister = (*VMs)(nil)

// NewVMs returns an empty list that shows changes after lag.
func NewVMs(tm timer.Timer, lag time.Duration) *VMs {
	return &VMs{tm: tm, lag: lag, live: make(map[lagoonhead.VMID]lagoonhead.VM)}
}

// Set adds a VM or replaces it.
func (v *VMs) Set(m lagoonhead.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.live[m.ID()] = m
	v.snapshot()
}

// Remove takes a VM off the list.
func (v *VMs) Remove(id lagoonhead.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.live, id)
	v.snapshot()
}

func (v *VMs) snapshot() {
	list := make([]lagoonhead.VM, 0, len(v.live))
	for _, m := range v.live {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
	v.past = append(v.past, vmSnapshot{at: v.tm.Now(), list: list})
}

// VMs returns the list as it was before the lag.
func (v *VMs) VMs(ctx context.Context) ([]lagoonhead.VM, error) {
	if err := v.Faults.begin(ctx, v.tm, "vms"); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	due := v.tm.Now() - v.lag
	for i := len(v.past) - 1; i >= 0; i-- {
		if v.past[i].at <= due {
			v.past = v.past[i:]
			return append([]lagoonhead.VM(nil), v.past[0].list...), nil
		}
	}
	return nil, nil
}

package entry

import (
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead/retry"
	"github.com/lagoonhead/lagoonhead/timer"
)

// retryShare is the share of the fleet's retry budget that may be used. The rest covers
// retries that are counted in another window than their requests.
const retryShare = 0.7

// retries is this daemon's share of the retry budget of each service: a fraction of its
// own requests, and an equal share of the fleet's slack.
type retries struct {
	settings Settings
	members  *members
	timer    timer.Timer

	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newRetries(s Settings, m *members, t timer.Timer) *retries {
	return &retries{settings: s, members: m, timer: t, services: make(map[string]*retry.Budget)}
}

// budget returns the budget of a service. The caller must hold mu.
func (r *retries) budget(service string) *retry.Budget {
	b := r.services[service]
	if b == nil {
		b = &retry.Budget{Ratio: retryShare * r.settings.RetryRatio, Window: max(r.settings.RetryWindow, time.Second)}
		r.services[service] = b
	}
	return b
}

// CountRequest counts a request to the service, which adds to its retry budget.
func (r *retries) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).CountRequest(r.timer.Now())
}

// Take reports whether the retry budget of the service allows a retry, and counts it if
// so.
func (r *retries) Take(service string) bool {
	slack := retryShare * r.settings.RetrySlack / float64(max(1, len(r.members.VMs())))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).AllowRetry(r.timer.Now(), slack)
}

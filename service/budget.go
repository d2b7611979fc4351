package service

import "sync"

const (
	budgetCapacity   = 100 // tenths of a retry: a burst of 10 retries
	budgetPerRequest = 1   // tenths of a retry that a request adds: retries for 10% of requests
	budgetPerRetry   = 10  // tenths of a retry that a retry takes
)

// Budget limits retries to 10% of the requests, with a burst of 10, so that retries
// do not add much load to endpoints that already fail. Its zero value is a full
// budget. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	used int // tenths of a retry, at most budgetCapacity
}

// CountRequest counts one request, which adds a tenth of a retry up to the capacity.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-budgetPerRequest)
}

// Take takes one retry from the budget. It returns false, and takes nothing, if less than
// one is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+budgetPerRetry > budgetCapacity {
		return false
	}
	b.used += budgetPerRetry
	return true
}

// Refund puts back one retry that Take took and that was not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-budgetPerRetry)
}

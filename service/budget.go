package service

import "sync"

const (
	budgetCapacity = 100 // tenths of a retry: 10 retries
	budgetEarned   = 1   // tenths of a retry per request: 10% of requests
	budgetPrice    = 10  // tenths of a retry per retry
)

// Budget bounds retries to 10% of the requests, with a burst of 10, so that a
// fleet in trouble is not loaded with retries as well. Its zero value is a full
// budget.
type Budget struct {
	mu      sync.Mutex
	missing int // tenths of a retry below the capacity
}

// Earn counts one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing = max(0, b.missing-budgetEarned)
}

// Take pays for one retry and reports whether the budget had it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.missing+budgetPrice > budgetCapacity {
		return false
	}
	b.missing += budgetPrice
	return true
}

// Return gives back what Take took for a retry that was not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing = max(0, b.missing-budgetPrice)
}

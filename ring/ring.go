package ring

import "sync/atomic"

// Ring is a bounded FIFO queue between goroutines. It is safe for several producers
// and consumers.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
}

// New returns a ring with room for n items. It panics when n is not positive.
func New[T any](n int) *Ring[T] {
	if n <= 0 {
		panic("ring: size must be positive")
	}
	return &Ring[T]{items: make(chan T, n)}
}

// Push adds v and reports whether there was room for it. It never blocks.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// C returns the channel from which consumers receive the items.
func (r *Ring[T]) C() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns the number of pushes that found the ring full.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Buffer is a circular buffer that keeps the newest items and overwrites the oldest. It
// is not safe for concurrent use.
type Buffer[T any] struct {
	items []T
	// next is the index of the oldest item once the buffer is full.
	next int
}

// NewBuffer returns a buffer that keeps n items. It panics when n is not positive.
func NewBuffer[T any](n int) *Buffer[T] {
	if n <= 0 {
		panic("ring: size must be positive")
	}
	return &Buffer[T]{items: make([]T, 0, n)}
}

// Add appends v and, if the buffer is full, overwrites the oldest item.
func (b *Buffer[T]) Add(v T) {
	if len(b.items) < cap(b.items) {
		b.items = append(b.items, v)
		return
	}
	b.items[b.next] = v
	b.next = (b.next + 1) % len(b.items)
}

// Each calls f for each item from the oldest to the newest until f returns false.
func (b *Buffer[T]) Each(f func(T) bool) {
	n := len(b.items)
	for i := range n {
		if !f(b.items[(b.next+i)%n]) {
			return
		}
	}
}

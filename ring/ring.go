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

// Last is a circular buffer that keeps the newest items and overwrites the oldest. It
// is not safe for concurrent use.
type Last[T any] struct {
	items []T
	// next is the index of the oldest item once the buffer is full.
	next int
}

// NewLast returns a buffer that keeps n items. It panics when n is not positive.
func NewLast[T any](n int) *Last[T] {
	if n <= 0 {
		panic("ring: size must be positive")
	}
	return &Last[T]{items: make([]T, 0, n)}
}

// Add appends v and, if the buffer is full, overwrites the oldest item.
func (l *Last[T]) Add(v T) {
	if len(l.items) < cap(l.items) {
		l.items = append(l.items, v)
		return
	}
	l.items[l.next] = v
	l.next = (l.next + 1) % len(l.items)
}

// Each calls f for each item from the oldest to the newest until f returns false.
func (l *Last[T]) Each(f func(T) bool) {
	n := len(l.items)
	for i := range n {
		if !f(l.items[(l.next+i)%n]) {
			return
		}
	}
}

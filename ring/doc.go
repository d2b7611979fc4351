// Package ring has two buffers of fixed size. Ring is a queue between goroutines
// that never blocks its producers: a push to a full ring is refused and counted. Buffer
// keeps the newest items.
package ring

// Package ring holds the bounded rings that join goroutines. A full ring never
// blocks its producer: the push is refused and counted.
package ring

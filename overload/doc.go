// Package overload protects a daemon that gets more requests than its processor can serve.
//
// Goroutines have no priorities: what reads the configuration, renews leases and answers
// peers waits in the same run queue as requests. A Monitor measures how long a goroutine
// waits for input that is ready, which is the length of that queue. A Guard turns the measured
// lag into the part of the new requests and connections to turn away, so that the queue stays
// short and what is turned away is turned away at once.
package overload

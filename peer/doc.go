// Package peer is the protocol between daemons: twirp services on a listener of
// their own, the pool of clients for other VMs, and the periodic exchange of
// heartbeats.
//
// Ages in a heartbeat are trusted only when it came as the answer to a request of
// this daemon: the time since that request was sent bounds the time on the way.
// A heartbeat that arrives as a request may have been delayed for any time.
package peer

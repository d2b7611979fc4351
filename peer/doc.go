// Package peer implements the protocol between daemons: twirp services on a separate
// listener, a pool of clients for the daemons of other VMs, and the periodic exchange
// of heartbeats.
//
// The ages in a heartbeat are trusted only if it is the response to a request of this
// daemon: the time since that request was sent is an upper bound of the delay in
// transit. A heartbeat that arrives as a request may have been delayed for any time.
package peer

// Package route chooses the endpoint of a request. It does no I/O and reads no
// clock: time and state are arguments.
//
// Table holds the state of the endpoints of one model as one daemon knows it: the
// newest load reports, the daemon's own dispatches that are too recent to be in the
// reports, and the health of each endpoint. A policy picks an endpoint from the
// table. The policy "predicted" minimizes the estimated time to first token; the
// others are baselines.
package route

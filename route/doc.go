// Package route chooses the endpoint of a request. It is pure: time and state
// come in, a choice comes out, and nothing is read or written elsewhere.
//
// Table holds what one daemon knows of the endpoints of one model: the newest
// load reports, the daemon's own dispatches that the reports cannot contain, and
// the health of each endpoint. A policy picks from the table. The policy
// predicted estimates the time to first token; the others are baselines.
package route

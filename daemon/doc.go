// Package daemon builds the components of a daemon from its settings and runs them:
// the listeners for callers, peers and operators, the configuration, the limits,
// the placement of requests on endpoints, the duties and the exchange of heartbeats.
// Each component has a goroutine of its own. A duty is a task of the whole fleet that
// one daemon runs at a time; it holds the duty by a lease.
package daemon

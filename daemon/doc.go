// Package daemon builds the parts of one daemon from its settings and runs them:
// the listeners for callers, peers and operators, the configuration, the limits,
// the placement, the duties and the exchange of heartbeats. Each part has a
// goroutine of its own.
package daemon

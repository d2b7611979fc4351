// Package hub chooses the VMs that gather and spread the state of a fleet. In a small fleet
// every VM is a hub and exchanges heartbeats with the others. In a large fleet each failure
// domain has a few hubs, which exchange heartbeats with each other; each other VM is
// attached to one hub. The cost for such a VM does not depend on the size of the fleet.
package hub

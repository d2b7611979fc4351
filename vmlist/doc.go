// Package vmlist is the adapter to the platform's lagging list of VMs.
package vmlist

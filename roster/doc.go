// Package roster keeps the list of endpoints that have registered themselves in the
// store. It distinguishes an endpoint that has left from one whose entry expired only
// because the store was unreachable: the latter is kept until the store has been
// reachable again for ReregistrationTime. The store counts as unreachable if calls fail and
// none has succeeded for long enough for an entry to expire.
package roster

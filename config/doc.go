// Package config distributes each revision of the configuration to every daemon and
// determines whether a daemon's configuration is recent enough for it to start work;
// the daemon is fresh then. A daemon has one revision in force: the one that it serves
// with.
//
// A revision is stored as a manifest, which lists parts by their hash. Daemons get it
// from the store or from peers. A revision is accepted once a majority of the VMs on
// the platform's VM list have it in force at the same moment; 4 s later no fresh
// daemon has an older one in force. Daemons exchange heartbeats, which carry the
// revision in force.
//
// View implements freshness and Acceptance the acceptance of a revision, both without
// I/O. Runner reads the store on a few daemons, pulls revisions from peers, and
// provides the Directory in force. Committer changes the configuration by
// compare-and-swap on the manifest.
//
// The logic rests on these assumptions. The store answers a read with the newest
// manifest of some moment between the request and the answer; an answer that is
// older than what the daemon knows is ignored and counted. Clocks of two VMs run at
// the same rate within a few percent; they need not show the same time. The VM list
// does not lose half of its members within one outage of the store.
//
// A store that has lost the manifest is treated like one that returns old data:
// daemons go on serving with the configuration in force while they hear from a majority
// of the VMs, edits are refused, and only a restart of all daemons lets them start with
// an empty configuration.
package config

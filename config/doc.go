// Package config brings each revision of the configuration into force at every
// daemon and tells whether a daemon's view is new enough to start work.
//
// View is the pure logic of freshness and Acceptance that of confirmation. Runner
// reads the store where it should, pulls revisions from peers, and keeps the
// Directory in force. Committer changes the configuration by compare-and-swap on
// the manifest.
//
// The logic rests on these assumptions. The store answers a read with the newest
// manifest of some moment between the request and the answer; an answer that is
// older than what the daemon knows is ignored and counted. Clocks of two VMs run at
// the same rate within a few percent; they need not show the same time. The VM list
// does not lose half of its members within one outage of the store.
//
// A store that has lost the manifest is taken for one that answers with old data:
// daemons go on with what they hold while they hear from a majority, edits are
// refused, and only a restart of all daemons lets them start afresh.
package config

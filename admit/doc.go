// Package admit enforces the rate and burst of each workspace. It is built on the
// packages limit and fair, which do no I/O and read no clock, and adds the clock, the
// locks, and the calls to the store and to peers. A request is charged to the daemon's
// own token bucket; when that has too few tokens, the request waits in the fair queue
// while the daemon borrows tokens from its peers. No request waits for the store. A
// workspace's rate and burst are divided among slots, which daemons claim in a table in
// the store (see package limit).
//
// The limit counts a request at the time when Admit returns. A caller that delays
// the first byte to the endpoint after that shifts the use of the tokens into a
// later window.
package admit

// Package mirror keeps a copy of the store's entries under a few prefixes and reports
// their changes to a Follower for each prefix.
//
// A Mirror reads one prefix from the store: it lists the entries once and then watches for
// changes. When a call fails, or the store no longer has the history that the watch needs,
// it lists them again. Most daemons of a large fleet do not read the store themselves: they
// merge the updates that a peer makes from its own Copy. Both ways change the same Copy,
// in which the newer revision of a key wins, so a daemon can change between them at any
// time. While neither works the reported entries remain.
package mirror

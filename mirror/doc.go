// Package mirror follows the entries under one prefix of the store and reports them to a
// Follower. It lists them once and then watches for changes. When a call fails, or the
// store no longer has the history that the watch needs, it lists them again and reports
// the differences. While the store is unreachable the reported entries remain.
package mirror

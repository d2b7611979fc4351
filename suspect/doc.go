// Package suspect finds requests that crash the endpoints they run on, and refuses them.
//
// When an endpoint crashes, all requests on it become suspects, although at most one of
// them is the cause. A suspect runs on an endpoint without other suspects, so the cause is
// soon the only request that was on two crashed endpoints, and is refused. The others are
// no suspects any more when they end without a crash.
//
// Suspects are only kept apart within one VM, and copies of one request can run at once, so
// an innocent request can still be on the same endpoint as the cause twice. A request is
// therefore refused only for crashes that no other request explains at least as well.
package suspect

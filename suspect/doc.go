// Package suspect keeps requests apart that may crash endpoints.
//
// All requests on an endpoint that crashes become suspects, although one of them
// at most is the cause. A suspect runs on an endpoint without other suspects, so
// the cause is soon the only request that was on two crashed endpoints, and is
// refused. The others lose their suspicion when they end without a crash.
//
// Apartness holds within one VM only, and copies of one request can run at once,
// so an innocent request can still be beside the cause twice. A request is
// therefore refused only for crashes that no other request explains at least as
// well.
package suspect

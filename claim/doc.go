// Package claim keeps the claims of non-idempotent calls in the store, so that a
// call with an idempotency key runs at most once, whichever daemons its repeats
// arrive at.
//
// A claim is created only if it is absent, before the one attempt, and it is never
// taken from a holder that may have sent. The outcome is written into it before
// the caller is answered. A claim whose holder died, or whose attempt has no known
// outcome, stays: a repeat hears that the outcome is not known. Only the holder
// itself releases a claim, when it provably did not send.
//
// # One write before the attempt, not two
//
// A second write, from "claimed" to "sending" right before the attempt, would let
// another daemon take over a claim whose holder died before it sent. It was weighed
// and left out. It costs a store write per call (the store takes several hundred a
// second, and a call already needs two) and a round trip of some ms. It helps only
// if the holder dies between the two writes, and since callers of this package
// choose the endpoint first, that is a moment. The repeat of such a call hears
// "outcome not known", which is safe. The case that is more frequent, an endpoint
// that cannot be reached, is covered by the release.
package claim

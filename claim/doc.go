// Package claim runs non-idempotent calls with an idempotency key at most once,
// whichever daemons the retries of a call reach. It keeps a claim for each key in the
// store.
//
// A claim is created only if the key has none, before the single attempt of the call.
// No other process takes over a claim whose holder may have sent the call. The outcome
// is written into the claim before the caller gets the answer. If the holder died or
// the outcome of the attempt is unknown, the claim stays and retries get the error
// that the outcome is unknown. A claim is released only by its holder, and only if
// the holder provably did not send the call.
//
// # One write before the attempt
//
// With a second write, from "claimed" to "sending" right before the attempt, another
// daemon could take over a claim whose holder died before it sent the call. The
// package doesn't make this write. It would cost some ms for a round trip and one
// more store write per call; the store takes several hundred writes a second, and a
// call already needs two. It would help only if the holder died between the two
// writes, which is a short time because callers of this package choose the endpoint
// first. Without it, a retry of such a call gets the error that the outcome is
// unknown, which is safe. The more frequent case, an unreachable endpoint, is covered
// by the release of the claim.
package claim

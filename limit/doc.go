// Package limit enforces the rate and burst of a workspace across all VMs together.
// It is pure: time comes in as an argument, and no function blocks or sends.
//
// # Buckets
//
// The fleet has a fixed number of slots, listed in a table in the store; each slot
// is held by one daemon at a time. A workspace's rate and burst are divided into
// equal shares, one for each of its home slots. A daemon keeps one token Bucket per
// workspace for the slots that it holds. Tokens are created only by refill, at most at
// the workspace's rate over all buckets, and the tokens of all buckets and of all
// live loans never exceed the burst. Together this bounds the charges in every
// window of t seconds by rate*t + burst.
//
// # Advances
//
// An advance is a number of tokens that a bucket starts with after its daemon's former
// process ended without releasing its slots. It is the one exception to this bound and is
// limited by a Tolerance.
//
// # Refunds
//
// A request is charged its prompt and its maximum output when it is dispatched.
// When it ends having used less, the bucket is set to the level that it would have
// if the unused tokens had never been charged. These would have overflowed wherever
// the bucket's headroom was too small, so the refund is at most the smallest headroom
// since the dispatch, and every minimum headroom recorded since then is reduced by the
// refund. Without this reduction, two refunds that overlap in time would both be
// measured against the same headroom and create tokens.
//
// # Loans
//
// A loan moves tokens from a lender's bucket to a borrower. Until the loan ends, the
// lender's capacity is reduced by its amount, so that the total cannot exceed the
// burst. Until then the borrower may spend the tokens, or deposit them into its own
// bucket within its capacity. It notifies the lender when no tokens of the loan are
// left, which restores the lender's capacity. Tokens that a borrower returns are
// reported as a cumulative total per loan, so that a duplicated or late message credits
// nothing twice.
//
// # Clocks
//
// Only durations on one daemon's clock are compared. Clock rates may differ from
// true time by MaxDrift; buckets refill slower by the same factor.
package limit

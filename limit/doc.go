// Package limit holds a workspace to its rate and burst over all VMs together.
// It is pure: time comes in as an argument, and no function blocks or sends.
//
// # Buckets
//
// A workspace's rate and burst are cut into shares, one for each home slot. Each
// slot belongs to one daemon. A daemon keeps one Bucket per workspace for the
// slots that it holds. Tokens come into being only by refill, at most at the
// workspace's rate over all buckets, and the tokens of all buckets and of all
// live loans never exceed the burst. Together this bounds the charges of every
// window of t seconds by rate*t + burst.
//
// # Refunds
//
// A request is charged its prompt and its maximum output when it is dispatched.
// When it ends having used less, the bucket is set to what it would hold had the
// unused tokens never been taken. These would have overflowed wherever the
// bucket's headroom was too small, so the refund is at most the smallest headroom
// since the dispatch, and every headroom recorded since then shrinks by the
// refund. Without the second half, two refunds that overlap in time are both
// measured against the same headroom and create tokens.
//
// # Loans
//
// A loan moves tokens from a lender's bucket to a borrower. While they are on the
// way, the lender's capacity is lowered by the loan, so that the total cannot
// exceed the burst. The borrower may spend them, or pour them into its own bucket
// within its capacity, until the loan ends. It tells the lender when nothing is
// left of the loan, and the lender's capacity is whole again. What a borrower gives
// back is counted per loan as a total, so that a repeated or late message credits
// nothing twice.
//
// # Clocks
//
// Only durations on one daemon's clock are compared. Clock rates may differ from
// true time by MaxDrift; buckets refill slower by as much.
package limit

// Package order keeps the ledger of orders to engines and to the platform. An
// order is recorded in the store by compare-and-swap, then sent, then marked as
// confirmed. A different order for the same target waits until the former one is
// settled. A new holder of the duty first adopts every open record, which makes
// later writes of the former holder conflict, and sends the same order again.
//
// A target that checks fencing numbers gets the sequence number of the record. A
// target that ignores them gets a write-once order: whichever process sends it,
// and however late, it is the same order.
package order

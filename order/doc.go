// Package order records and sends orders, that is, commands to engines and to the
// platform. An order is recorded in the store by compare-and-swap, then sent, then
// marked as confirmed or refused (settled). While an order is open, no different order
// for the same target can be recorded.
//
// Orders are sent by the one daemon that holds the duty for them (package lease). A new
// holder first rewrites every open record under its own epoch, which makes later writes
// of the previous holder conflict, and sends the same orders again.
//
// A target that checks fencing numbers gets the sequence number of the record as its
// fencing number. A target that does not check them gets only one order ever, so that
// a late send by any process delivers the same order.
package order

// Package timer reads the clocks; no other package does. System gives the time since
// boot by CLOCK_BOOTTIME, which also runs while the VM is suspended, and sends ticks
// to subscribers. JumpFilter ignores short jumps of the wall clock. Manual is a clock for
// tests, which moves only when the test advances it.
package timer

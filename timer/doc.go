// Package timer is the only reader of clocks. Its Service gives the time since
// boot, counted by CLOCK_BOOTTIME, which also runs while the VM is frozen, and
// sends ticks to the parts that subscribe. Manual is a clock for tests that
// moves only when it is told to.
package timer

// Package plan decides the changes that take seconds to minutes: the roles of engines
// and how many endpoints of each kind of supply to run in each failure domain. It does
// no I/O and reads no clock: callers pass the time and the state, and get decisions
// with their reasons.
//
// Work is measured in engines: the number of engines that it would keep busy.
package plan

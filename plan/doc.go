// Package plan decides the slow changes: the roles of engines and how many
// endpoints of each kind of supply to run in each failure domain. It is pure: time
// and state come in, decisions with their reasons come out.
//
// Work is counted in engines: the number of engines that it would keep busy.
package plan

// Command lagoonbench measures the decision code against small simulated engines
// in virtual time and writes docs/MEASUREMENTS.md with its plots. Each policy runs
// against its baselines on the same arrivals, over several seeds.
//
// The engines have token rates, a prefix cache of limited size, load reports that
// lag, cache events that are late and have gaps, and role changes that take
// seconds. The figures are meant to be compared with each other, not with real
// engines.
package main

// Command lagoonbench measures the code that routes and queues requests, changes the
// roles of engines and orders engines, against simulated engines in virtual time. It
// writes docs/MEASUREMENTS.md with its plots. Each policy is compared with baselines
// on the same arrivals, over several seeds.
//
// A simulated engine has token rates, a prefix cache of limited size, delayed load
// reports, delayed cache events of which some are lost, and role changes that take
// seconds. Compare the figures with each other only, not with those of real engines.
package main

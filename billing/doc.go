// Package billing counts the usage of requests per workspace and reports it to the
// platform, each window of time once. It has two independent parts.
//
// Usage of finished requests: a Recorder keeps cumulative totals per workspace for
// its incarnation, which is one process of a daemon. It sends them to a buddy, a
// daemon that keeps a copy, before a response ends, and writes them to the store
// every 10 s. Totals only grow, so two copies are merged by taking the larger figure
// of each workspace. If a buddy receives nothing from the owner of a copy for 15 s,
// it writes the copy to the store; this is harmless if the owner is alive.
//
// A Reporter performs the usage duty, which a lease assigns to one daemon at a time,
// the holder. It subtracts the totals of the last sealed window from the present
// ones, creates the next sealed window write-once, and reports from that record
// only. The next window is sealed after the platform has accepted the report of the
// last, so that a new holder has at most one report to repeat, with the same figures.
//
// Started requests: a Tally counts them per window and exchanges the counts with
// peers. A WindowReporter seals the windows and reports them while its daemon holds
// the duty.
package billing

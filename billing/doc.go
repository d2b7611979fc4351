// Package billing counts the usage of finished requests and reports it to the
// platform, each window once.
//
// A Recorder keeps cumulative totals per workspace for its daemon incarnation,
// hands them to a buddy daemon before an answer ends, and writes them to the store
// every 10 s. Totals only grow, and wherever two copies of them meet, the larger
// figure of each workspace wins. A buddy that hears nothing for some time writes
// the copy that it holds; this is harmless if the owner is alive.
//
// A Reporter holds the usage duty. It subtracts the totals of the last sealed
// window from the present ones, creates the next sealed window write-once, and
// reports from that record only. The next window is sealed after the platform
// has taken the report of the last, so that a new holder has at most one report
// to repeat, with the same figures.
package billing

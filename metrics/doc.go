// Package metrics shows counters and latency histograms as text that common scrapers
// read.
package metrics

// Package metrics exports counters and latency histograms in the Prometheus text format.
package metrics

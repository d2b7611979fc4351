// Package fakeplatform is a small stand-in for the platform: the key-value
// service with compare-and-swap, leases and watches, the ordering of endpoints by
// failure domain, the usage reports, the lagging VM list and the rate-limited
// weight store. It runs in process or behind HTTP and has switches for the
// faults of the platform: outages, slowness, answers lost after the effect, and
// old answers. It is for tests and the demo and keeps everything in memory.
package fakeplatform

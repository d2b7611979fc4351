// Package fakeplatform is a fake of the platform that the daemons run on, for tests
// and the demo: the key-value service with compare-and-swap, leases and watches, the
// ordering of endpoints by failure domain, the usage reports and the lagging VM
// list. It can be called in process or over HTTP and keeps everything in memory.
// Faults of the platform can be injected: outages, delays, lost responses to writes
// that took effect, and stale reads.
package fakeplatform

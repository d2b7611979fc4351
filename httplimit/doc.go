// Package httplimit bounds the connections of HTTP clients and the memory that they take in the
// process. Connections beyond the bound, and those that come while the processor is overloaded, are not
// served: the request on them is refused. Connections are bounded by their number, by their buffers in
// the kernel, whose unread bytes count as memory of the process, and by the time for which a client may
// leave its answer unread.
package httplimit

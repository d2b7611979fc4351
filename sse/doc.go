// Package sse splits a stream of server-sent events into events without changing a byte
// of them.
package sse

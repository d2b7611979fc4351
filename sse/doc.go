// Package sse cuts a stream of server-sent events into whole events without changing
// a byte of them.
package sse

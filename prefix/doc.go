// Package prefix keeps track of which engine holds which blocks of prompt
// prefixes in its cache. It is pure and learns from cache events, which arrive
// late and with gaps, and from the daemon's own dispatches.
//
// A block is named by a chained 64-bit hash of the prompt up to and with it, so an
// engine that holds a block normally holds the ones before it. Answers may be
// wrong in both directions; a wrong one costs time only.
package prefix

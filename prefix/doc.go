// Package prefix estimates which engine holds which blocks of prompts in its prefix
// cache. The estimate comes from the cache events of engines, which arrive late and
// with gaps, and from the prompts that this daemon sent to engines. The package does
// no I/O and reads no clock.
//
// A block is identified by a chained 64-bit hash of the prompt up to its end, so an
// engine that holds a block normally holds the ones before it. An engine may hold a
// block that the package does not report, and the other way round; such an error
// only costs time.
package prefix

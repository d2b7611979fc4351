// Package engine is the HTTP client for model engines: Streamer runs completions,
// Commander sends orders, which change an engine's role, model or adapter, and
// Querier reads load reports and KV cache events.
//
// A stream on which the engine sends nothing is canceled only while Streamer.Run runs.
//
// The kind of an error tells the caller whether the request can be retried.
// KindUnavailable means that no byte of the request can have reached the engine, or
// that the engine reported that it did not run the request. KindCrashed means that
// the connection broke after the request was written, KindTimeout that the engine
// stopped sending, and KindUnknown that the response was invalid or incomplete
// although the connection did not fail.
package engine

// Package engine is the adapter to model engines: Streamer runs completions,
// Commander sends orders and Querier reads load and cache events.
//
// Silent connections are ended only while Streamer.Run runs.
//
// The kinds of its errors say what may be done next. KindUnavailable means that
// no byte of the request can have reached the engine, or that the engine said
// that it did not run it. KindCrashed means that the connection broke after the
// request was written, KindTimeout that the engine went silent, and KindUnknown
// that the answer was wrong or incomplete although the connection held.
package engine

// Package relay carries the answer of an engine to a caller. Relay copies the
// events of a stream, or collects them into a whole answer, and resumes a stream
// that breaks. Sealer makes the event ids that a caller can resume with through
// any VM.
package relay

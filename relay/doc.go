// Package relay transfers the response of an engine to a caller. Relay copies the
// events of a stream, or merges them into a non-streamed response, and resumes a
// stream that fails. Sealer creates the encrypted event ids, called resume tokens,
// with which a caller can resume a stream through any VM.
package relay

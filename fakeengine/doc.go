// Package fakeengine is a small stand-in for a model engine. It speaks the
// engine protocol that package engine meets: OpenAI-style completions with event
// ids, resume and cancel, load reports that lag, cache events that are late and
// have gaps, and orders with or without fencing checks. It has switches for
// faults and records what reached it, so that tests and the demo can check both
// sides.
//
// Besides the engine protocol it serves POST /fake/faults (a Faults in JSON),
// POST /fake/crash, GET /fake/records and GET /fake/orders for processes that run
// it from a command.
//
// The package writes the names of headers and routes out itself instead of
// importing them from package engine, so that a slip in the adapter shows.
package fakeengine

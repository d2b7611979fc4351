// Package fakeengine is a fake model engine for tests and the demo. It implements
// the server side of the protocol whose client is package engine: OpenAI-style
// completions with event ids, resume and cancel; load reports that lag; cache
// events that arrive late and with gaps; and orders (changes of role, model or
// adapter), with or without fencing checks. Faults can be injected, and the
// requests and orders received are recorded for the checks of a test.
//
// For processes that run it from a command it also serves POST /fake/faults (a
// Faults in JSON), POST /fake/crash, GET /fake/records and GET /fake/orders.
//
// The package declares the names of headers and routes itself instead of
// importing them from package engine, so that a wrong name in package engine fails
// a test.
package fakeengine

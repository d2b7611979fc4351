// Package fakeservice is a stand-in for plain services, for tests and the demo:
// bookings, loans, availability look-ups and catalogue look-ups. It records every
// call that it ran and can be told to fail in the ways that real services do.
package fakeservice

// Package fakeservice is a fake plain service (one that is no model engine), for tests
// and the demo: bookings, loans, fees, availability look-ups and catalogue look-ups. It
// records every call that it receives and can inject the faults of real services.
package fakeservice

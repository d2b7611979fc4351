// Package usage is the client of the platform's interface for usage reports, in the form
// that package fakeplatform serves.
package usage

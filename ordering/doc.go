// Package ordering is the client of the platform's interface for scaling: it sets the
// number of endpoints in a failure domain and lists the endpoints that run. It has the
// form that package fakeplatform serves.
package ordering

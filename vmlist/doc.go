// Package vmlist is the client of the platform's list of VMs, in the form that package
// fakeplatform serves. The list lags behind the actual state.
package vmlist

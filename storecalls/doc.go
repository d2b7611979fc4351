// Package storecalls limits the calls of a daemon to a store that does not serve it. Pacer
// decides when a call may be sent; it is pure and has no clock. Store applies it to all calls
// of a daemon together and counts them by kind and result.
package storecalls

// Package roster keeps the endpoints that have registered themselves in the store. It
// tells an endpoint that has left from one whose entry lapsed while the store was
// away: the second is kept until the store has been back for long enough.
package roster

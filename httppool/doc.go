// Package httppool holds the connections to endpoints: one pool for each address,
// connections that notice a silent peer, and the knowledge whether a byte of a request
// can have left this process.
package httppool

// Package httppool pools HTTP connections to endpoints: one pool for each address, with
// connections that are closed when the peer no longer acknowledges data. It also
// tells whether any byte of a request can have been sent.
package httppool

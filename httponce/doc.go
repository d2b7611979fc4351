// Package httponce sends a single HTTP/1.1 request on a connection of its own,
// at most once. It is for orders and reports that a process may only send while
// it has the authority to do so: the connection is dialled first, then the
// authority is checked, then the request is written. A process that is paused
// between the check and the write for longer than the receiver's timeout for
// request headers finds its connection closed, so a late order has no effect.
//
// The Transport of net/http is not used, because it may dial after the check and
// repeat some requests on a fresh connection.
package httponce

// Package httponce sends a single HTTP/1.1 request on a new connection, at most
// once. It is for requests that a process may only send while it has the
// authority to do so, for example while it holds a lease: the connection is
// dialed first, then the authority is checked, then the request is written. If
// the process is paused between the check and the write for longer than the
// receiver's timeout for request headers, the receiver has closed the connection
// and the late request has no effect.
//
// The Transport of net/http is not used, because it may dial after the check and
// retry some requests on a new connection.
package httponce

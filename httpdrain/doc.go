// Package httpdrain ends the connections of an HTTP/1.1 server without losing requests on them.
//
// http.Server.Shutdown closes the listener first, which resets the connections that wait to be
// accepted, and drops each request whose header is read after that. A Listener closes a connection
// only when nothing has arrived on it that has no answer.
package httpdrain

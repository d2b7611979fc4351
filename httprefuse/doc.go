// Package httprefuse refuses HTTP/1.1 requests on connections that a server does not serve.
//
// A client's request is often complete before the server accepts its connection, so closing the
// connection resets it and leaves the request without a response. A Refuser reads the header
// section, writes a response and closes the connection in a way that does not destroy the response.
// If the whole request has arrived, which is usual on a server that is behind, that takes a read, a
// write and a close in the goroutine that accepts, and no goroutine of its own.
package httprefuse

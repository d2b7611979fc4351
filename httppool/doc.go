// Package httppool is an HTTP/1.1 client that keeps connections to endpoints and sends each
// request at most once. What happens on a connection is told apart: whether a byte of a request
// can have been sent, whether a response belongs to it or to an earlier one, and whether the
// connection is new.
//
// The Transport of net/http is not used. It sends requests without a body once more when a kept
// connection ends before the response, and it takes whatever comes next on a connection for the
// response to the request on it.
package httppool

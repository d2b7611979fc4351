package service

import (
	"net/http"

	"github.com/lagoonhead/lagoonhead"
)

// Headers of requests to plain services and of their responses.
const (
	// HeaderRun is set to RunNo by an endpoint that responds without having run the
	// call.
	HeaderRun = "Lagoonhead-Run"
	// HeaderRequestID carries the identifier of the request.
	HeaderRequestID = "Lagoonhead-Request-Id"
	// HeaderIdempotencyKey carries the caller's idempotency key. The usual name
	// Idempotency-Key allows HTTP clients on the way to repeat the call.
	HeaderIdempotencyKey = "Lagoonhead-Idempotency-Key"
)

// RunNo is the value of HeaderRun for a call that did not run.
const RunNo = "no"

// forwardedHeaders lists the request headers that are passed on to a service. Headers
// with credentials and Idempotency-Key are not among them. Traceparent and Tracestate
// identify the daemon's own span.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since",
	"Traceparent", "Tracestate",
}

// returnedHeaders lists the response headers of a service that are passed on to the
// caller.
var returnedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type",
	"Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// pick returns a copy of the named headers.
func pick(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, n := range names {
		if v := h.Values(n); len(v) > 0 {
			out[n] = append([]string(nil), v...)
		}
	}
	return out
}

func requestHeader(c lagoonhead.ServiceCall) http.Header {
	h := pick(c.Header, forwardedHeaders)
	h.Set(HeaderRequestID, string(c.Request.ID()))
	if c.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	h.Set("User-Agent", "lagoonhead")
	return h
}

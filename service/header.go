package service

import (
	"net/http"

	"github.com/lagoonhead/lagoonhead"
)

// Headers between the daemon and a plain service.
const (
	// HeaderRun is set by an endpoint to "no" on an answer that it gave without
	// running the call.
	HeaderRun = "Lagoonhead-Run"
	// HeaderRequestID carries the request's identifier.
	HeaderRequestID = "Lagoonhead-Request-Id"
	// HeaderIdempotencyKey carries the caller's idempotency key. The usual name
	// Idempotency-Key would allow net/http to repeat the call.
	HeaderIdempotencyKey = "Lagoonhead-Idempotency-Key"
)

// RunNo is the value of HeaderRun for a call that did not run.
const RunNo = "no"

// forwarded lists the caller's headers that go on to a service. The key header is
// not among them. Traceparent and Tracestate are those of the daemon's own span.
var forwarded = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since",
	"Traceparent", "Tracestate",
}

// returned lists the headers of a service that go back to the caller.
var returned = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type",
	"Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

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
	h := pick(c.Header, forwarded)
	h.Set(HeaderRequestID, string(c.Request.ID()))
	if c.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	h.Set("User-Agent", "lagoonhead")
	return h
}

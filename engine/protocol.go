package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// The headers of the engine protocol. HeaderRun is set by an engine to tell whether
// it ran the request.
const (
	HeaderRequestID    = "Lagoonhead-Request-Id"
	HeaderResumeOffset = "Lagoonhead-Resume-Offset"
	HeaderLoad         = "Lagoonhead-Load"
	HeaderRun          = "Lagoonhead-Run"
	HeaderPriority     = "Lagoonhead-Priority"
)

const (
	// runNo is the value of HeaderRun in the response to a request that did not run.
	runNo = "no"

	pathCompletions = "/v1/chat/completions"
	pathOrders      = "/lagoonhead/orders"
	pathLoad        = "/lagoonhead/load"
	pathCacheEvents = "/lagoonhead/cacheEvents"
	pathCancel      = "/lagoonhead/cancel"

	contentJSON        = "application/json"
	contentEventStream = "text/event-stream"

	// maxResponseBytes bounds the bodies of load reports, cache events and cancellations.
	maxResponseBytes = 4 << 20
	// maxErrorTextBytes bounds the part of an error body that is copied into an error message.
	maxErrorTextBytes = 256
)

// strippedHeaders are not forwarded to an engine: they carry credentials, allow HTTP clients
// on the way to repeat a request, are set by this package, or belong to one connection.
var strippedHeaders = []string{
	"Authorization", "Proxy-Authorization", "Cookie",
	"Idempotency-Key", "X-Idempotency-Key",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Expect",
	HeaderResumeOffset, "Last-Event-Id",
}

func engineHeader(c lagoonhead.Completion) http.Header {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	for _, k := range strippedHeaders {
		h.Del(k)
	}
	h.Set("Content-Type", contentJSON)
	h.Set("Accept", contentEventStream)
	h.Set(HeaderRequestID, string(c.Request.ID()))
	h.Set(HeaderPriority, c.Request.Priority().String())
	return h
}

// parseLoad returns the load report in a header or trailer of the endpoint's
// response. ok is false when it is missing or malformed.
func parseLoad(e lagoonhead.EndpointID, h http.Header) (l lagoonhead.LoadReport, ok bool) {
	s := h.Get(HeaderLoad)
	if s == "" || json.Unmarshal([]byte(s), &l) != nil {
		return l, false
	}
	l.Endpoint = e
	return l, true
}

// statusError returns the error for an unsuccessful response, with the beginning of
// its body.
func statusError(op string, res *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorTextBytes))
	err := errors.Newf("status %d: %s", res.StatusCode, b)
	return fail(op, kindOfStatus(res.StatusCode, res.Header), err)
}

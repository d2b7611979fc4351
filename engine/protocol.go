package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// The headers of the engine protocol.
const (
	HeaderRequestID    = "Lagoonhead-Request-Id"
	HeaderResumeOffset = "Lagoonhead-Resume-Offset"
	HeaderLoad         = "Lagoonhead-Load"
	HeaderRun          = "Lagoonhead-Run"
	HeaderPriority     = "Lagoonhead-Priority"
)

const (
	runNo = "no"

	pathCompletions = "/v1/chat/completions"
	pathOrders      = "/lagoonhead/orders"
	pathLoad        = "/lagoonhead/load"
	pathCacheEvents = "/lagoonhead/cacheEvents"
	pathCancel      = "/lagoonhead/cancel"

	contentJSON   = "application/json"
	contentEvents = "text/event-stream"

	// maxAnswerBytes bounds load reports, lists of cache events and error bodies.
	maxAnswerBytes = 4 << 20
	// shownErrorBytes is how much of an error body goes into an error message.
	shownErrorBytes = 256
)

// withheldHeaders never go to an engine: they carry credentials, make net/http
// repeat a request, or belong to one connection.
var withheldHeaders = []string{
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
	for _, k := range withheldHeaders {
		h.Del(k)
	}
	h.Set("Content-Type", contentJSON)
	h.Set("Accept", contentEvents)
	h.Set(HeaderRequestID, string(c.Request.ID()))
	h.Set(HeaderPriority, c.Request.Priority().String())
	return h
}

// readLoad returns the load report in a header or trailer of the endpoint. ok is
// false when there is none that can be read.
func readLoad(e lagoonhead.EndpointID, h http.Header) (l lagoonhead.LoadReport, ok bool) {
	s := h.Get(HeaderLoad)
	if s == "" || json.Unmarshal([]byte(s), &l) != nil {
		return l, false
	}
	l.Endpoint = e
	return l, true
}

// statusError reads the error body of an answer and returns the error.
func statusError(op string, res *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(res.Body, shownErrorBytes))
	err := errors.Newf("status %d: %s", res.StatusCode, b)
	return fail(op, kindOfStatus(res.StatusCode, res.Header), err)
}

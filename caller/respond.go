package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Headers of requests and responses, and media types.
const (
	headerRun         = "Lagoonhead-Run"
	headerRequestID   = "Lagoonhead-Request-Id"
	headerDeadline    = "Lagoonhead-Deadline-Ms"
	headerPriority    = "Lagoonhead-Priority"
	headerIdempotency = "Idempotency-Key"
	headerLastEvent   = "Last-Event-Id"
	headerRetryAfter  = "Retry-After"
	headerAuth        = "Authorization"
	contentType       = "Content-Type"
	mediaJSON         = "application/json"
	mediaEvents       = "text/event-stream"
)

// runState says whether an endpoint can have run a request. It is the value of the
// header Lagoonhead-Run.
type runState string

const (
	runNo      runState = "no"
	runYes     runState = "yes"
	runUnknown runState = "unknown"
)

// minRetryAfter is the minimum of the header Retry-After, and its value when the error
// has no retry time.
const minRetryAfter = time.Second

// Refusal returns the response, without a body, to a request that is refused with an error before it is
// read.
func Refusal(_ *http.Request, err error) *http.Response {
	h := http.Header{headerRun: {string(runNo)}, headerRetryAfter: {retryAfter(err)}, "Cache-Control": {"no-store"}, "Content-Length": {"0"}}
	return &http.Response{StatusCode: errorResponseFor(err).status, Header: h}
}

type errorObject struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func newErrorObject(r errorResponse) errorObject {
	return errorObject{Error: errorBody{Message: r.message, Type: r.errorType, Code: r.code}}
}

// writeError responds with an error object. It must be called before any other write.
func writeError(w http.ResponseWriter, err error, run runState) {
	r := errorResponseFor(err)
	h := w.Header()
	h.Set(headerRun, string(run))
	h.Set("Cache-Control", "no-store")
	if r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable {
		h.Set(headerRetryAfter, retryAfter(err))
	}
	if r.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, r.status, newErrorObject(r))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("caller: response cannot be encoded: " + err.Error())
	}
	w.Header().Set(contentType, mediaJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// retryAfter returns the value of the header Retry-After: whole seconds, rounded up.
func retryAfter(err error) string {
	d := minRetryAfter
	var r lagoonhead.RetryAfterer
	if errors.As(err, &r) {
		d = max(d, r.RetryAfter())
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

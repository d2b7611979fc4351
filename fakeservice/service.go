package fakeservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Fault is a fault that the service injects into a call.
type Fault string

// The values of Fault.
const (
	// FaultNone runs the call and responds.
	FaultNone Fault = ""
	// FaultCloseAfterRead reads the call and closes the connection without running the
	// call.
	FaultCloseAfterRead Fault = "closeAfterRead"
	// FaultDropAnswer runs the call and closes the connection without a response.
	FaultDropAnswer Fault = "dropAnswer"
	// FaultSlow waits for Service.SlowFor, then runs the call and responds. If the
	// caller disconnects during the wait, the call does not run.
	FaultSlow Fault = "slow"
	// FaultSilent does not run the call and sends nothing until the caller disconnects.
	FaultSilent Fault = "silent"
	// FaultNotRun does not run the call and responds with status 503 and the header
	// "Lagoonhead-Run: no".
	FaultNotRun Fault = "notRun"
	// FaultTruncatedAnswer runs the call and closes the connection in the middle of the
	// response.
	FaultTruncatedAnswer Fault = "halfAnswer"
)

// Headers of the protocol between the daemon and services.
const (
	headerRun         = "Lagoonhead-Run"
	headerRequestID   = "Lagoonhead-Request-Id"
	headerIdempotency = "Lagoonhead-Idempotency-Key"
)

// maxBodyBytes is the size limit of the body of a call.
const maxBodyBytes = 1 << 20

// Call is a call that the service received.
type Call struct {
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query"`
	Body           string `json:"body"`
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey"`
	// Ran is false when the service read the call but did not run it.
	Ran bool `json:"ran"`
	// Header is the HTTP header of the call.
	Header http.Header `json:"-"`
}

// Service is a fake plain service. Its exported fields must be set before the first
// call. It is safe for concurrent use. The routes are
//
//	POST /bookings, POST /loans, POST /fees      not idempotent
//	GET  /availability, GET /catalogue           idempotent
//	GET  /lagoonfake/calls                       the calls received, as JSON
//	PUT  /lagoonfake/fault                       sets the FaultPlan, as JSON
type Service struct {
	// Timer is the clock of SlowFor. It must be set for FaultSlow.
	Timer timer.Timer
	// SlowFor is the delay of FaultSlow.
	SlowFor time.Duration

	mu       sync.Mutex
	calls    []Call
	plan     FaultPlan
	bookings int // bookings, loans and fees recorded
}

// FaultPlan is the fault that is injected into the next calls.
type FaultPlan struct {
	Fault Fault `json:"fault"`
	// Calls is the number of calls affected; 0 means all calls until the next FaultPlan.
	Calls int `json:"calls"`
}

// SetFaultPlan sets the fault that is injected into the next calls.
func (s *Service) SetFaultPlan(p FaultPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = p
}

// Calls returns the calls received, in the order in which they were recorded: each after
// it ran, or before a fault that prevents it from running.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Ran returns the number of calls that ran.
func (s *Service) Ran() int {
	n := 0
	for _, c := range s.Calls() {
		if c.Ran {
			n++
		}
	}
	return n
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	for _, r := range []struct {
		pattern string
		run     func(*Service, Call) answer
	}{
		{"POST /bookings", (*Service).book},
		{"POST /loans", (*Service).book},
		{"POST /fees", (*Service).book},
		{"GET /availability", (*Service).lookUp},
		{"GET /catalogue", (*Service).lookUp},
	} {
		m.HandleFunc(r.pattern, func(w http.ResponseWriter, q *http.Request) { s.serve(w, q, r.run) })
	}
	m.HandleFunc("GET /lagoonfake/calls", s.serveCalls)
	m.HandleFunc("PUT /lagoonfake/fault", s.serveFaultPlan)
	return m
}

func (s *Service) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

func (s *Service) serveFaultPlan(w http.ResponseWriter, r *http.Request) {
	var p FaultPlan
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaultPlan(p)
	w.WriteHeader(http.StatusNoContent)
}

// answer is the response body of every call that ran.
type answer struct {
	// Number is the number of bookings, loans and fees recorded so far; look-ups record
	// none.
	Number int `json:"number"`
	// CallHash is a hash of the call, by which a test can match answers to calls.
	CallHash string `json:"subject"`
}

func (s *Service) book(c Call) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings++
	return answer{Number: s.bookings, CallHash: CallHash(c)}
}

func (s *Service) lookUp(c Call) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return answer{Number: s.bookings, CallHash: CallHash(c)}
}

// CallHash returns the hash of a call that its answer contains.
func CallHash(c Call) string {
	h := sha256.Sum256([]byte(c.Method + " " + c.Path + "?" + c.Query + "\n" + c.Body))
	return hex.EncodeToString(h[:8])
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request, run func(*Service, Call) answer) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c := Call{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body),
		RequestID: r.Header.Get(headerRequestID), IdempotencyKey: r.Header.Get(headerIdempotency),
		Header: r.Header.Clone(),
	}
	f := s.nextFault()
	if f == FaultSlow && s.Timer.Sleep(r.Context(), s.SlowFor) != nil {
		f = FaultSilent
	}
	switch f {
	case FaultCloseAfterRead, FaultSilent, FaultNotRun:
		s.record(c)
		s.respondNotRun(w, r, f)
		return
	}
	c.Ran = true
	a := run(s, c)
	s.record(c)
	s.respond(w, a, f)
}

// nextFault returns the fault of the next call and counts it against the plan.
func (s *Service) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.plan.Fault
	if s.plan.Calls > 0 {
		s.plan.Calls--
		if s.plan.Calls == 0 {
			s.plan = FaultPlan{}
		}
	}
	return f
}

func (s *Service) record(c Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// respondNotRun ends a call that does not run.
func (s *Service) respondNotRun(w http.ResponseWriter, r *http.Request, f Fault) {
	switch f {
	case FaultSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultNotRun:
		w.Header().Set(headerRun, "no")
		http.Error(w, "busy", http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// respond ends a call that ran, with the answer or with a fault.
func (s *Service) respond(w http.ResponseWriter, a answer, f Fault) {
	switch f {
	case FaultDropAnswer:
		panic(http.ErrAbortHandler)
	case FaultTruncatedAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(1<<10))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte(`{"number":`))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

// Endpoint returns the inventory entry of a service at a base URL, in failure domain
// d1 and with 16 slots.
func Endpoint(id lagoonhead.EndpointID, name, url string) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindService, name, url, "d1").WithSlots(16)
}

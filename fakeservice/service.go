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

// Fault is what the service does with a call.
type Fault string

// The faults.
const (
	// FaultNone runs the call and answers.
	FaultNone Fault = ""
	// FaultCloseAfterRead reads the call and closes the connection; it does not run.
	FaultCloseAfterRead Fault = "closeAfterRead"
	// FaultDropAnswer runs the call and closes the connection without an answer.
	FaultDropAnswer Fault = "dropAnswer"
	// FaultSlow waits for Service.SlowFor, then runs the call and answers.
	FaultSlow Fault = "slow"
	// FaultSilent runs nothing and answers nothing until the caller goes away.
	FaultSilent Fault = "silent"
	// FaultNotRun refuses the call and says that it did not run.
	FaultNotRun Fault = "notRun"
	// FaultHalfAnswer runs the call and closes the connection within the answer.
	FaultHalfAnswer Fault = "halfAnswer"
)

// Headers of the protocol between the daemon and services.
const (
	headerRun         = "Lagoonhead-Run"
	headerRequestID   = "Lagoonhead-Request-Id"
	headerIdempotency = "Lagoonhead-Idempotency-Key"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Call is a call that arrived at the service.
type Call struct {
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query"`
	Body           string `json:"body"`
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey"`
	// Ran is false when the service read the call and did not act on it.
	Ran bool `json:"ran"`
	// Header is what came with the call.
	Header http.Header `json:"-"`
}

// Service is a plain service. Its exported fields are set before the first call;
// it is safe for concurrent use. The routes are
//
//	POST /bookings, POST /loans, POST /fees      not idempotent
//	GET  /availability, GET /catalogue           idempotent
//	GET  /lagoonfake/calls                       what arrived, as JSON
//	PUT  /lagoonfake/fault                       a Plan, as JSON
type Service struct {
	// Timer is needed for FaultSlow.
	Timer timer.Timer
	// SlowFor is the delay of FaultSlow.
	SlowFor time.Duration

	mu    sync.Mutex
	calls []Call
	plan  Plan
	made  int
}

// Plan says which fault the next calls meet.
type Plan struct {
	Fault Fault `json:"fault"`
	// Calls is the number of calls that meet it; 0 means all until the next plan.
	Calls int `json:"calls"`
}

// SetPlan sets the faults of the next calls.
func (s *Service) SetPlan(p Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = p
}

// Calls returns the calls that arrived, in order.
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

// Handler returns the handler of the service.
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
	m.HandleFunc("GET /lagoonfake/calls", s.listCalls)
	m.HandleFunc("PUT /lagoonfake/fault", s.takePlan)
	return m
}

func (s *Service) listCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

func (s *Service) takePlan(w http.ResponseWriter, r *http.Request) {
	var p Plan
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetPlan(p)
	w.WriteHeader(http.StatusNoContent)
}

// answer is the JSON of all answers of calls.
type answer struct {
	// Number counts what the service has recorded; look-ups record nothing.
	Number int `json:"number"`
	// Subject is a hash of the call, by which a test can tell whose answer it is.
	Subject string `json:"subject"`
}

func (s *Service) book(c Call) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made++
	return answer{Number: s.made, Subject: Subject(c)}
}

func (s *Service) lookUp(c Call) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return answer{Number: s.made, Subject: Subject(c)}
}

// Subject returns the hash of a call that its answer carries.
func Subject(c Call) string {
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
		s.withoutRun(w, r, f)
		return
	}
	c.Ran = true
	a := run(s, c)
	s.record(c)
	s.answer(w, a, f)
}

func (s *Service) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.plan.Fault
	if s.plan.Calls > 0 {
		s.plan.Calls--
		if s.plan.Calls == 0 {
			s.plan = Plan{}
		}
	}
	return f
}

func (s *Service) record(c Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

func (s *Service) withoutRun(w http.ResponseWriter, r *http.Request, f Fault) {
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

func (s *Service) answer(w http.ResponseWriter, a answer, f Fault) {
	switch f {
	case FaultDropAnswer:
		panic(http.ErrAbortHandler)
	case FaultHalfAnswer:
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
	_ = json.NewEncoder(w).Encode(v) // a caller that has left needs no answer
}

// Endpoint returns the inventory's entry of a service at a base URL.
func Endpoint(id lagoonhead.EndpointID, name, url string) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(id, lagoonhead.KindService, name, url, "d1").WithSlots(16)
}

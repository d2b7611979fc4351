package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// Headers of the engine protocol.
	headerRequestID    = "Lagoonhead-Request-Id"
	headerResumeOffset = "Lagoonhead-Resume-Offset"
	headerLoad         = "Lagoonhead-Load"
	headerRun          = "Lagoonhead-Run"
	headerPriority     = "Lagoonhead-Priority"
	headerTrailer      = "Trailer"

	// maxBodyBytes is the size limit of a completion or cancel request.
	maxBodyBytes = 32 << 20
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := lagoonhead.RequestID(r.Header.Get(headerRequestID))
	if id == "" {
		id = lagoonhead.RequestID(uuid.NewString())
	}
	after, err := resumeOffset(r.Header)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	faults := e.faults.nextConn()
	e.records.Add(newRecord(id, r.Header, body, after))
	e.mu.Unlock()
	if faults.closeNow {
		panic(http.ErrAbortHandler)
	}
	p, err := parsePrompt(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	run, status, err := e.admit(id, p, after, r.Header.Get(headerPriority))
	if err != nil {
		refuse(w, status, err)
		return
	}
	e.answer(w, r, run, after, faults)
}

// resumeOffset returns the offset of the last event that the client has received,
// or -1 for a new request.
func resumeOffset(h http.Header) (int64, error) {
	s := h.Get(headerResumeOffset)
	if s == "" {
		return -1, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < -1 {
		return 0, errors.Newf("header %s is not an offset: %q", headerResumeOffset, s)
	}
	return n, nil
}

// admit starts a new request, or returns the existing run of a request to resume.
// With an error it returns the HTTP status.
func (e *Engine) admit(id lagoonhead.RequestID, p prompt, after int64, priority string) (*run, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after >= 0 {
		if r := e.runs[id]; r != nil {
			return r, 0, nil
		}
		return nil, http.StatusNotFound, errors.Newf("request %q is not known", id)
	}
	if name, _, _ := strings.Cut(e.model, "@"); name != "" && p.model != name {
		return nil, http.StatusNotFound, errors.Newf("model %q is not loaded", p.model)
	}
	if e.pendingChanges > 0 {
		return nil, http.StatusServiceUnavailable, errors.New("a change of role, model or adapter is in progress")
	}
	if e.QueueLimit > 0 && len(e.slots.waiting) >= e.QueueLimit {
		return nil, http.StatusServiceUnavailable, errors.New("the queue is full")
	}
	class, _ := lagoonhead.ParsePriority(priority)
	return e.start(id, p, class), 0, nil
}

// refuse writes an error with the header that says that the request was not run.
func refuse(w http.ResponseWriter, status int, cause error) {
	w.Header().Set(headerRun, "no")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, map[string]any{"error": map[string]any{
		"message": cause.Error(), "type": "invalid_request_error", "code": status,
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// answer writes the response of the run, or that of another run if the ExchangePairs
// fault swaps the two. It closes the connection when the engine crashes.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, own *run, after int64, f connFaults) {
	e.addReaders(own, 1)
	defer e.addReaders(own, -1)
	ctx, stop := context.WithCancelCause(r.Context())
	defer stop(nil)
	e.mu.Lock()
	processCtx := e.processCtx
	e.mu.Unlock()
	defer context.AfterFunc(processCtx, func() { stop(errCrash) })()
	run := own
	if f.exchange {
		run = e.exchange(ctx, own)
	}
	if f.delay > 0 && e.Timer.Sleep(ctx, f.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if f.noHeaders {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if run.prompt.stream {
		e.stream(ctx, w, run, after, f)
		return
	}
	e.writeResponse(ctx, w, run)
}

// addReaders adds n to the number of connections that read the run. A run without
// readers is cancelled after the resume window.
func (e *Engine) addReaders(r *run, n int) {
	now := e.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += n
	r.idleSince = now
}

// exchange waits for a second completion and returns its run, so that each of the
// two clients gets the answer of the other. It returns r itself if ctx ends first.
func (e *Engine) exchange(ctx context.Context, r *run) *run {
	e.mu.Lock()
	if other := e.exchangeRun; other != nil {
		e.exchangePartner <- r
		e.exchangeRun = nil
		consume(&e.faults.ExchangePairs)
		e.mu.Unlock()
		return other
	}
	partner := make(chan *run, 1)
	e.exchangeRun, e.exchangePartner = r, partner
	e.mu.Unlock()
	select {
	case other := <-partner:
		return other
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exchangeRun == r {
		e.exchangeRun = nil
	}
	return r
}

func (e *Engine) loadHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, _ := json.Marshal(e.load()) // strings and numbers always marshal
	return string(b)
}

// stream writes the events after the given offset as they become ready.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, after int64, f connFaults) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(headerRequestID, string(r.id))
	h.Set(headerLoad, e.loadHeader())
	h.Set(headerTrailer, headerLoad)
	w.WriteHeader(http.StatusOK)
	s := &streamWriter{engine: e, w: w, run: r, next: int(after) + 1, faults: f}
	s.flush = http.NewResponseController(w).Flush
	if err := s.writeAll(ctx, e.keepAlives(ctx)); err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Set(headerLoad, e.loadHeader())
}

// keepAlives returns a channel that receives a value whenever a keep-alive is due,
// until ctx ends.
func (e *Engine) keepAlives(ctx context.Context) <-chan struct{} {
	interval := e.KeepAlive
	if interval <= 0 {
		interval = defaultKeepAlive
	}
	c := make(chan struct{}, 1)
	go func() {
		for e.Timer.Sleep(ctx, interval) == nil {
			select {
			case c <- struct{}{}:
			default:
			}
		}
	}()
	return c
}

// streamWriter writes the events of one run to one connection.
type streamWriter struct {
	engine *Engine
	w      io.Writer
	flush  func() error
	run    *run
	next   int // event to write next
	sent   int // events written to this connection
	faults connFaults
}

func (s *streamWriter) writeAll(ctx context.Context, keepAlives <-chan struct{}) error {
	for {
		ready, complete, wake, runErr := s.run.snapshot()
		if err := s.writeReady(ctx, ready, complete); err != nil {
			return err
		}
		if complete || errors.Is(runErr, errCancelled) {
			return nil
		}
		if runErr != nil {
			return runErr
		}
		if err := s.flush(); err != nil {
			return err
		}
		select {
		case <-wake:
		case <-keepAlives:
			if _, err := io.WriteString(s.w, ": keep-alive\n\n"); err != nil {
				return err
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// writeReady writes the events that are ready, up to the event at which a fault is
// due.
func (s *streamWriter) writeReady(ctx context.Context, ready int, complete bool) error {
	end := ready
	if complete {
		end = s.run.eventCount()
	}
	for ; s.next < end; s.next++ {
		if s.sent >= s.faults.breakAt {
			_ = s.flush()
			return errors.New("break")
		}
		if s.sent >= s.faults.silentAt {
			_ = s.flush()
			<-ctx.Done()
			return context.Cause(ctx)
		}
		data := s.run.event(s.next, s.engine.cachedTokens(s.run))
		if _, err := fmt.Fprintf(s.w, "id: %s/%d\ndata: %s\n\n", s.run.id, s.next, data); err != nil {
			return err
		}
		s.sent++
	}
	return nil
}

func (e *Engine) cachedTokens(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.cached
}

// writeResponse waits until the run is complete and answers a completion that is not
// streamed.
func (e *Engine) writeResponse(ctx context.Context, w http.ResponseWriter, r *run) {
	for {
		_, complete, wake, err := r.snapshot()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if complete {
			break
		}
		select {
		case <-wake:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(headerRequestID, string(r.id))
	w.Header().Set(headerLoad, e.loadHeader())
	writeJSON(w, http.StatusOK, r.response(e.cachedTokens(r)))
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	name, _, _ := strings.Cut(e.model, "@")
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": []any{
		map[string]any{"id": name, "object": "model", "owned_by": "fakeengine"},
	}})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c struct {
		RequestID lagoonhead.RequestID `json:"requestId"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	run := e.runs[c.RequestID]
	e.mu.Unlock()
	if run == nil {
		refuse(w, http.StatusNotFound, errors.Newf("request %q is not known", c.RequestID))
		return
	}
	run.cancel(errCancelled)
	writeJSON(w, http.StatusOK, struct{}{})
}

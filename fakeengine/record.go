package fakeengine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/lagoonhead/lagoonhead"
)

// Record is one completion request that the engine received, whether it ran or
// not.
type Record struct {
	RequestID lagoonhead.RequestID `json:"requestId"`
	Header    http.Header          `json:"header"`
	Body      []byte               `json:"body"`
	// ResumeOffset is the resume offset, or -1.
	ResumeOffset int64 `json:"after"`
}

func newRecord(id lagoonhead.RequestID, h http.Header, body []byte, after int64) Record {
	return Record{RequestID: id, Header: h.Clone(), Body: body, ResumeOffset: after}
}

// Records returns the newest completion requests received, at most 16,384, the
// oldest first.
func (e *Engine) Records() []Record {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Record
	e.records.Each(func(r Record) bool {
		out = append(out, r)
		return true
	})
	return out
}

// Orders returns all orders received, the oldest first.
func (e *Engine) Orders() []OrderRecord {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orderRecords)
}

func (e *Engine) serveRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Records())
}

func (e *Engine) serveOrderRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Orders())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	events := e.cache.since(after, e.Timer.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.SetFaults(f)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveCrash(http.ResponseWriter, *http.Request) {
	e.Crash()
	panic(http.ErrAbortHandler)
}

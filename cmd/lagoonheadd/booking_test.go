package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/fakeservice"
)

// reply is the response to a request to a service. Status is 0 if the connection broke.
type reply struct {
	status int
	// run is the header Lagoonhead-Run.
	run  string
	body string
}

// call sends a request; the headers of an empty key and idempotency key are left out.
func call(ctx context.Context, method, url, key, idempotencyKey, body string) reply {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{status: resp.StatusCode, run: resp.Header.Get("Lagoonhead-Run"), body: string(b)}
}

// book sends a booking, which is a request to a route that is not idempotent, through a
// daemon.
func (f *fleet) book(ctx context.Context, daemon int, idempotencyKey, body string) reply {
	return call(ctx, http.MethodPost, f.daemons[daemon].url()+"/services/crates/bookings", frontDeskKey, idempotencyKey, body)
}

// ran returns how many bookings with the given body the service has executed.
func (f *fleet) ran(t *testing.T, body string) int {
	t.Helper()
	r := call(t.Context(), http.MethodGet, f.service.url()+"/lagoonfake/calls", "", "", "")
	require.Equal(t, http.StatusOK, r.status)
	var calls []fakeservice.Call
	require.NoError(t, json.Unmarshal([]byte(r.body), &calls))
	n := 0
	for _, c := range calls {
		if c.Ran && c.Body == body {
			n++
		}
	}
	return n
}

// setFault sets which fault the service has and for how many requests.
func (f *fleet) setFault(t *testing.T, p fakeservice.FaultPlan) {
	t.Helper()
	b, err := json.Marshal(p)
	require.NoError(t, err)
	r := call(t.Context(), http.MethodPut, f.service.url()+"/lagoonfake/fault", "", "", string(b))
	require.Less(t, r.status, http.StatusMultipleChoices)
}

const booking = `{"crates":40,"week":"2027-W03"}`

// Guards against a booking that runs twice when the same idempotency key is sent through
// two daemons at once or again later, and against a stored response that is returned for
// another body.
func TestBookingRunsOnce(t *testing.T) {
	f := newFleet(t, 1, 2)
	var wait sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wait.Go(func() { replies[i] = f.book(t.Context(), i%2, "move-1", booking) })
	}
	wait.Wait()
	require.Equal(t, 1, f.ran(t, booking))
	for _, r := range replies {
		require.Contains(t, []int{http.StatusOK, http.StatusCreated, http.StatusConflict}, r.status, r.body)
	}
	again := f.book(t.Context(), 1, "move-1", booking)
	require.Less(t, again.status, http.StatusMultipleChoices, again.body)
	require.Equal(t, 1, f.ran(t, booking))
	other := f.book(t.Context(), 0, "move-1", `{"crates":41}`)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Zero(t, f.ran(t, `{"crates":41}`))
}

// Guards against a booking that runs again after the service closed the connection before
// its response was complete: by the automatic retry of an HTTP transport, by a retry of
// the daemon, or through another daemon.
func TestBookingWhoseAnswerIsLostIsNotRepeated(t *testing.T) {
	f := newFleet(t, 1, 2)
	require.Less(t, f.book(t.Context(), 0, "warm", `{"crates":1}`).status, http.StatusMultipleChoices)
	for _, fault := range []fakeservice.Fault{fakeservice.FaultDropAnswer, fakeservice.FaultCloseAfterRead, fakeservice.FaultTruncatedAnswer} {
		body := `{"crates":2,"fault":"` + string(fault) + `"}`
		f.setFault(t, fakeservice.FaultPlan{Fault: fault, Calls: 1})
		first := f.book(t.Context(), 0, "move-"+string(fault), body)
		require.Equal(t, "unknown", first.run, "%s: %+v", fault, first)
		second := f.book(t.Context(), 1, "move-"+string(fault), body)
		require.Equal(t, http.StatusConflict, second.status, "%s: %+v", fault, second)
		require.LessOrEqual(t, f.ran(t, body), 1, fault)
	}
}

// Guards against a second run after the daemon that claimed the booking in the store was
// killed while it waited for the response of the service.
func TestBookingSurvivesTheDeathOfItsDaemon(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.setFault(t, fakeservice.FaultPlan{Fault: fakeservice.FaultSilent, Calls: 1})
	done := make(chan reply, 1)
	go func() { done <- f.book(context.Background(), 0, "move-3", booking) }()
	eventually(t, "the booking has arrived", func() bool {
		return strings.Contains(call(t.Context(), http.MethodGet, f.service.url()+"/lagoonfake/calls", "", "", "").body, "2027-W03")
	})
	f.daemons[0].signal(t, syscall.SIGKILL)
	require.Zero(t, (<-done).status)
	r := f.book(t.Context(), 1, "move-3", booking)
	require.Equal(t, http.StatusConflict, r.status, r.body)
	require.Equal(t, "unknown", r.run)
	require.LessOrEqual(t, f.ran(t, booking), 1)
}

// Guards against a booking that runs without a claim in the store while the store is down,
// and against a rejected booking whose response wrongly says that it has not run. Requests
// to idempotent routes must go on.
func TestBookingDuringAnOutageOfTheStore(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.setOutage(t, "kv", true)
	r := f.book(t.Context(), 0, "move-4", booking)
	require.Equal(t, http.StatusServiceUnavailable, r.status, r.body)
	require.Equal(t, "no", r.run)
	require.Zero(t, f.ran(t, booking))
	url := f.daemons[0].url() + "/services/crates/"
	require.Equal(t, http.StatusOK, call(t.Context(), http.MethodGet, url+"availability", frontDeskKey, "", "").status)
	require.Equal(t, http.StatusOK, call(t.Context(), http.MethodGet, url+"catalogue", "", "", "").status)
	require.Equal(t, http.StatusUnauthorized, call(t.Context(), http.MethodGet, url+"availability", "", "", "").status)
	f.setOutage(t, "kv", false)
	require.Less(t, f.book(t.Context(), 0, "move-4", booking).status, http.StatusMultipleChoices)
	require.Equal(t, 1, f.ran(t, booking))
}

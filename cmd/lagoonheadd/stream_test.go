package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// events is one streamed answer as a caller reads it.
type events struct {
	text   strings.Builder
	lastID string
	done   bool
	failed string
	status int
	run    string
	// count is the number of events with text.
	count int
}

// streamBody returns a streamed completion of about most tokens.
func streamBody(text string, most int) string {
	return fmt.Sprintf(`{"model":"reader","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, text, most)
}

// read sends the completion and reads until the end, an error event, or until stop
// returns true after an event.
func read(ctx context.Context, p *process, key, body, lastID string, stop func(*events) bool) *events {
	e := &events{}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return e
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	if lastID != "" {
		r.Header.Set("Last-Event-ID", lastID)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return e
	}
	defer resp.Body.Close()
	e.status = resp.StatusCode
	e.run = resp.Header.Get("Lagoonhead-Run")
	e.take(bufio.NewScanner(resp.Body), stop)
	return e
}

func (e *events) take(s *bufio.Scanner, stop func(*events) bool) {
	for s.Scan() {
		line := s.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			e.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			e.done = true
			return
		}
		e.event(data)
		if stop != nil && stop(e) {
			return
		}
	}
}

func (e *events) event(data string) {
	var v struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &v); err != nil {
		e.failed = err.Error()
		return
	}
	if v.Error != nil {
		e.failed = v.Error.Message
	}
	for _, c := range v.Choices {
		e.text.WriteString(c.Delta.Content)
		if c.Delta.Content != "" {
			e.count++
		}
	}
}

// after returns a stop function for read that is true from the nth byte on.
func after(n int) func(*events) bool {
	return func(e *events) bool { return e.text.Len() >= n }
}

// Guards against a stream that is lost or doubled when its daemon is killed: the
// caller carries on through another daemon with its last event id.
func TestStreamResumesThroughAnotherDaemon(t *testing.T) {
	f := newFleet(t, 1, 2)
	body := streamBody("a long lease", 600)
	first := read(t.Context(), f.daemons[0], frontDeskKey, body, "", after(200))
	f.daemons[0].signal(t, syscall.SIGKILL)
	require.False(t, first.done)
	foreign := read(t.Context(), f.daemons[1], branchKey, body, first.lastID, nil)
	require.GreaterOrEqual(t, foreign.status, http.StatusBadRequest, "a token of another workspace")
	rest := read(t.Context(), f.daemons[1], frontDeskKey, body, first.lastID, nil)
	require.Equal(t, http.StatusOK, rest.status)
	require.True(t, rest.done, rest.failed)
	require.Equal(t, expected(t, "a long lease", 600), first.text.String()+rest.text.String())
}

// Guards against a stream that is cut off by a graceful shutdown, and against a
// daemon that goes on accepting for ever.
func TestGracefulShutdownFinishesStreams(t *testing.T) {
	f := newFleet(t, 1, 2)
	d := f.daemons[0]
	ended := make(chan struct{})
	e := read(t.Context(), d, frontDeskKey, streamBody("finish me", 800), "", func(e *events) bool {
		if e.text.Len() > 100 && d.cmd.ProcessState == nil {
			select {
			case <-ended:
			default:
				close(ended)
				d.signal(t, syscall.SIGTERM)
			}
		}
		return false
	})
	require.True(t, e.done, e.failed)
	require.Equal(t, expected(t, "finish me", 800), e.text.String())
	require.NoError(t, d.cmd.Wait(), "the daemon exits by itself")
}

// Guards against an answer that is shortened or mixed up when the connection to the
// engine goes silent: the engine is frozen past the idle limit and thawed.
func TestStreamSurvivesAFrozenEngine(t *testing.T) {
	f := newFleet(t, 1, 1)
	frozen := false
	e := read(t.Context(), f.daemons[0], frontDeskKey, streamBody("frozen", 600), "", func(e *events) bool {
		if !frozen && e.text.Len() > 200 {
			frozen = true
			f.engines[0].signal(t, syscall.SIGSTOP)
			go func() {
				time.Sleep(idleLimit + time.Second)
				_ = f.engines[0].cmd.Process.Signal(syscall.SIGCONT)
			}()
		}
		return false
	})
	require.True(t, frozen)
	if !e.done {
		require.NotEmpty(t, e.failed, "an answer that is not whole must end with an error")
		return
	}
	require.Equal(t, expected(t, "frozen", 600), e.text.String())
}

// Guards against an answer that looks whole after its engine was killed, and against
// a daemon that keeps sending work to a dead engine while another one is there.
func TestKilledEngineIsReportedAndAvoided(t *testing.T) {
	f := newFleet(t, 2, 1)
	killed := false
	e := read(t.Context(), f.daemons[0], frontDeskKey, streamBody("crash", 600), "", func(e *events) bool {
		if !killed && e.text.Len() > 100 {
			killed = true
			// The engine that runs the stream is not known here, so both are hit in turn.
			f.engines[0].signal(t, syscall.SIGKILL)
		}
		return false
	})
	if e.done {
		require.Equal(t, expected(t, "crash", 600), e.text.String())
	} else {
		require.NotEmpty(t, e.failed)
	}
	for i := range 20 {
		text := fmt.Sprintf("after the crash %d", i)
		e := read(t.Context(), f.daemons[0], frontDeskKey, streamBody(text, 10), "", nil)
		require.True(t, e.done, "%d: status %d: %s", i, e.status, e.failed)
		require.Equal(t, expected(t, text, 10), e.text.String())
	}
}

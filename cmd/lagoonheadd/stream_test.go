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

// events is a streamed response as far as the caller has read it.
type events struct {
	text   strings.Builder
	lastID string
	// done is true after the final event [DONE].
	done bool
	// failure is the message of an error event or the error of an event that is not JSON.
	failure string
	status  int
	// run is the header Lagoonhead-Run.
	run string
	// count is the number of events with text.
	count int
}

// streamBody returns the body of a request for a streamed completion of up to maxTokens
// tokens.
func streamBody(text string, maxTokens int) string {
	return fmt.Sprintf(`{"model":"reader","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, text, maxTokens)
}

// readStream sends a request for a streamed completion and reads the response until its end,
// or until stop returns true after an event. With lastID it resumes a stream after that
// event.
func readStream(ctx context.Context, p *process, key, body, lastID string, stop func(*events) bool) *events {
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
	e.readEvents(bufio.NewScanner(resp.Body), stop)
	return e
}

// readEvents reads the lines of a stream of server-sent events.
func (e *events) readEvents(s *bufio.Scanner, stop func(*events) bool) {
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
		e.addEvent(data)
		if stop != nil && stop(e) {
			return
		}
	}
}

// addEvent adds the data of one event.
func (e *events) addEvent(data string) {
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
		e.failure = err.Error()
		return
	}
	if v.Error != nil {
		e.failure = v.Error.Message
	}
	for _, c := range v.Choices {
		e.text.WriteString(c.Delta.Content)
		if c.Delta.Content != "" {
			e.count++
		}
	}
}

// afterBytes returns a stop function for readStream that is true from the nth byte of text on.
func afterBytes(n int) func(*events) bool {
	return func(e *events) bool { return e.text.Len() >= n }
}

// Guards against text that is lost or repeated when the daemon of a stream is killed and the
// caller resumes the stream through another daemon with the last event ID.
func TestStreamResumesThroughAnotherDaemon(t *testing.T) {
	f := newFleet(t, 1, 2)
	body := streamBody("a long lease", 600)
	first := readStream(t.Context(), f.daemons[0], frontDeskKey, body, "", afterBytes(200))
	f.daemons[0].signal(t, syscall.SIGKILL)
	require.False(t, first.done)
	foreign := readStream(t.Context(), f.daemons[1], branchKey, body, first.lastID, nil)
	require.GreaterOrEqual(t, foreign.status, http.StatusBadRequest, "an event ID from a stream of another workspace")
	rest := readStream(t.Context(), f.daemons[1], frontDeskKey, body, first.lastID, nil)
	require.Equal(t, http.StatusOK, rest.status)
	require.True(t, rest.done, rest.failure)
	require.Equal(t, expected(t, "a long lease", 600), first.text.String()+rest.text.String())
}

// Guards against a stream that is cut off by a graceful shutdown, and against a daemon that
// goes on accepting requests instead of exiting.
func TestGracefulShutdownFinishesStreams(t *testing.T) {
	f := newFleet(t, 1, 2)
	d := f.daemons[0]
	ended := make(chan struct{})
	e := readStream(t.Context(), d, frontDeskKey, streamBody("finish me", 800), "", func(e *events) bool {
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
	require.True(t, e.done, e.failure)
	require.Equal(t, expected(t, "finish me", 800), e.text.String())
	require.NoError(t, d.cmd.Wait(), "the daemon exits by itself")
}

// Guards against text that is truncated without an error or wrong when the connection to the
// engine is silent: the engine is stopped by SIGSTOP for longer than the idle timeout and
// then continued.
func TestStreamSurvivesAFrozenEngine(t *testing.T) {
	f := newFleet(t, 1, 1)
	frozen := false
	e := readStream(t.Context(), f.daemons[0], frontDeskKey, streamBody("frozen", 600), "", func(e *events) bool {
		if !frozen && e.text.Len() > 200 {
			frozen = true
			f.engines[0].signal(t, syscall.SIGSTOP)
			go func() {
				time.Sleep(idleTimeout + time.Second)
				_ = f.engines[0].cmd.Process.Signal(syscall.SIGCONT)
			}()
		}
		return false
	})
	require.True(t, frozen)
	if !e.done {
		require.NotEmpty(t, e.failure, "an incomplete response must end with an error")
		return
	}
	require.Equal(t, expected(t, "frozen", 600), e.text.String())
}

// Guards against a response that looks complete although its engine was killed, and against
// requests that fail because a daemon sends them to a dead engine while another one runs.
func TestKilledEngineIsReportedAndAvoided(t *testing.T) {
	f := newFleet(t, 2, 1)
	killed := false
	e := readStream(t.Context(), f.daemons[0], frontDeskKey, streamBody("crash", 600), "", func(e *events) bool {
		if !killed && e.text.Len() > 100 {
			killed = true
			// Which engine runs the stream is not known here; it may be the other one.
			f.engines[0].signal(t, syscall.SIGKILL)
		}
		return false
	})
	if e.done {
		require.Equal(t, expected(t, "crash", 600), e.text.String())
	} else {
		require.NotEmpty(t, e.failure)
	}
	for i := range 20 {
		text := fmt.Sprintf("after the crash %d", i)
		e := readStream(t.Context(), f.daemons[0], frontDeskKey, streamBody(text, 10), "", nil)
		require.True(t, e.done, "%d: status %d: %s", i, e.status, e.failure)
		require.Equal(t, expected(t, text, 10), e.text.String())
	}
}

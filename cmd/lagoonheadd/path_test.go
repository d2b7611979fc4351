package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/fakeengine"
)

// expected returns the whole text that the fake engines generate for a prompt.
func expected(t *testing.T, text string, maxTokens int64) string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"reader","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, text, maxTokens)
	words, err := fakeengine.Answer([]byte(body))
	require.NoError(t, err)
	return strings.Join(words, "")
}

// Guards against daemons and engines that work together only inside one process. A caller
// with the OpenAI client library must get the whole completion through each of three
// daemons, streamed and not.
func TestCompletionThroughSeparateProcesses(t *testing.T) {
	f := newFleet(t, 2, 3)
	for i, d := range f.daemons {
		text := fmt.Sprintf("does floor %d fit a weekend?", i)
		c := client(d, frontDeskKey)
		answer, err := c.Chat.Completions.New(t.Context(), completionParams(text, 20))
		require.NoError(t, err)
		require.Equal(t, expected(t, text, 20), answer.Choices[0].Message.Content)

		stream := c.Chat.Completions.NewStreaming(t.Context(), completionParams(text, 40))
		var b strings.Builder
		for stream.Next() {
			if ch := stream.Current().Choices; len(ch) > 0 {
				b.WriteString(ch[0].Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expected(t, text, 40), b.String())
	}
}

// Guards against a request without spans for the caller's request, the attempt and the
// engine's stream, and against spans outside the trace of the caller.
func TestEachHopHasASpan(t *testing.T) {
	f := newFleetWithoutDaemons(t, 1, 1)
	f.extra = `trace: {exporter: stdout, sampleRatio: "100%"}`
	f.daemons = append(f.daemons, f.startDaemon(t, 0))
	f.awaitReady(t)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	c := client(f.daemons[0], frontDeskKey)
	_, err := c.Chat.Completions.New(t.Context(), completionParams("trace me", 5),
		option.WithHeader("traceparent", "00-"+trace+"-b7ad6b7169203331-01"))
	require.NoError(t, err)
	d := f.daemons[0]
	d.signal(t, syscall.SIGTERM)
	require.NoError(t, d.cmd.Wait())
	names := make(map[string]bool)
	dec := json.NewDecoder(strings.NewReader(withoutLog(d.output.String())))
	for dec.More() {
		var s struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		require.NoError(t, dec.Decode(&s))
		if s.SpanContext.TraceID == trace {
			names[s.Name] = true
		}
	}
	for _, n := range []string{"caller.request", "caller.attempt", "engine.stream"} {
		require.True(t, names[n], "%s is not among %v", n, names)
	}
}

// withoutLog drops the log lines from the output of a daemon.
func withoutLog(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, `{"level"`) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// Guards against a request with an unknown key that runs.
func TestWrongKeyIsRefused(t *testing.T) {
	f := newFleet(t, 1, 1)
	c := client(f.daemons[0], "lh-unknown-000000000000000000")
	_, err := c.Chat.Completions.New(t.Context(), completionParams("hello", 5))
	var e *openai.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, http.StatusUnauthorized, e.StatusCode)
	require.Equal(t, "no", e.Response.Header.Get("Lagoonhead-Run"))
}

package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/engine"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/timer"
)

type attempt struct {
	Offsets []int64
	Error   bool
	End     string
	Open    string
}

type responseCase struct {
	Name     string
	After    *int64
	Attempts []attempt
	Got      []int64
	Asked    []int64
	Kind     string
}

var kinds = map[string]lagoonhead.Kind{
	"crashed": lagoonhead.KindCrashed, "timeout": lagoonhead.KindTimeout, "unavailable": lagoonhead.KindUnavailable,
	"notFound": lagoonhead.KindNotFound, "invalid": lagoonhead.KindInvalid, "unknown": lagoonhead.KindUnknown,
}

func word(offset int64) string { return fmt.Sprintf("w%d ", offset) }

func wordEvent(offset int64) []byte {
	return fmt.Appendf(nil, `{"id":"c","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, word(offset))
}

// scriptedStream is an EventStream that returns the events and the end of an attempt.
type scriptedStream struct {
	attempt
	next   int
	closed *int
}

func (s *scriptedStream) Next() (lagoonhead.StreamEvent, error) {
	if s.next < len(s.Offsets) {
		n := s.Offsets[s.next]
		s.next++
		return lagoonhead.StreamEvent{Offset: n, Data: wordEvent(n)}, nil
	}
	if s.Error {
		n := s.Offsets[len(s.Offsets)-1] + 1
		return lagoonhead.StreamEvent{Offset: n, Data: []byte(`{"error":{"message":"out of memory"}}`)}, nil
	}
	if s.End == "whole" {
		return lagoonhead.StreamEvent{}, io.EOF
	}
	return lagoonhead.StreamEvent{}, fail("test.next", kinds[s.End], errors.New("scripted"))
}

func (s *scriptedStream) Close() error {
	*s.closed++
	return nil
}

func newRelay(t testing.TB) *Relay {
	s, err := NewSealer(bytes.Repeat([]byte{1}, KeyBytes))
	require.NoError(t, err)
	return &Relay{Timer: &timer.System{}, Sealer: s}
}

// scriptedTransfer returns a transfer whose streams follow the attempts of the case, the offsets
// that it was resumed after, and the number of streams that were closed.
func scriptedTransfer(c responseCase) (j Transfer, resumedAfter *[]int64, closed *int) {
	resumedAfter, closed = new([]int64), new(int)
	j = Transfer{
		Request: lagoonhead.NewRequest("r1", "w1", "m", 0), Endpoint: "e0", AfterOffset: -1,
		Stream: &scriptedStream{attempt: c.Attempts[0], closed: closed},
	}
	if c.After != nil {
		j.AfterOffset = *c.After
	}
	j.Resume = func(_ context.Context, after int64) (lagoonhead.EventStream, lagoonhead.EndpointID, error) {
		*resumedAfter = append(*resumedAfter, after)
		a := c.Attempts[len(*resumedAfter)]
		if a.Open != "" {
			return nil, "", fail("test.open", kinds[a.Open], errors.New("scripted"))
		}
		return &scriptedStream{attempt: a, closed: closed}, "e1", nil
	}
	return j, resumedAfter, closed
}

type sseEvent struct{ id, data string }

func readSSE(r io.Reader) (events []sseEvent) {
	var v sseEvent
	for s := bufio.NewScanner(r); s.Scan(); {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			v.id = id
		}
		if data, ok := strings.CutPrefix(s.Text(), "data: "); ok {
			v.data += data
		}
		if s.Text() == "" {
			events = append(events, v)
			v = sseEvent{}
		}
	}
	return events
}

// Guards against responses that lose, duplicate or reorder events when a stream fails,
// against responses that must not be resumed but are, and against a [DONE] event after a
// failure.
func TestAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/answers.yaml")
	require.NoError(t, err)
	var cases []responseCase
	require.NoError(t, yaml.Unmarshal(text, &cases))
	for _, c := range cases {
		t.Run("stream/"+c.Name, func(t *testing.T) { checkStream(t, c) })
		t.Run("collect/"+c.Name, func(t *testing.T) { checkCollect(t, c) })
	}
}

func checkStream(t *testing.T, c responseCase) {
	r := newRelay(t)
	j, resumedAfter, closed := scriptedTransfer(c)
	w := httptest.NewRecorder()
	res, err := r.Stream(t.Context(), w, j)
	events := readSSE(w.Body)
	for i, n := range c.Got {
		require.Equal(t, string(wordEvent(n)), events[i].data)
		p, err := r.Sealer.Open(events[i].id, "w1")
		require.NoError(t, err)
		require.Equal(t, n, p.Offset())
		require.Equal(t, lagoonhead.RequestID("r1"), p.Request())
	}
	rest := events[len(c.Got):]
	require.Equal(t, c.Asked, *resumedAfter)
	if c.Kind != "" {
		require.Equal(t, c.Kind, lagoonhead.KindOf(err).String(), err)
		require.Equal(t, len(c.Got) > 0, res.Started)
		if res.Started {
			require.Len(t, rest, 1)
			require.Contains(t, rest[0].data, `"code":"`+c.Kind+`"`)
		} else {
			require.Empty(t, events)
		}
		return
	}
	require.NoError(t, err)
	require.Equal(t, []sseEvent{{data: "[DONE]"}}, rest)
	require.Equal(t, len(c.Got), res.OutputTokens)
	opened := 1
	for _, a := range c.Attempts[1:] {
		if a.Open == "" {
			opened++
		}
	}
	require.Equal(t, opened, *closed, "streams closed")
}

func checkCollect(t *testing.T, c responseCase) {
	j, resumedAfter, _ := scriptedTransfer(c)
	b, _, err := newRelay(t).Collect(t.Context(), j)
	require.Equal(t, c.Asked, *resumedAfter)
	if c.Kind != "" {
		require.Equal(t, c.Kind, lagoonhead.KindOf(err).String(), err)
		require.Empty(t, b)
		return
	}
	require.NoError(t, err)
	var want strings.Builder
	for _, n := range c.Got {
		want.WriteString(word(n))
	}
	var a chatCompletion
	require.NoError(t, json.Unmarshal(b, &a))
	if len(c.Got) > 0 {
		require.Equal(t, want.String(), *a.Choices[0].Message.Content)
	}
}

// Guards against parts of choices or tool calls that are lost or mixed up by Collect.
func TestCollectMergesChoicesAndToolCalls(t *testing.T) {
	var a chatCompletion
	for _, s := range []string{
		`{"id":"c","created":5,"model":"m","choices":[{"index":1,"delta":{"role":"assistant","content":"x"}}]}`,
		`{"id":"c","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"t1","type":"function","function":{"name":"g","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t0","type":"function","function":{"name":"f","arguments":""}}]}}]}`,
		`{"id":"c","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"function":{"arguments":":1}"}}]}},{"index":1,"delta":{"content":"y"}}]}`,
		`{"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"},{"index":1,"delta":{},"finish_reason":"stop"}]}`,
		`{"id":"c","choices":[],"usage":{"prompt_tokens":2}}`,
	} {
		require.NoError(t, a.add([]byte(s)))
	}
	b, err := json.Marshal(a)
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"c","object":"","created":5,"model":"m","usage":{"prompt_tokens":2},"choices":[
		{"index":0,"finish_reason":"tool_calls","message":{"role":"assistant","content":null,"tool_calls":[
			{"id":"t0","type":"function","function":{"name":"f","arguments":""}},
			{"id":"t1","type":"function","function":{"name":"g","arguments":"{\"a\":1}"}}]}},
		{"index":1,"finish_reason":"stop","message":{"role":"assistant","content":"xy"}}]}`, string(b))
}

// Guards against usage that is parsed from generated text.
func TestUsage(t *testing.T) {
	var u usage
	require.False(t, u.update([]byte(`{"choices":[{"delta":{"content":"\"usage\":{\"prompt_tokens\":9}"}}],"usage":null}`)))
	require.Equal(t, usage{}, u)
	require.True(t, u.update([]byte(`{"choices":[],"usage": {"prompt_tokens":3,"completion_tokens":4}}`)))
	require.Equal(t, usage{known: true, promptTokens: 3, outputTokens: 4}, u)
}

// Guards against a token that can be opened after one bit was altered or it was
// truncated, with another key, or for another workspace.
func TestTokens(t *testing.T) {
	for _, software := range []string{"", "v1.1"} {
		t.Run(software, func(t *testing.T) { checkTokens(t, software) })
	}
}

// checkTokens checks the tokens of an engine with a software version.
func checkTokens(t *testing.T, software string) {
	oldKey, newKey := bytes.Repeat([]byte{1}, KeyBytes), bytes.Repeat([]byte{2}, KeyBytes)
	oldOnly, err := NewSealer(oldKey)
	require.NoError(t, err)
	newAndOld, err := NewSealer(newKey, oldKey)
	require.NoError(t, err)
	newOnly, err := NewSealer(newKey)
	require.NoError(t, err)
	p := NewResumePoint("e1", "r1", "w1", 1<<40).WithSoftware(software)
	token, err := oldOnly.Seal(p)
	require.NoError(t, err)
	got, err := newAndOld.Open(token, "w1")
	require.NoError(t, err)
	require.Equal(t, p, got)
	_, err = newOnly.Open(token, "w1")
	require.ErrorIs(t, err, ErrInvalidToken)
	_, err = oldOnly.Open(token, "w2")
	require.ErrorIs(t, err, ErrForeignToken)
	require.Equal(t, lagoonhead.KindForbidden, lagoonhead.KindOf(err))
	for i := range len(token) * 8 {
		b := []byte(token)
		b[i/8] ^= 1 << (i % 8)
		_, err := oldOnly.Open(string(b), "w1")
		require.ErrorIs(t, err, ErrInvalidToken, "bit %d", i)
	}
	for i := range token {
		_, err := oldOnly.Open(token[:i], "w1")
		require.ErrorIs(t, err, ErrInvalidToken)
	}
	_, err = NewSealer(oldKey[1:])
	require.Equal(t, lagoonhead.KindInvalid, lagoonhead.KindOf(err))
}

// Guards against a token of an older daemon that is refused, or that allows an engine that names its
// software version.
func TestATokenWithoutASoftwareVersion(t *testing.T) {
	const sealed = "AW7q_BvUYfRLktyHMYcz4hAAAAAAAAAAKTOuSW0cEM0R7eSxkJNDKFxbtvuXlCj2qBs"
	s, err := NewSealer(bytes.Repeat([]byte{1}, KeyBytes))
	require.NoError(t, err)
	p, err := s.Open(sealed, "w1")
	require.NoError(t, err)
	require.Equal(t, NewResumePoint("e1", "r1", "w1", 41), p)
	e := lagoonhead.NewEndpoint("e1", lagoonhead.EndpointKindEngine, "m", "", "d")
	require.True(t, p.Pin().Allows(e))
	require.False(t, p.Pin().Allows(e.WithSoftware("v1")))
	require.True(t, p.WithSoftware("v1").Pin().Allows(e.WithSoftware("v1")))
	require.False(t, p.WithSoftware("v1").Pin().Allows(e))
}

// engineJob starts a request whose response is resumed on the same engine.
func engineJob(ctx context.Context, s *engine.Streamer, e lagoonhead.Endpoint, id lagoonhead.RequestID, body []byte) (Transfer, error) {
	c := lagoonhead.Completion{Request: lagoonhead.NewRequest(id, "w1", "m", 0), Body: body, ResumeOffset: -1}
	v, err := s.Stream(ctx, e, c)
	return Transfer{
		Request: c.Request, Endpoint: e.ID(), Stream: v, AfterOffset: -1,
		Resume: func(ctx context.Context, after int64) (lagoonhead.EventStream, lagoonhead.EndpointID, error) {
			c.ResumeOffset = after
			v, err := s.Stream(ctx, e, c)
			return v, e.ID(), err
		},
	}, err
}

func newEngine(t *testing.T, f *fakeengine.Engine) (*engine.Streamer, lagoonhead.Endpoint) {
	f.Timer = &timer.System{}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return &engine.Streamer{Timer: f.Timer}, lagoonhead.NewEndpoint("e1", lagoonhead.EndpointKindEngine, "m", srv.URL, "d1")
}

// streamText streams one response and returns its text.
func streamText(ctx context.Context, r *Relay, j Transfer) (string, Result, error) {
	w := httptest.NewRecorder()
	res, err := r.Stream(ctx, w, j)
	if err != nil {
		return "", res, err
	}
	var a chatCompletion
	for _, v := range readSSE(w.Body) {
		if v.data == "[DONE]" {
			break
		}
		if err := a.add([]byte(v.data)); err != nil {
			return "", res, err
		}
	}
	return string(a.Choices[0].Message.content), res, nil
}

// Guards against responses that are truncated, duplicated or mixed up when many
// concurrent streams fail repeatedly.
func TestWholeAnswersThroughBreaks(t *testing.T) {
	const streams, breakAfter = 50, 9
	f := &fakeengine.Engine{Model: "m", Slots: streams}
	s, e := newEngine(t, f)
	f.SetFaults(fakeengine.Faults{Break: fakeengine.All, BreakAfter: breakAfter})
	r := newRelay(t)
	r.MaxResumes = 20
	errs := make(chan error, streams)
	for i := range streams {
		go func() {
			body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"q%d"}],"max_tokens":50}`, i)
			words, _ := fakeengine.Answer(body)
			j, err := engineJob(t.Context(), s, e, lagoonhead.RequestID(fmt.Sprint("r", i)), body)
			if err != nil {
				errs <- err
				return
			}
			text, res, err := streamText(t.Context(), r, j)
			if err == nil && (text != strings.Join(words, "") || res.OutputTokens != len(words) || res.Resumes < len(words)/breakAfter) {
				err = fmt.Errorf("stream %d: %+v: %q", i, res, text)
			}
			errs <- err
		}()
	}
	for range streams {
		require.NoError(t, <-errs)
	}
}

// Guards against a response that is returned for another request, when an engine swaps
// the responses of two requests.
func TestExchangedAnswersReachNobody(t *testing.T) {
	f := &fakeengine.Engine{Model: "m", Slots: 2}
	s, e := newEngine(t, f)
	f.SetFaults(fakeengine.Faults{ExchangePairs: 1})
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`)
	errs := make(chan error, 2)
	for _, id := range []lagoonhead.RequestID{"r2", "r3"} {
		go func() {
			j, err := engineJob(t.Context(), s, e, id, body)
			if err == nil {
				_, _, err = newRelay(t).Collect(t.Context(), j)
			}
			errs <- err
		}()
	}
	for range 2 {
		require.ErrorIs(t, <-errs, engine.ErrWrongRequest)
	}
}

// Guards against a failed write to the caller that is reported as an engine failure.
func TestCallerGone(t *testing.T) {
	j, _, _ := scriptedTransfer(responseCase{Attempts: []attempt{{Offsets: []int64{0}, End: "whole"}}})
	res, err := newRelay(t).Stream(t.Context(), failingWriter{}, j)
	require.ErrorIs(t, err, ErrCallerGone)
	require.True(t, res.Started)
}

type failingWriter struct{}

func (failingWriter) Header() http.Header       { return http.Header{} }
func (failingWriter) WriteHeader(int)           {}
func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

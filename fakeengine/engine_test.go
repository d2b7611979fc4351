package fakeengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

func body(text string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,`+
		`"stream":%t,"stream_options":{"include_usage":true}}`, text, maxTokens, stream)
}

func serve(t *testing.T, e *Engine) string {
	if e.Timer == nil {
		e.Timer = &timer.System{}
	}
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return s.URL
}

func post(t *testing.T, url, id, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(headerRequestID, id)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(r)
}

// readText reads a stream until it ends or breaks. It returns the text of the answer
// and the event ids, and whether the stream ended with [DONE].
func readText(t *testing.T, r io.Reader) (text string, ids []string, done bool) {
	var words strings.Builder
	s := bufio.NewScanner(r)
	for s.Scan() {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return words.String(), ids, true
		}
		var c chunkJSON
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		for _, v := range c.Choices {
			if v.Delta.Content != nil {
				words.WriteString(*v.Delta.Content)
			}
		}
	}
	return words.String(), ids, false
}

// Guards against a streamed answer that differs from the one that is not streamed,
// and against a resume that repeats or skips an event.
func TestAnswerIsTheSameStreamedWholeAndResumed(t *testing.T) {
	e := &Engine{Model: "m@1"}
	url := serve(t, e) + "/v1/chat/completions"
	words, err := Answer([]byte(body("hello", 20, true)))
	require.NoError(t, err)
	want := strings.Join(words, "")

	res, err := post(t, url, "whole", body("hello", 20, false))
	require.NoError(t, err)
	var full chunkJSON
	require.NoError(t, json.NewDecoder(res.Body).Decode(&full))
	require.Equal(t, want, *full.Choices[0].Message.Content)
	require.Equal(t, len(words), full.Usage.CompletionTokens)

	e.SetFaults(Faults{Break: 1, BreakAfter: 5})
	res, err = post(t, url, "r1", body("hello", 20, true))
	require.NoError(t, err)
	head, ids, done := readText(t, res.Body)
	require.False(t, done)
	require.Equal(t, []string{"r1/0", "r1/1", "r1/2", "r1/3", "r1/4"}, ids)

	res, err = post(t, url, "r1", body("hello", 20, true), headerResumeOffset, "4")
	require.NoError(t, err)
	tail, ids, done := readText(t, res.Body)
	require.True(t, done)
	require.Equal(t, "r1/5", ids[0])
	require.Equal(t, want, head+tail)
	require.Len(t, e.Records(), 3)
}

// Guards against a crash that leaves connections open or accepts new ones, and
// against a restart that keeps the incarnation.
func TestServerCrashRefusesConnectionsUntilRestart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := timer.NewManual(0, time.Unix(0, 0))
	e := &Engine{Timer: m, Model: "m"}
	e.SetFaults(Faults{CrashPrompt: "poison"})
	before := e.Incarnation()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	s := &Server{Engine: e, Listener: l, RestartAfter: time.Second}
	go func() { ended <- s.Run(ctx) }()
	url := "http://" + l.Addr().String() + "/v1/chat/completions"

	res, err := post(t, url, "bad", body("poison", 4, true))
	if err == nil {
		_, _, done := readText(t, res.Body)
		require.False(t, done)
	}
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		m.Advance(time.Second)
		res, err := post(t, url, "good", body("fine", 4, true))
		if err != nil {
			return false
		}
		_, _, done := readText(t, res.Body)
		return done
	}, 10*time.Second, time.Millisecond)
	require.NotEqual(t, before, e.Incarnation())
	cancel()
	require.NoError(t, <-ended)
}

// Guards against a fault ExchangePairs that mixes the two answers, or that sends the answer
// of the other request under the request's own event ids.
func TestExchangeSwapsWholeAnswers(t *testing.T) {
	e := &Engine{}
	url := serve(t, e) + "/v1/chat/completions"
	e.SetFaults(Faults{ExchangePairs: 1})
	ids := make(chan string, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			res, err := post(t, url, id, body(id, 4, true))
			if err != nil {
				ids <- err.Error()
				return
			}
			_, got, _ := readText(t, res.Body)
			ids <- id + " got " + got[0]
		}()
	}
	require.ElementsMatch(t, []string{"a got b/0", "b got a/0"}, []string{<-ids, <-ids})
}

// Guards against faults without effect, and against faults that affect more
// completions than their count.
func TestConnectionFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
		events int
	}{
		{"close", Faults{Close: 1}, 0},
		{"swallow before the headers", Faults{Stall: 1}, 0},
		{"swallow in the middle", Faults{Stall: 1, StallAfter: 2}, 2},
		{"break", Faults{Break: 1, BreakAfter: 3}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &Engine{}
			url := serve(t, e) + "/v1/chat/completions"
			e.SetFaults(c.faults)
			ctx, cancel := context.WithCancel(t.Context())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body("x", 20, true)))
			require.NoError(t, err)
			if c.faults.Stall > 0 {
				// A stalled response ends only when the client cancels the request.
				go func() {
					for len(e.Records()) == 0 {
						runtime.Gosched()
					}
					_ = e.Timer.Sleep(ctx, 20*time.Millisecond)
					cancel()
				}()
			}
			defer cancel()
			res, err := http.DefaultClient.Do(r)
			if err == nil {
				_, ids, done := readText(t, res.Body)
				require.False(t, done)
				require.LessOrEqual(t, len(ids), c.events)
			}
			res, err = post(t, url, "next", body("x", 20, true))
			require.NoError(t, err)
			_, _, done := readText(t, res.Body)
			require.True(t, done)
		})
	}
}

// Guards against a fenced engine that accepts an outdated order, and against an
// unfenced one that refuses it.
func TestOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			m := timer.NewManual(0, time.Unix(0, 0))
			e := &Engine{Timer: m, Model: "m", Fenced: fenced, ChangeDuration: 3 * time.Second}
			url := serve(t, e)
			send := func(o lagoonhead.EngineOrder) int {
				b, err := json.Marshal(o)
				require.NoError(t, err)
				res, err := http.Post(url+"/lagoonhead/orders", "application/json", bytes.NewReader(b))
				require.NoError(t, err)
				return res.StatusCode
			}
			stale := http.StatusOK
			if fenced {
				stale = http.StatusConflict
			}
			o := lagoonhead.EngineOrder{Incarnation: e.Incarnation(), Sequence: 7, Verb: lagoonhead.OrderRole, Value: "decode"}
			require.Equal(t, http.StatusOK, send(o))
			require.Equal(t, http.StatusOK, send(o), "a duplicate of the last order succeeds")
			res, err := post(t, url+"/v1/chat/completions", "r", body("x", 4, true))
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
			require.Equal(t, "no", res.Header.Get(headerRun))
			require.Eventually(t, func() bool {
				m.Advance(time.Second)
				e.mu.Lock()
				defer e.mu.Unlock()
				return e.role == lagoonhead.RoleDecode && e.pendingChanges == 0
			}, 10*time.Second, time.Millisecond)
			old := o
			old.Sequence, old.Value = 6, "prefill"
			require.Equal(t, stale, send(old))
			other := o
			other.Value = "prefill"
			require.Equal(t, stale, send(other), "another order with the same sequence number")
			wrong := o
			wrong.Sequence, wrong.Incarnation = 9, "former"
			require.Equal(t, stale, send(wrong))
			require.Len(t, e.Orders(), 5)
		})
	}
}

// Guards against cache events that are visible before the lag, and against a later
// event that reuses the number of a lost one.
func TestCacheEventsAreLateWithGaps(t *testing.T) {
	c := newCache(2, time.Second, 3)
	c.store([]uint64{1, 2}, 0)
	require.Equal(t, 2, c.hits([]uint64{1, 2, 3}))
	c.store([]uint64{3}, time.Second/2)
	require.Equal(t, 0, c.hits([]uint64{1, 2, 3}), "the least recently used block is evicted")
	require.Empty(t, c.since(0, time.Second/2))
	require.Equal(t, []lagoonhead.CacheEvent{{Number: 1, Block: 1, Stored: true}, {Number: 2, Block: 2, Stored: true}},
		c.since(0, time.Second))
	require.Equal(t, []lagoonhead.CacheEvent{{Number: 4, Block: 1}}, c.since(2, 2*time.Second))
}

// Guards against load reports that are newer than the lag allows, and against prefill
// and decode that ignore their rates.
func TestRatesAndLag(t *testing.T) {
	m := timer.NewManual(0, time.Unix(0, 0))
	e := &Engine{Timer: m, PrefillRate: 100, DecodeRate: 10, LoadReportMaxAge: time.Second}
	e.init()
	text := strings.Repeat("x", 400-len("user\n\n"))
	p, err := parsePrompt([]byte(body(text, 2, true)))
	require.NoError(t, err)
	require.Equal(t, 100, p.tokens())
	e.mu.Lock()
	require.Zero(t, e.load().QueuedPrefillTokens)
	r := e.start("r", p, lagoonhead.PriorityNormal)
	require.Zero(t, e.load().QueuedPrefillTokens, "the report is not renewed before the lag")
	require.Equal(t, time.Second, e.processingTime(100, e.PrefillRate))
	e.faults.Slow = true
	require.Equal(t, time.Second, e.processingTime(1, e.DecodeRate))
	e.faults.Slow = false
	e.mu.Unlock()
	require.Eventually(t, func() bool {
		m.Advance(100 * time.Millisecond)
		_, complete, _, _ := r.snapshot()
		return complete
	}, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, m.Now(), 1100*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, int64(2), e.load().Number)
}

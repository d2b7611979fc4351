package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// maxLatency is the largest value of the histograms, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
	// maxLineBytes bounds the length of a line of an event stream.
	maxLineBytes = 1 << 20
)

// load is one run of the load generator.
type load struct {
	options options
	timer   timer.Timer
	client  *http.Client

	mu     sync.Mutex
	result result
	// firstToken holds the times from the request to the first event, and
	// betweenTokens those from one event to the next.
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// result counts the requests by their end. An event of a stream counts as one token.
type result struct {
	Sent          int            `json:"sent"`
	Answered      int            `json:"answered"`
	Failed        int            `json:"failed"`
	Skipped       int            `json:"skipped"`
	Tokens        int            `json:"tokens"`
	Statuses      map[string]int `json:"statuses"`
	FirstToken    latencies      `json:"firstTokenMs"`
	BetweenTokens latencies      `json:"betweenTokensMs"`
}

// latencies holds percentiles in milliseconds.
type latencies struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func newLoad(o options, t timer.Timer) *load {
	tr := &http.Transport{MaxIdleConnsPerHost: o.maxOpen, MaxConnsPerHost: 0}
	return &load{
		options: o, timer: t, client: &http.Client{Transport: tr},
		result:        result{Statuses: make(map[string]int)},
		firstToken:    hdrhistogram.New(1, maxLatency, significantDigits),
		betweenTokens: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

// run starts requests at exponentially distributed intervals and waits for all
// answers.
func (l *load) run(ctx context.Context) result {
	r := rand.New(rand.NewPCG(l.options.seed, 0))
	end := l.timer.Now() + l.options.duration
	open := make(chan struct{}, l.options.maxOpen)
	var wg sync.WaitGroup
	for i := range l.options.requests {
		interval := time.Duration(r.ExpFloat64() / l.options.rate * float64(time.Second))
		if l.timer.Sleep(ctx, interval) != nil || l.timer.Now() > end {
			break
		}
		text := prompt(r, i, l.options.promptTokens)
		select {
		case open <- struct{}{}:
		default:
			l.update(func(r *result) { r.Skipped++ })
			continue
		}
		wg.Go(func() {
			l.request(ctx, text)
			<-open
		})
	}
	wg.Wait()
	l.result.FirstToken = percentiles(l.firstToken)
	l.result.BetweenTokens = percentiles(l.betweenTokens)
	return l.result
}

// percentiles returns the percentiles of a histogram of microseconds.
func percentiles(h *hdrhistogram.Histogram) latencies {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return latencies{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// update changes the result under the lock.
func (l *load) update(f func(*result)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.result)
}

// request sends one request, reads the answer and counts the result.
func (l *load) request(ctx context.Context, text string) {
	l.update(func(r *result) { r.Sent++ })
	start := l.timer.Now()
	resp, err := l.send(ctx, text)
	if err != nil {
		l.fail("connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		l.fail(strconv.Itoa(resp.StatusCode))
		return
	}
	l.readStream(resp.Body, start)
}

// fail counts a failed request under its HTTP status or, if there is no failed status,
// under "connection" or "incomplete".
func (l *load) fail(status string) {
	l.update(func(r *result) {
		r.Failed++
		r.Statuses[status]++
	})
}

// completion is the body of a chat completion request.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (l *load) send(ctx context.Context, text string) (*http.Response, error) {
	body, err := json.Marshal(completion{
		Model: l.options.model, Messages: []message{{Role: "user", Content: text}},
		MaxTokens: l.options.maxTokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.options.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+l.options.key)
	if l.options.priority != "" {
		r.Header.Set("Lagoonhead-Priority", l.options.priority)
	}
	return l.client.Do(r)
}

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// readStream reads the event stream of one answer and records the latencies. It counts the
// request as answered if the stream ends with [DONE], and as failed otherwise.
func (l *load) readStream(body io.Reader, start time.Duration) {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxLineBytes)
	last, events := start, 0
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneData) {
			l.update(func(r *result) {
				r.Answered++
				r.Tokens += events
				r.Statuses["200"]++
			})
			return
		}
		now := l.timer.Now()
		l.recordLatency(events == 0, now-last)
		last = now
		events++
	}
	l.fail("incomplete")
}

// recordLatency records the time to an event, the first one of an answer or a later
// one.
func (l *load) recordLatency(first bool, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.betweenTokens
	if first {
		h = l.firstToken
	}
	// A value above the range of the histogram is recorded as maxLatency, so
	// RecordValue does not fail.
	_ = h.RecordValue(min(d.Microseconds(), maxLatency))
}

// print writes the result as text.
func (r result) print(out io.Writer) {
	fmt.Fprintf(out, "sent %d, answered %d, failed %d, skipped %d, tokens %d\n", r.Sent, r.Answered, r.Failed, r.Skipped, r.Tokens)
	fmt.Fprintf(out, "%-16s %10s %10s %10s\n", "milliseconds", "p50", "p95", "p99")
	for _, row := range []struct {
		name string
		l    latencies
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}} {
		fmt.Fprintf(out, "%-16s %10.2f %10.2f %10.2f\n", row.name, row.l.P50, row.l.P95, row.l.P99)
	}
	for s, n := range r.Statuses {
		fmt.Fprintf(out, "status %-12s %7d\n", s, n)
	}
}
